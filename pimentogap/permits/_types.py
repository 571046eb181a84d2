"""Whether a request may be sent to a backend server that names a limit."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may be sent now."""


@dataclass(frozen=True, slots=True)
class Denied:
    """No request may be sent before ``next_in_s`` seconds have passed."""

    next_in_s: float
