"""The clock that every service reads."""

import asyncio
import time


class Clock:
    """The runtime's clock: the time of the running event loop.

    Tests run on an event loop whose time they pause and advance, so services
    read no clock but this one.
    """

    __slots__ = ("_wall_origin_s", "_boot_time")

    def __init__(self, *, wall_origin_s=None, boot_time=None):
        """Set how wall time and boot time relate to the loop's time.

        :param wall_origin_s: seconds since the epoch at loop time zero; taken
            from the host's wall clock by default.
        :param boot_time: a function that returns seconds, including those for
            which the VM was suspended; reads the host's time since boot by
            default.
        """
        self._boot_time = boot_time or _host_boot_time
        if wall_origin_s is None:
            wall_origin_s = time.time() - time.monotonic()
        self._wall_origin_s = wall_origin_s

    def time(self):
        """Return the loop's monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self):
        """Return seconds since the epoch, for stored records and timestamps."""
        return self._wall_origin_s + self.time()

    def boot_time(self):
        """Return seconds that, unlike `time`, include those of a suspended VM."""
        return self._boot_time()

    async def sleep(self, delay_s):
        """Suspend the calling task for ``delay_s`` seconds."""
        await asyncio.sleep(delay_s)

    def timeout(self, delay_s):
        """Return an async context manager that ends its body after ``delay_s`` seconds.

        It raises ``TimeoutError`` then.
        """
        return asyncio.timeout(delay_s)


def _host_boot_time():
    return time.clock_gettime(time.CLOCK_BOOTTIME)
