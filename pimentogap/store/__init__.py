"""The platform's object API, the store: typed calls and a client service."""

from pimentogap.store._calls import (
    Change,
    Conflict,
    Delete,
    Get,
    List,
    ListVms,
    NotWritten,
    Page,
    Put,
    Stored,
    Unsettled,
    VmList,
    Watch,
    Written,
)
from pimentogap.store._client import StoreClient
from pimentogap.store._follow import follow_collection
from pimentogap.store._revisions import Revision
from pimentogap.store._snapshots import Snapshot, SnapshotCollection, object_name

__all__ = [
    "Change",
    "Conflict",
    "Delete",
    "Get",
    "List",
    "ListVms",
    "NotWritten",
    "Page",
    "Put",
    "Revision",
    "Snapshot",
    "SnapshotCollection",
    "StoreClient",
    "Stored",
    "Unsettled",
    "VmList",
    "Watch",
    "Written",
    "follow_collection",
    "object_name",
]
