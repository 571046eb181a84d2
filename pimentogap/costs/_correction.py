"""Corrects estimated times by those that were observed."""

SAMPLE_WEIGHT = 0.05
# Observations beyond these are bounded, so that one stalled answer closes no group.
LEAST_EXCESS_S = -0.1
GREATEST_EXCESS_S = 0.2
# Without samples the correction vanishes by half in this time, so that a model that got
# no requests is tried again.
HALF_LIFE_S = 4.0


class Correction:
    """The smoothed excess of observed over estimated times of one model.

    It holds what the cost model leaves out: the way to the group and back, and work of
    other daemons that is not known yet. Times are in seconds.
    """

    __slots__ = ("_excess_s", "_sampled_at")

    def __init__(self):
        self._excess_s = 0.0
        self._sampled_at = 0.0

    def record(self, observed_s, estimated_s, now):
        """Add an observation at ``now``, in seconds of the runtime's clock."""
        sample_s = observed_s - estimated_s
        # Not a number compares as false.
        if not LEAST_EXCESS_S <= sample_s <= GREATEST_EXCESS_S:
            sample_s = GREATEST_EXCESS_S if sample_s > 0 else LEAST_EXCESS_S
        excess_s = self.excess_s(now)
        self._excess_s = excess_s + SAMPLE_WEIGHT * (sample_s - excess_s)
        self._sampled_at = now

    def excess_s(self, now):
        """Return the seconds to add to an estimate."""
        age_s = max(0.0, now - self._sampled_at)
        return self._excess_s * 0.5 ** (age_s / HALF_LIFE_S)
