"""Corrects estimated times by those that were observed."""

SAMPLE_WEIGHT = 0.2
# An observation beyond these is bounded, so that one stalled answer closes no group.
LEAST_RATIO = 0.5
GREATEST_RATIO = 4.0
# Without samples the ratio returns to 1 by half in this time, so that a model that got
# no requests is tried again.
HALF_LIFE_S = 2.0


class Correction:
    """The smoothed ratio of observed to estimated times of one model."""

    __slots__ = ("_ratio", "_sampled_at")

    def __init__(self):
        self._ratio = 1.0
        self._sampled_at = 0.0

    def record(self, observed_s, estimated_s, now):
        """Add an observation at ``now``, in seconds of the runtime's clock."""
        if not estimated_s > 0 or not observed_s >= 0:
            return
        sample = min(GREATEST_RATIO, max(LEAST_RATIO, observed_s / estimated_s))
        ratio = self.ratio(now)
        self._ratio = ratio + SAMPLE_WEIGHT * (sample - ratio)
        self._sampled_at = now

    def ratio(self, now):
        """Return the factor by which estimates are multiplied."""
        age_s = max(0.0, now - self._sampled_at)
        return 1.0 + (self._ratio - 1.0) * 0.5 ** (age_s / HALF_LIFE_S)
