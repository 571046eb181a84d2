"""What daemons tell each other: a closed family, free of encoding."""

from dataclasses import dataclass, replace
from enum import IntEnum


class MemberStatus(IntEnum):
    """What is known of a daemon; of two equally new records the higher one holds."""

    ALIVE = 0
    STOPPING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@dataclass(frozen=True, slots=True)
class Hello:
    """Opens a session: who speaks, and the revision that it has applied."""

    id: str
    incarnation: int
    revision: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for a `Pong` with the same number."""

    number: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Says how long ago the store confirmed ``revision`` to the speaker.

    ``newest_heard`` is the newest ticket that it has heard of, accepted or not.
    """

    number: int
    revision: int
    confirmed_age_s: float
    newest_heard: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One daemon of the fleet. Only the daemon itself raises ``sequence``."""

    id: str
    incarnation: int
    sequence: int
    status: MemberStatus
    peer_address: str
    region: str
    availability_zone: str
    applied_revision: int = 0
    applied_at: float = 0.0

    def newness(self):
        """Return what decides between two records of one daemon."""
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
    """Asks for the tickets after ``after``, or for a snapshot."""

    after: int


@dataclass(frozen=True, slots=True)
class SnapshotSent:
    """A whole configuration as plain data."""

    body: object


@dataclass(frozen=True, slots=True)
class ObjectAnnounced:
    """Says which version of a shared object the speaker holds."""

    name: str
    version: int


@dataclass(frozen=True, slots=True)
class ObjectWanted:
    """Asks for a shared object."""

    name: str


@dataclass(frozen=True, slots=True)
class ObjectSent:
    """A shared object as plain data."""

    name: str
    version: int
    body: object


@dataclass(frozen=True, slots=True)
class VmLeaving:
    """The platform's list shows a VM as leaving."""

    id: str
    incarnation: int
