"""The decision whether a request takes a place, waits for one, or gives up."""

from dataclasses import dataclass

# Fraction of an objective that estimates may fill; the rest covers their errors and the
# way between caller, daemon and backend server.
USABLE_SHARE = 0.9
# How long a request that can still be in time waits for a place, as a fraction of its
# objective. Callers can ask elsewhere meanwhile.
HOLD_SHARE = 0.125
# A caller that comes back late has nobody else to ask. It waits for a fraction of the
# time that it has left.
LATE_HOLD_SHARE = 0.25
# Fraction of all places that late requests leave to those in time.
RESERVED_SHARE = 0.2
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
    """What the best backend server offers a request.

    ``requests`` run or wait there, for ``slots`` places. The first event is expected in
    ``first_event_s`` seconds, and in ``unloaded_s`` if nobody else were there.
    ``free_share`` is the fraction of the places of all backend servers that are free.
    """

    requests: float
    slots: int
    first_event_s: float
    unloaded_s: float
    free_share: float = 1.0


def decide(claim, prospect, now):
    """Return `Admit`, `Hold` or `Turn` for ``claim``.

    :param claim: the `Claim`.
    :param prospect: the `Prospect` at the best backend server, or ``None`` if none
        takes another request.
    :param now: seconds of the runtime's clock.
    """
    left_s = claim.left_s(now)
    waited_s = now - claim.arrived_at
    if is_late(claim, prospect, now):
        if _has_spare_place(claim, prospect):
            return Admit(LATE_URGENCY)
        hold_s = LATE_HOLD_SHARE * (claim.deadline - claim.arrived_at)
        return Hold(hold_s) if waited_s < hold_s else Turn("late")
    if _fits(claim, prospect, left_s):
        urgency = FIRST_URGENCY + max(0, claim.priority)
        return Admit(min(LAST_TIMELY_URGENCY, urgency))
    hold_s = HOLD_SHARE * claim.objective_s
    return Hold(hold_s) if waited_s < hold_s else Turn("full")


def is_late(claim, prospect, now):
    """Tell whether ``claim`` cannot be in time, even if nobody else were there."""
    least_s = prospect.unloaded_s if prospect is not None else 0.0
    return claim.left_s(now) < least_s


def _has_spare_place(claim, prospect):
    """Tell whether a late ``claim`` takes a place that nobody else could use in time."""
    return (
        prospect is not None
        and prospect.requests < prospect.slots
        and prospect.free_share > RESERVED_SHARE
        and prospect.first_event_s <= USABLE_SHARE * claim.tightest_s
    )


def _fits(claim, prospect, left_s):
    """Tell whether ``claim`` is in time, and so would be more urgent ones after it."""
    if prospect is None:
        return False
    own_s = left_s - (1 - USABLE_SHARE) * claim.objective_s
    return prospect.first_event_s <= min(own_s, USABLE_SHARE * claim.tightest_s)
