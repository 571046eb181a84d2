"""The flow of requests to a model, of this daemon and of all others."""

import math
from collections import deque

# Requests are counted over this time.
WINDOW_S = 0.5
# Time constant of the average time that a request is at work.
STAY_AVERAGE_TIME_S = 2.0
INITIAL_STAY_S = 1.0
MIN_STAY_S = 0.005
MAX_STAY_S = 60.0


class RecentCount:
    """Counts events of the last `WINDOW_S` seconds."""

    __slots__ = ("_times",)

    def __init__(self):
        self._times = deque()

    def record(self, now):
        """Count an event at ``now``, in seconds of the runtime's clock."""
        self._times.append(now)
        self.count(now)

    def count(self, now):
        """Return the number of events in the window that ends now."""
        times = self._times
        while times and times[0] <= now - WINDOW_S:
            times.popleft()
        return len(times)


class ModelFlow:
    """How many requests for a model look for a backend server, and how many are sent.

    ``asked`` and ``sent`` count those of this daemon.
    """

    __slots__ = (
        "asked",
        "sent",
        "_others_asked",
        "_others_sent",
        "_stay_s",
        "_updated_at",
    )

    def __init__(self):
        self.asked = RecentCount()
        self.sent = RecentCount()
        self._others_asked = 0
        self._others_sent = 0
        self._stay_s = INITIAL_STAY_S
        self._updated_at = -math.inf

    def counts(self, now):
        """Return the requests that asked and those that were sent, as a tuple."""
        return self.asked.count(now), self.sent.count(now)

    def record_others(self, counts, at_work, now):
        """Record what other daemons counted, and how many requests all have at work."""
        self._others_asked, self._others_sent = counts
        sent_per_s = (self._others_sent + self.sent.count(now)) / WINDOW_S
        if not sent_per_s:
            return
        stay_s = min(MAX_STAY_S, max(MIN_STAY_S, at_work / sent_per_s))
        elapsed_s = min(STAY_AVERAGE_TIME_S, now - self._updated_at)
        weight = elapsed_s / STAY_AVERAGE_TIME_S
        self._stay_s += weight * (stay_s - self._stay_s)
        self._updated_at = now

    def kept_share(self, age_s):
        """Return the share of requests at work that still are after ``age_s``."""
        return math.exp(-age_s / self._stay_s)

    def others_since(self, age_s):
        """Return how many requests of others, asked in ``age_s``, are still at work."""
        rate = self._others_asked / WINDOW_S
        return rate * self._stay_s * (1.0 - self.kept_share(age_s))
