"""Counts of good and bad by minute, in bounded memory."""

from collections import OrderedDict

MINUTE_S = 60
MAX_MINUTES = 24 * 60


class MinuteCounts:
    """Sums of good and bad by minute since the epoch.

    Only the newest ``MAX_MINUTES`` minutes are kept.
    """

    __slots__ = ("sums_by_minute",)

    def __init__(self):
        self.sums_by_minute = OrderedDict()

    def add(self, wall_s, good, bad):
        """Add counts to the minute of ``wall_s``, in seconds since the epoch."""
        minute = int(wall_s // MINUTE_S)
        old_good, old_bad = self.sums_by_minute.get(minute, (0, 0))
        self.sums_by_minute[minute] = (old_good + good, old_bad + bad)
        while len(self.sums_by_minute) > MAX_MINUTES:
            self.sums_by_minute.popitem(last=False)

    def dump(self):
        """Return lists of minute, good and bad."""
        return [[m, good, bad] for m, (good, bad) in self.sums_by_minute.items()]
