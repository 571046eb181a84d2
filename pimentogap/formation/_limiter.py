"""Limits the rate and the number of concurrent loads from the weight store."""

# Fraction of the allowed rate that one leader uses; a predecessor may have started
# loads that its successor does not know of.
LEADER_RATE_FRACTION = 0.6
# Limits on concurrent loads, as factors on ``loads_at_once``, the number that the
# weight store carries at full speed; loads beyond it slow each other down. A new
# group cannot serve before its loads end, so it may exceed that number. Staging for
# the next repair stays below it, to leave capacity for a repair that starts now.
GROUP_CONCURRENCY_FACTOR = 1.5
STAGING_CONCURRENCY_FACTOR = 0.5


class LoadLimiter:
    """Limits loads to a rate over a sliding window and to a number at once.

    Admitted loads are counted against both limits. A group that is larger than a
    limit could never be formed within it. It is admitted past the rate once no load
    has started within the window, and past the number at once while no more loads
    run than the limit for staging. Times are in seconds of the runtime's clock.
    """

    __slots__ = ("_window_s", "_start_times", "_end_times", "_term_started_at")

    def __init__(self, window_s):
        """Create a limiter whose rate is counted over ``window_s`` seconds."""
        self._window_s = window_s
        self._start_times = []
        self._end_times = []
        self._term_started_at = None

    def begin_term(self, now):
        """Begin a term of this leader at ``now``.

        The previous leader may have started loads within the window before that.
        """
        self._term_started_at = now

    def admit_group(self, engine, count, now, *, load_s):
        """Return whether ``count`` members of a new group may load; count them if so.

        :param engine: the `EngineSpec`, for the limits of the weight store.
        :param load_s: seconds that a load takes while no other load runs.
        """
        self._prune(now)
        limit = engine.loads_at_once * GROUP_CONCURRENCY_FACTOR
        staging_limit = engine.loads_at_once * STAGING_CONCURRENCY_FACTOR
        exceeds_limit = len(self._end_times) + count > limit
        if exceeds_limit and (
            count + staging_limit <= limit or len(self._end_times) > staging_limit
        ):
            return False
        window_is_empty = (
            not self._start_times and now - self._term_started_at >= self._window_s
        )
        if not window_is_empty and not self._is_within_rate(engine, count):
            return False
        self._record_start(engine, count, now, load_s)
        return True

    def admit_staging(self, engine, now, *, load_s):
        """Return whether one host may stage weights now; count the load if so.

        :param engine: the `EngineSpec`, for the limits of the weight store.
        :param load_s: seconds that a load takes while no other load runs.
        """
        self._prune(now)
        limit = engine.loads_at_once * STAGING_CONCURRENCY_FACTOR
        if len(self._end_times) + 1 > limit or not self._is_within_rate(engine, 1):
            return False
        self._record_start(engine, 1, now, load_s)
        return True

    def record_running_loads(self, count, now, *, load_s):
        """Count ``count`` loads as running until ``load_s`` seconds after ``now``.

        They count as concurrent loads only, not against the rate.
        """
        self._end_times += [now + load_s] * count

    def _is_within_rate(self, engine, count):
        max_starts = engine.loads_per_s * self._window_s * LEADER_RATE_FRACTION
        return len(self._start_times) + count <= max_starts

    def _record_start(self, engine, count, now, load_s):
        """Count ``count`` new loads; they slow each other and the running ones down."""
        running = len(self._end_times)
        slowdown = _slowdown(engine, running + count)
        stretch = slowdown / _slowdown(engine, running)
        self._end_times = [now + (end - now) * stretch for end in self._end_times]
        self._start_times += [now] * count
        self.record_running_loads(count, now, load_s=load_s * slowdown)

    def _prune(self, now):
        self._start_times = [
            at for at in self._start_times if at > now - self._window_s
        ]
        self._end_times = [at for at in self._end_times if at > now]


def _slowdown(engine, count):
    """Return how many times longer a load takes while ``count`` loads run."""
    return max(1.0, count / engine.loads_at_once)
