"""An event loop whose clock is paused and advances only when no task can run."""

import asyncio
import selectors

LOOP_ITERATION_S = 1e-9


class _AdvancingSelector(selectors.DefaultSelector):
    """Advances the loop's clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.loop = None

    def select(self, timeout=None):
        events = super().select(0)
        # Every iteration advances the clock a little, so that it can't stay just short
        # of a deadline for ever.
        self.loop.advance(LOOP_ITERATION_S)
        if events or timeout == 0:
            return events
        if timeout is None:
            raise RuntimeError("deadlock: every task waits and no timer is set")
        self.loop.advance(timeout)
        return []


class PausedEventLoop(asyncio.SelectorEventLoop):
    """An event loop that fires timers in order without waiting for them."""

    def __init__(self):
        selector = _AdvancingSelector()
        self._paused_time = 0.0
        super().__init__(selector)
        selector.loop = self

    def time(self):
        """Return the time of the paused clock in seconds."""
        return self._paused_time

    def advance(self, seconds):
        """Advance the clock."""
        self._paused_time += seconds


def run_paused(main):
    """Run the coroutine ``main`` on a paused loop and return its result.

    :raises RuntimeError: if every task waits and no timer is set.
    """
    with asyncio.Runner(loop_factory=PausedEventLoop) as runner:
        return runner.run(main)
