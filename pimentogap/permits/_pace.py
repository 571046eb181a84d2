"""How many requests a second a backend server gets, and by which limit."""

import math
from dataclasses import dataclass

from pimentogap.permits._known import MAX_RATE_PER_S, MIN_RATE_PER_S

# A permit that was not used by then has expired.
PERMIT_LIFE_S = 0.3
# Permits that may be saved up, in seconds of the rate.
BURST_S = 0.3
COLD_BURST_S = 0.1
# Permits that are given beyond what was asked for, in seconds of the rate, so that
# large limits do not cost a call for each request.
PREFETCH_S = 0.1
# Daemons that found no permit come back so late that one backend server causes no more
# calls than this; more for one that is cold, which is over soon.
MAX_CALLS_PER_S = 20
COLD_CALLS_PER_PERMIT = 3
# The part of what a cold server bears in a second that its owner's permits may use. The
# rest is for daemons that cannot reach the owner.
OWNER_PART = 0.8


@dataclass(frozen=True, slots=True)
class Pace:
    """The owner of a backend server gives out ``per_s`` permits a second.

    It saves up those of ``burst_s`` seconds, and gives those of ``prefetch_s`` seconds
    beyond what a daemon asks for. Those that it denies one ask ``max_calls_per_s``
    times a second at most. All daemons that cannot reach it may send
    ``shared_per_s`` together, each an even share of which a permit is lost that is not
    used within ``share_life_s``. ``reason`` says what limits the server.
    """

    incarnation: int
    per_s: float
    shared_per_s: float
    burst_s: float
    prefetch_s: float
    max_calls_per_s: float
    share_life_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class ColdBound:
    """A cold server bears ``overrun`` times its rate and ``slack`` in any second."""

    overrun: float
    slack: float

    def pace(self, incarnation, cold_per_s):
        """Return the `Pace` at which no second has more requests than the bound.

        A permit may be used as late as `PERMIT_LIFE_S` after it was given out, and a
        bucket holds one permit at least, so a second sees the permits of a longer time.
        """
        bound = self.overrun * cold_per_s + self.slack
        span_s = 1.0 + PERMIT_LIFE_S
        owner_per_s = (OWNER_PART * bound - 1.0) / (span_s + COLD_BURST_S)
        per_s = max(MIN_RATE_PER_S, min(cold_per_s, owner_per_s))
        shared_per_s = (1.0 - OWNER_PART) * bound / span_s
        return _cold_pace(incarnation, per_s, shared_per_s)


def _cold_pace(incarnation, per_s, shared_per_s):
    return Pace(
        incarnation,
        per_s=per_s,
        shared_per_s=shared_per_s,
        burst_s=COLD_BURST_S,
        prefetch_s=0.0,
        max_calls_per_s=max(MAX_CALLS_PER_S, COLD_CALLS_PER_PERMIT * per_s),
        share_life_s=PERMIT_LIFE_S,
        reason="cold",
    )


def named_pace(incarnation, per_s):
    """Return the `Pace` of a backend server that names a limit."""
    return Pace(
        incarnation,
        per_s=per_s,
        shared_per_s=per_s,
        burst_s=BURST_S,
        prefetch_s=PREFETCH_S,
        max_calls_per_s=MAX_CALLS_PER_S,
        share_life_s=math.inf,
        reason="named",
    )


def decode_pace(body):
    """Return the `Pace` that a daemon names that asks for permits.

    :raises KeyError, TypeError, ValueError: if ``body`` is malformed.
    """
    incarnation, per_s = int(body["incarnation"]), float(body["per_s"])
    if not 0 < per_s <= MAX_RATE_PER_S:
        raise ValueError(f"per_s must be above 0, got {per_s!r}")
    if body.get("reason") == "cold":
        return _cold_pace(incarnation, per_s, 0.0)
    return named_pace(incarnation, per_s)


def slower(first, second):
    """Return the `Pace` that allows less; either may be ``None``."""
    if first is None or second is None:
        return first or second
    return min(first, second, key=lambda pace: pace.per_s)
