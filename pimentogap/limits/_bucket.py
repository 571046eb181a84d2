"""Token buckets that hold a daemon's share of a fleet-wide limit."""


class ShareBucket:
    """Admits requests up to a rate and a burst, both shares of a whole.

    Times are in seconds of the runtime's clock.
    """

    __slots__ = ("rate_per_s", "burst", "_level", "_filled_at")

    def __init__(self, *, rate_per_s, burst, now):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = burst
        self._filled_at = now

    def resize(self, *, rate_per_s, burst, now):
        """Change the share; what is left of the burst is scaled with it."""
        self._fill(now)
        if self.burst > 0:
            self._level *= burst / self.burst
        self.rate_per_s = rate_per_s
        self.burst = burst

    def take(self, now):
        """Take one request; return zero, or the seconds until one is free."""
        self._fill(now)
        if self._level >= 1:
            self._level -= 1
            return 0.0
        return (1 - self._level) / self.rate_per_s

    def _fill(self, now):
        added = (now - self._filled_at) * self.rate_per_s
        self._level = min(self.burst, self._level + added)
        self._filled_at = now
