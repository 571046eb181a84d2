"""What can become of one send to a backend server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Delivered:
    """The caller has the backend server's whole answer, of this status."""

    status: int


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection was made, so the backend server knows nothing of the request."""

    detail: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """The backend server says that it did not run the request."""

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
    """The request may have run, and its whole answer will not come."""

    detail: str


@dataclass(frozen=True, slots=True)
class Stalled:
    """Nothing came for so long that another backend server is the better bet."""

    silent_s: float


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The caller's deadline or the route's timeout has come."""


@dataclass(frozen=True, slots=True)
class Abandoned:
    """The caller left ``after_s`` seconds into the send."""

    after_s: float
