"""Knows the daemons of the fleet, by objects that each writes when it starts."""

import hashlib

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
DAEMONS_FOR_EACH_RELAY = 20


class DaemonsService:
    """Knows which daemons share the fleet's budgets, and which of them relay.

    An object of a daemon that was lost stays, so the count is never too low.
    """

    name = "daemons"
    requires = ("store",)
    __slots__ = (
        "count",
        "_id",
        "_zone",
        "_address",
        "_kernel",
        "_store",
        "_version",
        "_relay_ids",
        "_candidate_ids",
        "_relay_addresses",
    )

    def __init__(self, settings):
        """Take part as the daemon that ``settings`` describe."""
        self.count = UNKNOWN_COUNT
        self._id = settings.id
        self._zone = settings.availability_zone
        self._address = settings.inner_address
        self._kernel = None
        self._store = None
        self._version = 0
        self._relay_ids = ()
        self._candidate_ids = ()
        self._relay_addresses = ()

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

    def is_relay(self):
        """Tell whether this daemon reads the store for others."""
        return not self._relay_ids or self._id in self._relay_ids

    def is_candidate(self):
        """Tell whether this daemon competes for leases.

        In each availability zone that is one more than relay, so that a zone's
        only relay has a successor.
        """
        return not self._candidate_ids or self._id in self._candidate_ids

    def relay_addresses(self):
        """Return where relays are reached, in the order in which to ask them.

        Those of the daemon's own zone come first; none is returned if the daemon
        is to read the store itself.
        """
        return () if self.is_relay() else self._relay_addresses

    async def _register(self):
        value = {"zone": self._zone, "address": self._address}
        while not self._version:
            call = Put(COLLECTION, self._id, value)
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
                self.take(objects)
            except StoreError as error:
                log.info("daemons not counted", error=str(error))
            interval_s = COUNT_INTERVAL_S + COUNT_INTERVAL_FOR_EACH_S * self.count
            await self._kernel.clock.sleep(
                interval_s * self._kernel.random.uniform(0.8, 1.2)
            )

    def take(self, objects):
        """Take the daemons' ``objects`` as the store lists them."""
        self.count = max(1, len(objects))
        addresses_by_zone = {}
        for stored in objects:
            value = stored.value
            if isinstance(value, dict) and value.get("address"):
                addresses = addresses_by_zone.setdefault(value.get("zone"), {})
                addresses[stored.name] = value["address"]
        own = addresses_by_zone.pop(self._zone, {})
        relays = _first_ids(own)
        if relays != self._relay_ids:
            log.info("daemons counted", count=self.count, relays=relays)
        self._relay_ids = relays
        self._candidate_ids = _first_ids(own, more=1)
        others = [
            addresses[id_]
            for addresses in addresses_by_zone.values()
            for id_ in _first_ids(addresses)
        ]
        self._relay_addresses = (
            *self._shuffled([own[id_] for id_ in relays]),
            *self._shuffled(others),
        )

    def _shuffled(self, addresses):
        """Return ``addresses`` in an order of this daemon's own."""

        def rank(address):
            return hashlib.sha256(f"{self._id} {address}".encode()).digest()

        return sorted(addresses, key=rank)


def _first_ids(addresses_by_id, *, more=0):
    """Return the ids of a zone's relays, and of ``more`` daemons that follow."""
    ids = sorted(addresses_by_id)
    return tuple(ids[: -(-len(ids) // DAEMONS_FOR_EACH_RELAY) + more])
