"""A caller's connection and the phases that it goes through."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fresh:
    """Nothing has been received yet."""

    since: float


@dataclass(frozen=True, slots=True)
class Idle:
    """A request has been answered, and no other has begun."""

    since: float


@dataclass(frozen=True, slots=True)
class ReadingHead:
    """A head has begun and is not complete."""

    since: float


@dataclass(frozen=True, slots=True)
class ReadingBody:
    """The head is complete and the body is not; ``since`` gives seniority."""

    since: float


@dataclass(frozen=True, slots=True)
class Serving:
    """A whole request waits for its answer, or the answer is on its way."""


@dataclass(frozen=True, slots=True)
class Leaving:
    """The caller has been turned away; the connection closes by itself."""


class Caller:
    """What one connection of a caller holds.

    ``held`` are the bytes reserved for a request's body, ``unsent`` those of its answer
    that the caller has not taken. ``progress_at`` is when it last got on. ``close()``
    ends the connection; ``turn_away(cause)`` refuses the request that is being read.
    """

    __slots__ = (
        "address",
        "phase",
        "held",
        "unsent",
        "progress_at",
        "close",
        "turn_away",
        "_bytes_since_progress",
    )

    def __init__(self, address, close, now):
        self.address = address
        self.phase = Fresh(now)
        self.held = 0
        self.unsent = 0
        self.progress_at = now
        self.close = close
        self.turn_away = None
        self._bytes_since_progress = 0

    def record_progress(self, size, now, least_bytes):
        """Count bytes that passed; ``least_bytes`` of them are progress."""
        self._bytes_since_progress += size
        if self._bytes_since_progress >= least_bytes:
            self.restart_progress(now)

    def restart_progress(self, now):
        """Let what the caller does be judged from now on."""
        self._bytes_since_progress = 0
        self.progress_at = now
