"""The clock of the runtime."""

import asyncio
import time


class Clock:
    """Time as the running event loop counts it.

    Tests run on an event loop whose time is paused and advanced; nothing in
    the package reads another clock.
    """

    __slots__ = ("_wall_origin_s", "_boot_time")

    def __init__(self, *, wall_origin_s=None, boot_time=None):
        """Bind wall time to the loop's time.

        :param wall_origin_s: seconds since the epoch at loop time zero; the
            host's wall clock decides when it is left out.
        :param boot_time: returns seconds, those of a suspension included; the
            host's clock since its boot by default.
        """
        self._boot_time = boot_time or _host_boot_time
        if wall_origin_s is None:
            wall_origin_s = time.time() - time.monotonic()
        self._wall_origin_s = wall_origin_s

    def time(self):
        """Return the loop's monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self):
        """Return seconds since the epoch, for records that people read."""
        return self._wall_origin_s + self.time()

    def boot_time(self):
        """Return seconds that go on while the VM is suspended, unlike `time`."""
        return self._boot_time()

    async def sleep(self, delay_s):
        """Suspend the calling task for ``delay_s`` seconds."""
        await asyncio.sleep(delay_s)

    def timeout(self, delay_s):
        """Return a context manager that raises ``TimeoutError`` after ``delay_s``."""
        return asyncio.timeout(delay_s)


def _host_boot_time():
    return time.clock_gettime(time.CLOCK_BOOTTIME)
