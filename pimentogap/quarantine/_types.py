"""Evidence about prompt parts, and what follows from it."""

from dataclasses import dataclass, field


def part_key(service, part):
    """Return the key of a prompt part at the backend servers of a service."""
    return f"{service}/{part}"


@dataclass(frozen=True, slots=True)
class Strike:
    """A backend server ended while a request with a part waited for its first event.

    ``life`` names the backend server and its incarnation.
    """

    key: str
    life: str
    request_id: str


@dataclass(frozen=True, slots=True)
class Served:
    """A request with a part was answered ``ago_s`` seconds ago."""

    key: str
    ago_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantinedPart:
    """A part that no request may have.

    ``strikes`` counts the backend servers that ended under it. After ``trial_after_s``
    seconds without another strike, one request with it may run. ``convicted_again``
    says that it was released before, so that only later answers count in its favour.
    """

    strikes: int
    trial_after_s: float
    convicted_again: bool = False


@dataclass(frozen=True, slots=True)
class QuarantineList:
    """Every `QuarantinedPart` by key.

    ``serial`` counts the changes of the list by the leader of ``term``.
    """

    term: int = 0
    serial: int = 0
    parts_by_key: dict = field(default_factory=dict)

    @property
    def order(self):
        """Return what a newer list exceeds."""
        return self.term, self.serial


@dataclass(frozen=True, slots=True)
class Allowed:
    """No part of the request is quarantined."""


@dataclass(frozen=True, slots=True)
class Trial:
    """The request may run as the only one with the quarantined part ``key``."""

    key: str


@dataclass(frozen=True, slots=True)
class Blocked:
    """The part ``key`` is quarantined; it may be tried again in ``trial_in_s``."""

    key: str
    trial_in_s: float
