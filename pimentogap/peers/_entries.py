"""The entries that daemons exchange in sessions, independent of their encoding."""

from dataclasses import dataclass, replace
from enum import IntEnum


class MemberStatus(IntEnum):
    """The status of a daemon.

    Of two records of equal incarnation and sequence the higher status wins.
    """

    ALIVE = 0
    STOPPING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@dataclass(frozen=True, slots=True)
class Hello:
    """Opens a session: the sender's id, and the revision that it has applied."""

    id: str
    incarnation: int
    revision: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for a `Pong` with the same number."""

    number: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Answers a `Ping` with the age of the sender's configuration.

    ``confirmed_age_s`` is the time since the store confirmed ``revision`` to the
    sender, infinite if never. ``newest_heard`` is the number of the newest ticket
    that the sender knows of, accepted or not.
    """

    number: int
    revision: int
    confirmed_age_s: float
    newest_heard: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """The record of one daemon of the fleet.

    Only the daemon itself raises ``sequence``. ``applied_at`` is the wall-clock time
    at which it applied ``applied_revision``.
    """

    id: str
    incarnation: int
    sequence: int
    status: MemberStatus
    peer_address: str
    region: str
    availability_zone: str
    applied_revision: int = 0
    applied_at: float = 0.0

    def precedence(self):
        """Return the sort key of a daemon's records; the highest one wins."""
        return (self.incarnation, self.sequence, self.status)

    def with_status(self, status):
        """Return the same record with another status."""
        return replace(self, status=status)


@dataclass(frozen=True, slots=True)
class TicketSent:
    """An accepted ticket as plain data."""

    number: int
    body: object


@dataclass(frozen=True, slots=True)
class TicketsWanted:
    """Asks for the tickets after number ``after``, or a snapshot instead."""

    after: int


@dataclass(frozen=True, slots=True)
class SnapshotSent:
    """A whole configuration as plain data."""

    body: object


@dataclass(frozen=True, slots=True)
class ObjectAnnounced:
    """Announces the version of a shared object that the sender holds."""

    name: str
    version: int


@dataclass(frozen=True, slots=True)
class ObjectWanted:
    """Asks for the current version of a shared object."""

    name: str


@dataclass(frozen=True, slots=True)
class ObjectSent:
    """A shared object as plain data."""

    name: str
    version: int
    body: object


@dataclass(frozen=True, slots=True)
class VmLeaving:
    """Announces that the platform lists a VM as leaving."""

    id: str
    incarnation: int
