"""Reports backend servers that stop answering to the leader at once."""

from pimentogap.alarms._service import AlarmService

__all__ = ["AlarmService"]
