"""Calls between daemons, dispatched to handlers by name."""

from pimentogap.calls._service import CallService

__all__ = ["CallService"]
