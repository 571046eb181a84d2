"""Relays store collections between daemons, so that only a few watch the store."""

from pimentogap.relay._changes import ChangeLog, CollectionUpdate, has_object
from pimentogap.relay._service import RelayService

__all__ = ["ChangeLog", "CollectionUpdate", "RelayService", "has_object"]
