"""Tells the leader at once which backend server has stopped answering."""

from pimentogap.alarms._service import AlarmService

__all__ = ["AlarmService"]
