"""The service that keeps requests away from evacuated availability zones."""

from logbook import Logger

from pimentogap.evacuations._zones import EvacuatedZones
from pimentogap.metrics import Series

log = Logger("evacuations")

# A watch that the store lost is noticed in a part of the time in which an evacuation
# takes effect.
WATCH_SHARE = 0.4
# An operator whose evacuation a store's copy has lost asks for it again within this.
DOUBT_S = 10.0


class EvacuationService:
    """Tells the directory which zones the operator has evacuated.

    The operator's objects are named after the zones. The store's answer to the
    operator is the acknowledgement, so nothing is written. A daemon without the store
    keeps to what it knows.
    """

    name = "evacuations"
    requires = ("relay", "directory", "metrics")
    __slots__ = ("loaded", "_collection", "_watch_wait_s", "_zones", "_kernel")

    def __init__(self, collection, effective_s):
        """Name the collection of the operator's evacuations.

        :param effective_s: the seconds within which an evacuation takes effect; 0 if
            zones are not evacuated.
        """
        self.loaded = not effective_s
        self._collection = collection
        self._watch_wait_s = WATCH_SHARE * effective_s
        self._zones = EvacuatedZones()
        self._kernel = None

    async def start(self, kernel):
        """Follow the collection through the relay service."""
        self._kernel = kernel
        if self._watch_wait_s:
            kernel.get("relay").follow(
                self._collection, self._apply, watch_wait_s=self._watch_wait_s
            )

    async def stop(self):
        """Do nothing; the relay service owns the task."""

    def _apply(self, update):
        before = self._zones.all
        lost = self._zones.apply(update)
        if lost:
            log.warning("evacuations lost by the store", zones=sorted(lost))
            self._kernel.spawn(self.name, self._end_doubt, lost)
        self.loaded = True
        self._publish(before)

    async def _end_doubt(self, zones):
        await self._kernel.clock.sleep(DOUBT_S)
        before = self._zones.all
        self._zones.end_doubt(zones)
        self._publish(before)

    def _publish(self, before):
        """Put the evacuations in force and log what changed since ``before``."""
        zones = self._zones.all
        if zones == before:
            return
        directory = self._kernel.get("directory")
        directory.exclude_zones(zones)
        log.notice(
            "evacuations changed",
            evacuated=sorted(zones),
            taken_back=sorted(before - zones),
        )
        known = {item.availability_zone for item in directory.backends_by_id.values()}
        unknown = zones - before - known
        if unknown and directory.loaded:
            log.warning("no backend in evacuated zones", zones=sorted(unknown))
        metrics = self._kernel.get("metrics")
        metrics.set_gauge(Series("evacuated_zones", "-", "-"), len(zones))
