"""Calls between daemons, answered by name."""

from pimentogap.calls._service import CallService

__all__ = ["CallService"]
