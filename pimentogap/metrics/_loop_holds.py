"""Measures for how long the event loop is held by the tasks that it runs."""

import asyncio
import selectors
import time
from bisect import bisect_left

# Upper bounds of the buckets in seconds; 20 ms is the most that one peer may cost.
BOUNDS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5)
NAME = "pimentogap_event_loop_held_seconds"


class LoopHolds:
    """Counts the iterations of the event loop by how long they took.

    An iteration runs each task that is ready, once. The time in which nothing was ready
    does not count. ``longest_s`` is the longest iteration.
    """

    __slots__ = ("longest_s", "_counts", "_sum_s")

    def __init__(self):
        self.longest_s = 0.0
        self._counts = [0] * (len(BOUNDS_S) + 1)
        self._sum_s = 0.0

    def record(self, held_s):
        """Count one iteration."""
        self._counts[bisect_left(BOUNDS_S, held_s)] += 1
        self._sum_s += held_s
        if held_s > self.longest_s:
            self.longest_s = held_s

    def lines(self):
        """Return the histogram in the Prometheus text format, as lines."""
        lines = []
        total = 0
        for bound_s, count in zip((*BOUNDS_S, "+Inf"), self._counts, strict=True):
            total += count
            lines.append(f'{NAME}_bucket{{le="{bound_s}"}} {total}')
        lines.append(f"{NAME}_count {total}")
        lines.append(f"{NAME}_sum {self._sum_s:.6f}")
        lines.append(f"{NAME}_max {self.longest_s:.6f}")
        return lines


class _MeasuringSelector(selectors.DefaultSelector):
    """Records the time between two calls of ``select``, one for each iteration."""

    def __init__(self, holds, clock):
        super().__init__()
        self._holds = holds
        self._clock = clock
        self._returned_at = None

    def select(self, timeout=None):
        if self._returned_at is not None:
            self._holds.record(self._clock() - self._returned_at)
        events = super().select(timeout)
        self._returned_at = self._clock()
        return events


def measured_event_loop(holds, *, clock=time.perf_counter):
    """Return a new event loop whose iterations are recorded in ``holds``.

    :param clock: a function that returns seconds.
    """
    return asyncio.SelectorEventLoop(_MeasuringSelector(holds, clock))
