"""A token bucket for a daemon's share of a fleet-wide rate limit."""


class ShareBucket:
    """Admits requests up to a rate and a burst, a daemon's share of the fleet's.

    Times are in seconds of the runtime's clock.
    """

    __slots__ = ("rate_per_s", "burst", "_tokens", "_refilled_at")

    def __init__(self, *, rate_per_s, burst, now):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._refilled_at = now

    def resize(self, *, rate_per_s, burst, now):
        """Change the share; the tokens left are scaled with the burst."""
        self._refill(now)
        if self.burst > 0:
            self._tokens *= burst / self.burst
        self.rate_per_s = rate_per_s
        self.burst = burst

    def acquire(self, now):
        """Take a token and return 0, or return the seconds until the next token."""
        self._refill(now)
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / self.rate_per_s

    def _refill(self, now):
        added = (now - self._refilled_at) * self.rate_per_s
        self._tokens = min(self.burst, self._tokens + added)
        self._refilled_at = now
