"""Counts of good and bad for each minute, in bounded memory."""

from collections import OrderedDict

MINUTE_S = 60
MINUTES_KEPT = 24 * 60


class MinuteCounts:
    """Sums for each minute since the epoch; the oldest minutes are dropped."""

    __slots__ = ("sums_by_minute",)

    def __init__(self):
        self.sums_by_minute = OrderedDict()

    def add(self, wall_s, good, bad):
        """Add to the minute of ``wall_s``, seconds since the epoch."""
        minute = int(wall_s // MINUTE_S)
        old_good, old_bad = self.sums_by_minute.get(minute, (0, 0))
        self.sums_by_minute[minute] = (old_good + good, old_bad + bad)
        while len(self.sums_by_minute) > MINUTES_KEPT:
            self.sums_by_minute.popitem(last=False)

    def dump(self):
        """Return the minutes with their sums as plain data."""
        return [[m, good, bad] for m, (good, bad) in self.sums_by_minute.items()]
