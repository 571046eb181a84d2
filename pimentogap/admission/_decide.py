"""The decision whether a request takes a place, waits for one, or gives up."""

from dataclasses import dataclass

# Fraction of an objective that estimates may fill; the rest covers their errors and the
# way between caller, daemon and backend server.
USABLE_SHARE = 0.8
# How long a request that can still be in time waits for a place, as a fraction of the
# tightest objective: with a looser one it would have more chances than those before it.
HOLD_SHARE = 0.125
# A caller that comes back late has nobody else to ask. It waits for a fraction of the
# time that it has left, unless requests that could be in time are turned away.
LATE_HOLD_SHARE = 0.25
# Fraction of all places that late requests leave to those in time.
RESERVED_SHARE = 0.25
# Fraction of the places of a backend server up to which late requests go to it.
LATE_GROUP_SHARE = 0.6
FIRST_URGENCY = 1
LAST_TIMELY_URGENCY = 6
LATE_URGENCY = 9


@dataclass(frozen=True, slots=True)
class Admit:
    """The request goes on with this urgency, 0 the most urgent."""

    urgency: int


@dataclass(frozen=True, slots=True)
class Hold:
    """The request waits up to ``for_s`` seconds after its arrival for a place."""

    for_s: float


@dataclass(frozen=True, slots=True)
class Turn:
    """The request is turned away at once, for this ``cause``."""

    cause: str


@dataclass(frozen=True, slots=True)
class Prospect:
    """What one backend server offers: a first event in ``first_event_s`` seconds.

    ``requests`` run or wait there, for ``slots`` places.
    """

    requests: float
    slots: int
    first_event_s: float


def spare_places(free, places):
    """Return how many of the ``free`` among all ``places`` late requests may take."""
    return free - RESERVED_SHARE * places


def decide(claim, prospect, now, *, late, hopeful=True):
    """Return `Admit`, `Hold` or `Turn` for ``claim``.

    :param claim: the `Claim`.
    :param prospect: the `Prospect` at the backend server chosen for it, or ``None`` if
        there is none.
    :param now: seconds of the runtime's clock.
    :param late: whether the claim cannot be in time any more.
    :param hopeful: whether a late claim may soon find a place.
    """
    waited_s = now - claim.arrived_at
    if late:
        if prospect is not None and _has_spare_place(claim, prospect):
            return Admit(LATE_URGENCY)
        hold_s = LATE_HOLD_SHARE * (claim.deadline - claim.arrived_at)
        return Hold(hold_s) if hopeful and waited_s < hold_s else Turn("late")
    if prospect is not None and _fits(claim, prospect, now):
        urgency = FIRST_URGENCY + max(0, claim.priority)
        return Admit(min(LAST_TIMELY_URGENCY, urgency))
    hold_s = HOLD_SHARE * claim.tightest_s
    return Hold(hold_s) if waited_s < hold_s else Turn("full")


def _has_spare_place(claim, prospect):
    """Tell whether a late ``claim`` leaves enough places to those in time."""
    return (
        prospect.requests < LATE_GROUP_SHARE * prospect.slots
        and prospect.first_event_s <= USABLE_SHARE * claim.tightest_s
    )


def _fits(claim, prospect, now):
    """Tell whether ``claim`` may take its place.

    It may if it is in time, and more urgent ones behind it would be. Where many places
    are free it may in any case: to refuse it would serve nobody.
    """
    own_s = claim.left_s(now) - (1 - USABLE_SHARE) * claim.objective_s
    waited_s = now - claim.arrived_at
    usable_s = min(own_s, USABLE_SHARE * claim.tightest_s - waited_s)
    return prospect.first_event_s <= usable_s or _is_unloaded(prospect)


def _is_unloaded(prospect):
    return prospect.requests < (1 - RESERVED_SHARE) * prospect.slots
