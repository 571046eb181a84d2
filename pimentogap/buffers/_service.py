"""The service that bounds what is buffered of answers."""

from logbook import Logger

from pimentogap.buffers._account import AnswerAccount
from pimentogap.intake import BASE_BYTES, ChunkTurns
from pimentogap.metrics import Series

log = Logger("buffers")

MIB = 2**20
# Of the memory above what a daemon without callers needs. Callers' bodies have most of
# it; the rest is for what libraries and the kernel hold of connections.
ANSWERS_SHARE = 0.15
MIN_BYTES = 2 * MIB
REPORT_INTERVAL_S = 1.0


class BufferService:
    """Keeps what is buffered of answers within what the VM has.

    An answer that finds no room is passed on as it comes, or is lost if that cannot be.
    ``turns`` are those of streams of many small events.
    """

    name = "buffers"
    requires = ("metrics",)
    __slots__ = ("account", "turns", "_kernel", "_metrics")

    def __init__(self, settings):
        """Derive the limit from the memory in ``settings``, the `FrontSettings`."""
        spare = settings.memory_mb * MIB - BASE_BYTES
        self.account = AnswerAccount(max(MIN_BYTES, int(spare * ANSWERS_SHARE)))
        self.turns = None
        self._kernel = None
        self._metrics = None

    async def start(self, kernel):
        """Begin to report answers for which there is no room."""
        self._kernel = kernel
        self.turns = ChunkTurns(kernel.clock, only_under_load=True)
        self._metrics = kernel.get("metrics")
        kernel.spawn(self.name, self._report_regularly)

    async def stop(self):
        """Do nothing; the kernel cancels the task."""

    def open(self):
        """Return the `AnswerBuffer` of a new request."""
        return self.account.open()

    async def _report_regularly(self):
        account = self.account
        while True:
            await self._kernel.clock.sleep(REPORT_INTERVAL_S)
            series = Series("answer_buffer_bytes", "-", "-")
            self._metrics.set_gauge(series, account.held_bytes)
            if account.refused:
                log.warning(
                    "no room for answers",
                    count=account.refused,
                    held_bytes=account.held_bytes,
                    limit_bytes=account.limit_bytes,
                )
                account.refused = 0
