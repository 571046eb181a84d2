"""The possible outcomes of one attempt at a backend server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Delivered:
    """The caller got the backend server's complete answer, with this status."""

    status: int


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection was made, so the backend server did not get the request."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unsendable:
    """HTTP has no form of the request, so no backend server can get it."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unexpected:
    """An error that nothing foresees ended the attempt; the request may have run."""

    detail: str


@dataclass(frozen=True, slots=True)
class Withheld:
    """Nothing was sent, since the backend server no longer takes requests."""


@dataclass(frozen=True, slots=True)
class Paused:
    """The process was paused, and has not been able to catch up since."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """The backend server states that it did not run the request."""

    status: int
    retry_after_s: float | None
    culprit: str | None


@dataclass(frozen=True, slots=True)
class Failure:
    """The backend server ran the request and answered with a failure."""

    status: int
    headers: list
    body: bytes


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have run, but its complete answer cannot be received."""

    detail: str


@dataclass(frozen=True, slots=True)
class Stalled:
    """Nothing arrived for ``silent_s`` s, and another backend server was available."""

    silent_s: float


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The attempt was ended before its first event, since ``part`` is quarantined."""

    part: str


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The caller's deadline or the route's timeout has passed."""


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The caller disconnected ``after_s`` seconds into the attempt."""

    after_s: float


@dataclass(frozen=True, slots=True)
class Interrupted:
    """The daemon stops before the answer can have ended."""
