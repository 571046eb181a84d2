"""Counts the daemons of the fleet, by objects that each writes when it starts."""

from logbook import Logger

from pimentogap.errors import StoreError
from pimentogap.kernel import RestartOnError
from pimentogap.store import Delete, Put, Written

log = Logger("directory.daemons")

COLLECTION = "daemons"
# Assumed until the first count; too many is the safe side.
UNKNOWN_COUNT = 100
COUNT_INTERVAL_S = 4.0
# Larger fleets are counted less often, so that the calls of all stay level.
COUNT_INTERVAL_FOR_EACH_S = 0.2
WRITE_GIVE_UP_S = 3.0


class DaemonCountService:
    """Knows about how many daemons share the fleet's budgets.

    An object of a daemon that was lost stays, so the count is never too low.
    """

    name = "daemons"
    requires = ("store",)
    __slots__ = ("count", "_id", "_kernel", "_store", "_version")

    def __init__(self, daemon_id):
        self.count = UNKNOWN_COUNT
        self._id = daemon_id
        self._kernel = None
        self._store = None
        self._version = 0

    async def start(self, kernel):
        """Begin to count."""
        self._kernel = kernel
        self._store = kernel.get("store")
        kernel.spawn(self.name, self._register, on_error=RestartOnError())
        kernel.spawn(self.name, self._keep_counting, on_error=RestartOnError())

    async def stop(self):
        """Remove the daemon's object."""
        if self._version:
            call = Delete(COLLECTION, self._id, self._version)
            outcome = await self._store.write(call, give_up_after_s=WRITE_GIVE_UP_S)
            log.info("daemon unlisted", outcome=type(outcome).__name__)

    async def _register(self):
        while not self._version:
            call = Put(COLLECTION, self._id, {})
            outcome = await self._store.write(call, give_up_after_s=WRITE_GIVE_UP_S)
            match outcome:
                case Written(version):
                    self._version = version
                case _:
                    await self._find_own()

    async def _find_own(self):
        try:
            stored = await self._store.get(COLLECTION, self._id)
            self._version = stored.version if stored else 0
        except StoreError as error:
            log.info("daemon not listed yet", error=str(error))
            await self._kernel.clock.sleep(COUNT_INTERVAL_S)

    async def _keep_counting(self):
        while True:
            try:
                objects, _ = await self._store.list(COLLECTION, stale=True)
                count = max(1, len(objects))
                if count != self.count:
                    log.info("daemons counted", count=count, before=self.count)
                self.count = count
            except StoreError as error:
                log.info("daemons not counted", error=str(error))
            interval_s = COUNT_INTERVAL_S + COUNT_INTERVAL_FOR_EACH_S * self.count
            await self._kernel.clock.sleep(
                interval_s * self._kernel.random.uniform(0.8, 1.2)
            )
