"""The service that notices that the process did not run for some seconds."""

import math

from logbook import Logger

from pimentogap.kernel import RestartOnError

log = Logger("pauses")

TICK_INTERVAL_S = 0.5
# A process that did not run for this long may have missed a configuration that is in
# force everywhere else. A busy one is late by less.
PAUSE_S = 2.0
# A request that finds the daemon out of date waits this long for news; a daemon that
# lost its relay and the store tries again within 0.65 s.
MAX_HOLD_S = 1.0
# Without news the daemon goes on with what it knows, as it does without the store.
MAX_DOUBT_S = 3.0
CHECK_INTERVAL_S = 0.02


class PauseService:
    """Tells whether the daemon knows what happened while it was paused.

    A paused process does not notice that time passes: its first requests afterwards
    would be handled by routes, keys and backend servers of before. Time is measured on
    a clock that goes on while the VM is suspended.
    """

    name = "pauses"
    requires = ("relay",)
    __slots__ = ("_kernel", "_collections", "_ticked_at", "_resumed_at")

    def __init__(self, collections):
        """Name the ``collections`` that must be up to date for a request."""
        self._kernel = None
        self._collections = collections
        self._ticked_at = 0.0
        self._resumed_at = None

    async def start(self, kernel):
        """Start the task by which a pause is noticed."""
        self._kernel = kernel
        self._ticked_at = kernel.clock.boot_time()
        kernel.spawn(self.name, self._tick, on_error=RestartOnError())

    async def stop(self):
        """Do nothing; the kernel ends the task."""

    async def wait_until_current(self, *, give_up_at=math.inf):
        """Wait until the daemon is up to date; return whether a request may run.

        It returns at once unless the process has just been paused.

        :param give_up_at: waits no longer, in seconds of the runtime's clock.
        """
        self._notice_pause()
        if self._resumed_at is None:
            return True
        clock = self._kernel.clock
        give_up_at = min(give_up_at, clock.time() + MAX_HOLD_S)
        while not self._is_current():
            if clock.time() >= give_up_at:
                return False
            await clock.sleep(CHECK_INTERVAL_S)
        return True

    def is_current(self):
        """Return whether the daemon is up to date, without waiting for it."""
        self._notice_pause()
        return self._is_current()

    def _is_current(self):
        resumed_at = self._resumed_at
        if resumed_at is None:
            return True
        relay = self._kernel.get("relay")
        in_doubt_s = self._kernel.clock.boot_time() - resumed_at
        confirmed = all(
            relay.has_news(collection, resumed_at) for collection in self._collections
        )
        if confirmed or in_doubt_s >= MAX_DOUBT_S:
            self._resumed_at = None
            log.notice("up to date after pause", doubt_s=round(in_doubt_s, 3))
            return True
        return False

    def _notice_pause(self):
        now = self._kernel.clock.boot_time()
        paused_s = now - self._ticked_at
        self._ticked_at = now
        if paused_s >= PAUSE_S:
            self._resumed_at = now
            self._kernel.get("relay").require_news(self._resumed_at)
            log.warning("process was paused", paused_s=round(paused_s, 3))

    async def _tick(self):
        while True:
            self._notice_pause()
            await self._kernel.clock.sleep(TICK_INTERVAL_S)
