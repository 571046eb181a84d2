"""Bounds loads from the weight store."""

# The part of the allowed rate that one leader uses; a predecessor may have
# started loads that its successor does not know of.
SHARE_OF_RATE = 0.6


class LoadLimiter:
    """Admits loads at a rate, counted over a sliding window."""

    __slots__ = ("_starts",)

    def __init__(self):
        self._starts = []

    def admit(self, count, now, *, loads_per_s, window_s):
        """Tell whether ``count`` more loads may start now, and count them if so."""
        self._starts = [at for at in self._starts if at > now - window_s]
        if len(self._starts) + count > loads_per_s * window_s * SHARE_OF_RATE:
            return False
        self._starts += [now] * count
        return True
