"""What one daemon knows of the load and the health of one backend server."""

import math

# How fast a report of load loses weight; about the time that a stream runs.
REPORT_HALF_LIFE_S = 1.5
# A backend server that failed to answer is left out for this long at first.
SUSPICION_S = 1.0
SUSPICION_LIMIT_S = 8.0


class BackendLoad:
    """Requests in flight, the last report of load, and doubts about the health."""

    __slots__ = (
        "backend_id",
        "slots",
        "in_flight",
        "_reported",
        "_reported_at",
        "_own_at_report",
        "_suspected_until",
        "_suspicions",
        "progress_at",
    )

    def __init__(self, backend_id, slots):
        self.backend_id = backend_id
        self.slots = slots
        self.in_flight = 0
        self._reported = 0
        self._reported_at = -math.inf
        self._own_at_report = 0
        self._suspected_until = -math.inf
        self._suspicions = 0
        self.progress_at = -math.inf

    def report(self, load, now):
        """Note the `EngineLoad` that came with an answer."""
        self._reported = load.running + load.waiting
        self._reported_at = now
        self._own_at_report = self.in_flight

    def progressed(self, now):
        """Note that bytes of an answer came, which ends any suspicion."""
        self.progress_at = now
        self._suspected_until = -math.inf
        self._suspicions = 0

    def suspect(self, now, *, for_s=None):
        """Leave the backend server out for a while, longer each time in a row."""
        self._suspicions += 1
        if for_s is None:
            for_s = min(SUSPICION_LIMIT_S, SUSPICION_S * 2 ** (self._suspicions - 1))
        self._suspected_until = max(self._suspected_until, now + for_s)

    def is_suspect(self, now):
        """Tell whether the backend server is left out at present."""
        return now < self._suspected_until

    def expected(self, now):
        """Return the estimate of requests that run or wait there."""
        others = max(0, self._reported - self._own_at_report)
        if others:
            others *= 0.5 ** ((now - self._reported_at) / REPORT_HALF_LIFE_S)
        return self.in_flight + others

    def fullness(self, now):
        """Return the expected requests for each slot."""
        return self.expected(now) / self.slots
