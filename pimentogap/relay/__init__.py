"""Passes the platform's objects on between daemons, so that few watch the store."""

from pimentogap.relay._changes import ChangeLog, Followed
from pimentogap.relay._service import RelayService

__all__ = ["ChangeLog", "Followed", "RelayService"]
