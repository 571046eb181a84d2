"""Bounds loads from the weight store."""

# The part of the allowed rate that one leader uses; a predecessor may have
# started loads that its successor does not know of.
SHARE_OF_RATE = 0.6
# Loads beyond those that the weight store carries at full speed slow each other
# down. A group that cannot serve without them may go a little beyond; weights for
# the next repair leave room for this one.
GROUP_CROWDING = 1.5
STAGING_CROWDING = 0.5


class LoadLimiter:
    """Admits loads at a rate over a sliding window, and so many at once."""

    __slots__ = ("_starts", "_ends")

    def __init__(self):
        self._starts = []
        self._ends = []

    def admit(self, engine, count, now, *, load_s, window_s, crowding):
        """Tell whether ``count`` more loads may start now, and count them if so.

        :param engine: the `EngineSpec`, for the bounds of the weight store.
        :param load_s: seconds that each load takes by itself.
        :param window_s: seconds in which the rate is counted.
        :param crowding: how many loads at once, for each one at full speed.
        """
        self._starts = [at for at in self._starts if at > now - window_s]
        self._ends = [at for at in self._ends if at > now]
        if len(self._starts) + count > engine.loads_per_s * window_s * SHARE_OF_RATE:
            return False
        if self._ends and len(self._ends) + count > engine.loads_at_once * crowding:
            return False
        self.note(count, now, load_s=load_s)
        self._starts += [now] * count
        return True

    def note(self, count, now, *, load_s):
        """Count loads that have begun already and go on for ``load_s`` seconds."""
        self._ends += [now + load_s] * count
