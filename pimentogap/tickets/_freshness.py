"""Assesses whether a daemon may treat its configuration as the newest one."""

from dataclasses import dataclass

CURRENT_LIMIT_S = 4.0


@dataclass(frozen=True, slots=True)
class Current:
    """The store confirmed the revision within the last `CURRENT_LIMIT_S` seconds."""

    age_s: float


@dataclass(frozen=True, slots=True)
class StoreOutage:
    """The revision is unconfirmed, but at least half of the fleet is in reach.

    A ticket is accepted only by a daemon that reaches more than half of the fleet,
    so a daemon in reach knows of any ticket accepted meanwhile. None of them has
    announced a newer one, so requests are still served.
    """

    age_s: float


@dataclass(frozen=True, slots=True)
class Isolated:
    """The revision is unconfirmed, and a newer ticket may have been accepted.

    Either more than half of the fleet is out of reach, or a newer ticket was
    announced; new requests are refused.
    """

    age_s: float


@dataclass(frozen=True, slots=True)
class Unknown:
    """No configuration was loaded from the store or confirmed by a majority."""


@dataclass(frozen=True, slots=True)
class Reach:
    """The numbers of known and of reachable daemons of the fleet.

    Both include the daemon itself.
    """

    known: int
    reachable: int

    @property
    def has_majority(self):
        """Return whether more than half of the fleet is in reach."""
        return self.reachable * 2 > self.known

    @property
    def has_half(self):
        """Return whether at least half of the fleet is in reach."""
        return self.reachable * 2 >= self.known


def assess_freshness(*, is_loaded, age_s, reach, is_behind):
    """Return how far a daemon may trust its configuration to be the newest.

    :param is_loaded: whether it was loaded from the store or confirmed by a
        majority of the fleet.
    :param age_s: seconds since the store last confirmed it, infinite if never.
    :param reach: the `Reach` of the daemon.
    :param is_behind: whether a newer revision has been announced to the daemon.
    :return: `Current`, `StoreOutage`, `Isolated` or `Unknown`.
    """
    if not is_loaded:
        return Unknown()
    if age_s <= CURRENT_LIMIT_S:
        return Current(age_s)
    return StoreOutage(age_s) if reach.has_half and not is_behind else Isolated(age_s)


def may_serve(freshness):
    """Return whether new requests are accepted under ``freshness``."""
    match freshness:
        case Current() | StoreOutage():
            return True
        case Isolated() | Unknown():
            return False
