"""Estimates how long streams of a model take, to tell a stalled one from a slow one."""

import math

# Weights of a new sample in the mean and in the mean deviation, and the number of
# deviations beyond the mean, as for TCP's retransmission timer: V. Jacobson and
# M. Karels, "Congestion Avoidance and Control", SIGCOMM 1988.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0
# Without a sample for this long, an estimate says nothing about the load any more.
MAX_AGE_S = 10.0
# Each stall lengthens the next timeouts, since a model that is slow everywhere gains
# nothing from second attempts; each answer shortens them. They stay as they are while
# 29 % of the attempts stall, three times as many as one group of ten can cause.
BACKOFF_BY_STALL = 1.5
BACKOFF_BY_ANSWER = 0.85
MAX_BACKOFF = 5.0
# A wait this many times as long as the fastest group's is slow, if it also misses the
# objective; the fastest is the best of so many seconds, as in TCP BBR (N. Cardwell et
# al., "BBR: Congestion-Based Congestion Control", ACM Queue 2016).
SLOW_FACTOR = 2.0
FASTEST_S = 10.0


class Timing:
    """The mean and the mean deviation of one kind of wait, in seconds."""

    __slots__ = ("_mean_s", "_deviation_s", "_sampled_at")

    def __init__(self):
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._sampled_at = None

    def record(self, sample_s, now):
        """Add a sample at ``now``, in seconds of the runtime's clock."""
        if self._sampled_at is None or now - self._sampled_at > MAX_AGE_S:
            self._mean_s, self._deviation_s = sample_s, sample_s / 2
        else:
            error_s = sample_s - self._mean_s
            self._mean_s += MEAN_WEIGHT * error_s
            self._deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self._deviation_s)
        self._sampled_at = now

    def longest_s(self, now):
        """Return the wait that hardly any sound stream exceeds; 0 if unknown."""
        if self._sampled_at is None or now - self._sampled_at > MAX_AGE_S:
            return 0.0
        return self._mean_s + DEVIATIONS * self._deviation_s


class Fastest:
    """The shortest wait of the last `FASTEST_S` to twice as many seconds."""

    __slots__ = ("_before_s", "_latest_s", "_since")

    def __init__(self):
        self._before_s = math.inf
        self._latest_s = math.inf
        self._since = -math.inf

    def record(self, sample_s, now):
        """Add a sample at ``now``, in seconds of the runtime's clock."""
        if now - self._since > FASTEST_S:
            self._before_s, self._latest_s = self._latest_s, math.inf
            self._since = now
        self._latest_s = min(self._latest_s, sample_s)

    def shortest_s(self):
        """Return the shortest wait in seconds, infinite if there was none."""
        return min(self._before_s, self._latest_s)


class ModelLatency:
    """What this daemon saw of the streams of one model, over all its groups."""

    __slots__ = ("_first_event", "_fastest", "_gap", "_backoff")

    def __init__(self):
        self._first_event = Timing()
        self._fastest = Fastest()
        self._gap = Timing()
        self._backoff = 1.0

    def record_first_event(self, waited_s, now):
        """Record that the first event of an attempt took ``waited_s`` seconds."""
        self._first_event.record(waited_s, now)
        self._fastest.record(waited_s, now)
        self._backoff = max(1.0, self._backoff * BACKOFF_BY_ANSWER)

    def slow_after_s(self, objective_s):
        """Return the wait for a first event from which a backend server is slow.

        A wait within the objective is not; neither is one that no group beats by far.
        """
        shortest_s = self._fastest.shortest_s()
        if shortest_s == math.inf:
            return objective_s
        return max(objective_s, SLOW_FACTOR * shortest_s)

    def record_gap(self, gap_s, now):
        """Record the ``gap_s`` seconds between two events."""
        self._gap.record(gap_s, now)

    def record_stall(self):
        """Record that an attempt was given up for another."""
        self._backoff = min(MAX_BACKOFF, self._backoff * BACKOFF_BY_STALL)

    def first_event_timeout_s(self, least_s, now):
        """Return how long to wait for a first event, at least ``least_s`` seconds."""
        return max(least_s, self._first_event.longest_s(now)) * self._backoff

    def gap_timeout_s(self, least_s, now):
        """Return how long to wait for the next event, at least ``least_s`` seconds."""
        return max(least_s, self._gap.longest_s(now)) * self._backoff
