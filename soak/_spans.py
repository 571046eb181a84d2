"""The time spans of faults and of planned work."""

import time
from enum import StrEnum


class Scope(StrEnum):
    """What a fault affects: daemons and their store, or replicas alone."""

    DAEMON = "daemon"
    REPLICA = "replica"


class FaultSpan:
    """The time span of a fault or of planned work; ``daemon`` is ``None`` for all."""

    __slots__ = ("cause", "daemon", "scope", "planned", "started_at", "ended_at")

    def __init__(self, cause, daemon, *, scope, planned):
        self.cause = cause
        self.daemon = daemon
        self.scope = scope
        self.planned = planned
        self.started_at = time.monotonic()
        self.ended_at = float("inf")

    def end(self):
        """Record the current time as the end of the span."""
        self.ended_at = time.monotonic()
