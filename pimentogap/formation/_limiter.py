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
    """Admits loads at a rate over a sliding window, and so many at once.

    What is admitted is counted. A group that is larger than a bound goes by
    itself, since it could never be formed otherwise.
    """

    __slots__ = ("_window_s", "_starts", "_ends", "_counted_from")

    def __init__(self, window_s):
        """Count the rate over ``window_s`` seconds."""
        self._window_s = window_s
        self._starts = []
        self._ends = []
        self._counted_from = None

    def restart(self, now):
        """Expect loads of a predecessor, who led until ``now``, in the window."""
        self._counted_from = now

    def admit_group(self, engine, count, now, *, load_s):
        """Tell whether ``count`` members of a new group may load now.

        :param engine: the `EngineSpec`, for the bounds of the weight store.
        :param load_s: seconds that each load takes by itself.
        """
        self._forget(now)
        room = engine.loads_at_once * GROUP_CROWDING
        staging = engine.loads_at_once * STAGING_CROWDING
        crowded = len(self._ends) + count > room
        if crowded and (count + staging <= room or len(self._ends) > staging):
            return False
        alone = not self._starts and now - self._counted_from >= self._window_s
        if not alone and not self._keeps_rate(engine, count):
            return False
        self._start(count, now, load_s)
        return True

    def admit_staging(self, engine, now, *, load_s):
        """Tell whether one host may load weights for the next repair now."""
        self._forget(now)
        room = engine.loads_at_once * STAGING_CROWDING
        if len(self._ends) + 1 > room or not self._keeps_rate(engine, 1):
            return False
        self._start(1, now, load_s)
        return True

    def note(self, count, now, *, load_s):
        """Count loads that have begun already and go on for ``load_s`` seconds."""
        self._ends += [now + load_s] * count

    def _keeps_rate(self, engine, count):
        most = engine.loads_per_s * self._window_s * SHARE_OF_RATE
        return len(self._starts) + count <= most

    def _start(self, count, now, load_s):
        self._starts += [now] * count
        self.note(count, now, load_s=load_s)

    def _forget(self, now):
        self._starts = [at for at in self._starts if at > now - self._window_s]
        self._ends = [at for at in self._ends if at > now]
