"""Relays store collections between daemons, so that only a few watch the store."""

from pimentogap.relay._changes import ChangeLog, CollectionUpdate
from pimentogap.relay._contact import REREGISTRATION_S, StoreContactService
from pimentogap.relay._lists import LeaderList
from pimentogap.relay._service import RelayService

__all__ = [
    "REREGISTRATION_S",
    "ChangeLog",
    "CollectionUpdate",
    "LeaderList",
    "RelayService",
    "StoreContactService",
]
