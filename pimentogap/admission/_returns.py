"""Decides when callers who are refused for want of room come back."""

import heapq
import math

# Callers wait at most a third of the time that they have left.
LATEST_SHARE = 0.32
# Most have a single retry, so nobody is told to come much sooner than that.
EARLIEST_SHARE = 0.6
MAX_WAIT_S = 2.5
MIN_WAIT_S = 0.1
# Those who find no place for a long time come spread over this end of their waits.
SPREAD_SHARE = 0.4


class ReturnBook:
    """Who was told to come back when, of one service and model.

    Times are in seconds of the runtime's clock.
    """

    __slots__ = ("_promised_at", "_last_at")

    def __init__(self):
        self._promised_at = []
        self._last_at = -math.inf

    def promised(self, now):
        """Return how many callers are still to come back."""
        while self._promised_at and self._promised_at[0] <= now:
            heapq.heappop(self._promised_at)
        return len(self._promised_at)

    def tell(self, now, *, left_s, places_per_s, rng):
        """Return the seconds after which a caller finds a place, and note it.

        :param left_s: seconds that the caller has left.
        :param places_per_s: the rate at which this daemon gets places for callers who
            come back.
        :param rng: the random generator that spreads the returns.
        """
        latest_s = min(MAX_WAIT_S, LATEST_SHARE * left_s)
        at = now + EARLIEST_SHARE * latest_s
        interval_s = 1 / places_per_s if places_per_s > 0 else math.inf
        at = max(at, self._last_at + interval_s)
        if at <= now + latest_s:
            self._last_at = at
        else:
            at = now + latest_s * (1 - SPREAD_SHARE * rng.random())
        at = max(at, now + MIN_WAIT_S)
        heapq.heappush(self._promised_at, at)
        return at - now
