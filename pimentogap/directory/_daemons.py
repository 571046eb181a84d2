"""The service that lists the fleet's daemons by the objects they write at start."""

import hashlib

from logbook import Logger

from pimentogap.errors import StoreError
from pimentogap.kernel import RestartOnError
from pimentogap.store import Delete, Put, Written

log = Logger("directory.daemons")

COLLECTION = "daemons"
# Assumed until the list is first read; an overestimate only makes each daemon's
# share of the budgets smaller.
ASSUMED_COUNT = 100
LIST_INTERVAL_S = 4.0
# Added for each daemon, so that the fleet's call rate stays level as it grows.
LIST_INTERVAL_PER_DAEMON_S = 0.2
WRITE_RETRY_LIMIT_S = 3.0
DAEMONS_PER_RELAY = 20


class DaemonsService:
    """Counts the daemons that share the fleet's budgets and chooses the relays.

    The object of a daemon that crashed is not deleted, so ``count`` is never too
    low.
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
        """Identify this daemon by its `DaemonSettings`."""
        self.count = ASSUMED_COUNT
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
        """Register this daemon and read the list of daemons at intervals."""
        self._kernel = kernel
        self._store = kernel.get("store")
        kernel.spawn(self.name, self._register, on_error=RestartOnError())
        kernel.spawn(self.name, self._poll_list, on_error=RestartOnError())

    async def stop(self):
        """Delete this daemon's object."""
        if self._version:
            call = Delete(COLLECTION, self._id, self._version)
            outcome = await self._store.write(call, retry_for_s=WRITE_RETRY_LIMIT_S)
            log.info("daemon deregistration ended", outcome=type(outcome).__name__)

    def is_relay(self):
        """Return whether this daemon reads the store on behalf of others."""
        return not self._relay_ids or self._id in self._relay_ids

    def is_candidate(self):
        """Return whether this daemon competes for leases.

        Each availability zone has one candidate more than relays, so that the
        only relay of a zone has a successor.
        """
        return not self._candidate_ids or self._id in self._candidate_ids

    def relay_addresses(self):
        """Return the addresses of the relays, in the order in which to ask them.

        The relays of the daemon's own availability zone come first. A relay gets an
        empty tuple, because it reads the store itself.
        """
        return () if self.is_relay() else self._relay_addresses

    async def _register(self):
        value = {"zone": self._zone, "address": self._address}
        while not self._version:
            call = Put(COLLECTION, self._id, value)
            outcome = await self._store.write(call, retry_for_s=WRITE_RETRY_LIMIT_S)
            match outcome:
                case Written(version):
                    self._version = version
                case _:
                    await self._read_own_version()

    async def _read_own_version(self):
        try:
            stored = await self._store.get(COLLECTION, self._id)
            self._version = stored.version if stored else 0
        except StoreError as error:
            log.info("daemon not listed yet", error=str(error))
            await self._kernel.clock.sleep(LIST_INTERVAL_S)

    async def _poll_list(self):
        while True:
            try:
                objects, _ = await self._store.list(COLLECTION, stale=True)
                self.update_from_list(objects)
            except StoreError as error:
                log.info("daemons not counted", error=str(error))
            interval_s = LIST_INTERVAL_S + LIST_INTERVAL_PER_DAEMON_S * self.count
            await self._kernel.clock.sleep(
                interval_s * self._kernel.random.uniform(0.8, 1.2)
            )

    def update_from_list(self, objects):
        """Update the count and the relays from the daemons' `Stored` ``objects``."""
        self.count = max(1, len(objects))
        addresses_by_zone = {}
        for stored in objects:
            value = stored.value
            if isinstance(value, dict) and value.get("address"):
                addresses = addresses_by_zone.setdefault(value.get("zone"), {})
                addresses[stored.name] = value["address"]
        own_addresses_by_id = addresses_by_zone.pop(self._zone, {})
        relays = _lowest_ids(own_addresses_by_id)
        if relays != self._relay_ids:
            log.info("relays of the zone changed", count=self.count, relays=relays)
        self._relay_ids = relays
        self._candidate_ids = _lowest_ids(own_addresses_by_id, extra=1)
        others = [
            addresses[id_]
            for addresses in addresses_by_zone.values()
            for id_ in _lowest_ids(addresses)
        ]
        self._relay_addresses = (
            *self._shuffled([own_addresses_by_id[id_] for id_ in relays]),
            *self._shuffled(others),
        )

    def _shuffled(self, addresses):
        """Return ``addresses`` in an order that differs between daemons.

        It is stable for one daemon, and spreads the daemons over the relays.
        """

        def rank(address):
            return hashlib.sha256(f"{self._id} {address}".encode()).digest()

        return sorted(addresses, key=rank)


def _lowest_ids(addresses_by_id, *, extra=0):
    """Return the lowest ids: those of a zone's relays and of ``extra`` more daemons."""
    ids = sorted(addresses_by_id)
    return tuple(ids[: -(-len(ids) // DAEMONS_PER_RELAY) + extra])
