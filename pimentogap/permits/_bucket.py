"""The permits that one daemon gives out for the backend servers that it owns."""

from collections import deque

CALL_WINDOW_S = 1.0


class PermitBucket:
    """A token bucket of permits for one backend server, empty at first.

    Times are in seconds of the runtime's clock.
    """

    __slots__ = ("incarnation", "per_s", "_permits", "_refilled_at", "_calls")

    def __init__(self, pace, now):
        """Give out permits at the rate of ``pace``, a `Pace`."""
        self.incarnation = pace.incarnation
        self.per_s = pace.per_s
        self._permits = 0.0
        self._refilled_at = now
        self._calls = deque()

    def refill(self, pace, now):
        """Add the permits since the last call, at the rate that ``pace`` has now."""
        per_s = pace.per_s
        added = (now - self._refilled_at) * min(per_s, self.per_s)
        burst = 1.0 + pace.burst_s * per_s
        self._permits = min(burst, self._permits + max(0.0, added))
        self._refilled_at = max(now, self._refilled_at)
        self.per_s = per_s

    def take(self, wanted, prefetch_s):
        """Take up to ``wanted`` permits and some for later; return how many."""
        taken = min(int(self._permits), wanted + int(self.per_s * prefetch_s))
        self._permits -= taken
        return taken

    def next_in_s(self, now, max_calls_per_s):
        """Return when a daemon that found no permit should ask again, in seconds."""
        calls = self._calls
        calls.append(now)
        while calls[0] < now - CALL_WINDOW_S:
            calls.popleft()
        next_permit_s = (1.0 - self._permits) / self.per_s
        return max(next_permit_s, len(calls) / max_calls_per_s * CALL_WINDOW_S)


class PermitIssuer:
    """The buckets of the backend servers whose permits this daemon gives out."""

    __slots__ = ("_buckets_by_id",)

    def __init__(self):
        self._buckets_by_id = {}

    def issue(self, backend_id, pace, wanted, now):
        """Return how many permits are given, and when to ask again if none is.

        :param pace: the `Pace` in force.
        """
        bucket = self._buckets_by_id.get(backend_id)
        if bucket is None or bucket.incarnation != pace.incarnation:
            bucket = self._buckets_by_id[backend_id] = PermitBucket(pace, now)
        bucket.refill(pace, now)
        taken = bucket.take(wanted, pace.prefetch_s)
        return taken, 0.0 if taken else bucket.next_in_s(now, pace.max_calls_per_s)

    def forget(self, is_listed):
        """Forget the backend servers for whose id ``is_listed`` returns ``False``."""
        for id_ in [id_ for id_ in self._buckets_by_id if not is_listed(id_)]:
            del self._buckets_by_id[id_]
