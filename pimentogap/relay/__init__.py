"""Relays store collections between daemons, so that only a few watch the store."""

from pimentogap.relay._changes import ChangeLog, CollectionUpdate
from pimentogap.relay._contact import (
    CONTACT_TIMEOUT_S,
    REREGISTRATION_S,
    StoreContactService,
)
from pimentogap.relay._lists import LeaderList
from pimentogap.relay._service import RelayService

__all__ = [
    "CONTACT_TIMEOUT_S",
    "REREGISTRATION_S",
    "ChangeLog",
    "CollectionUpdate",
    "LeaderList",
    "RelayService",
    "StoreContactService",
]
