"""Judges whether a daemon may take its configuration for the newest one."""

from dataclasses import dataclass

CURRENT_LIMIT_S = 4.0


@dataclass(frozen=True, slots=True)
class Current:
    """The store confirmed the revision within the limit."""

    age_s: float


@dataclass(frozen=True, slots=True)
class StoreOutage:
    """Nobody within reach can confirm it, and at least half of the fleet is in reach.

    A ticket is accepted only by a daemon that reaches more than half, so one
    that was accepted meanwhile has come to a daemon in reach. Serving goes on.
    """

    age_s: float


@dataclass(frozen=True, slots=True)
class Isolated:
    """It cannot be confirmed, and more than half of the fleet is out of reach.

    Others may have accepted a newer ticket, so new requests are refused.
    """

    age_s: float


@dataclass(frozen=True, slots=True)
class Unknown:
    """The daemon has not learned any configuration that it may trust."""


@dataclass(frozen=True, slots=True)
class Reach:
    """How many daemons of the fleet are known, and how many of them in reach.

    Both counts include the daemon itself.
    """

    known: int
    reachable: int

    @property
    def majority(self):
        """Return whether more than half of the fleet is in reach."""
        return self.reachable * 2 > self.known

    @property
    def half(self):
        """Return whether at least half of the fleet is in reach."""
        return self.reachable * 2 >= self.known


def judge(*, loaded, age_s, reach, behind):
    """Return how far a daemon may trust its configuration.

    :param loaded: whether it learned one from the store or from a majority.
    :param age_s: seconds since the store last confirmed it, infinite if never.
    :param reach: the `Reach` of the daemon.
    :param behind: whether it has heard of a newer revision than its own.
    """
    if not loaded:
        return Unknown()
    if age_s <= CURRENT_LIMIT_S:
        return Current(age_s)
    return StoreOutage(age_s) if reach.half and not behind else Isolated(age_s)


def may_serve(freshness):
    """Return whether new requests are taken under ``freshness``."""
    match freshness:
        case Current() | StoreOutage():
            return True
        case Isolated() | Unknown():
            return False
