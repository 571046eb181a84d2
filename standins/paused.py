"""An event loop whose time is paused and advances only when nothing is left to do."""

import asyncio
import selectors

TURN_S = 1e-9


class _AdvancingSelector(selectors.DefaultSelector):
    """Moves the loop's time on instead of waiting."""

    def __init__(self):
        super().__init__()
        self.loop = None

    def select(self, timeout=None):
        events = super().select(0)
        # A turn of the loop takes some time, so that no deadline is approached
        # for ever without being reached.
        self.loop.advance(TURN_S)
        if events or timeout == 0:
            return events
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.loop.advance(timeout)
        return []


class PausedEventLoop(asyncio.SelectorEventLoop):
    """Runs tasks at full speed; timers fire in order, without waiting."""

    def __init__(self):
        selector = _AdvancingSelector()
        self._paused_time = 0.0
        super().__init__(selector)
        selector.loop = self

    def time(self):
        """Return the paused time in seconds."""
        return self._paused_time

    def advance(self, seconds):
        """Move the time on."""
        self._paused_time += seconds


def run_paused(main):
    """Run the coroutine ``main`` on a paused loop and return its result."""
    with asyncio.Runner(loop_factory=PausedEventLoop) as runner:
        return runner.run(main)
