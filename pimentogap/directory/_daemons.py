"""The service that lists the fleet's daemons by the objects they write at start."""

import hashlib

from logbook import Logger

from pimentogap.kernel import RestartOnError
from pimentogap.store import Conflict, Delete, Put, Written

log = Logger("directory.daemons")

# Assumed until the list is first read; an overestimate only makes each daemon's
# share of the budgets smaller.
ASSUMED_COUNT = 100
RETRY_DELAY_S = 4.0
WRITE_RETRY_LIMIT_S = 3.0
DAEMONS_PER_RELAY = 20
# A VM with these has capacity 1, enough for a relay; one with several times as much of
# both is preferred.
RELAY_CORES = 0.5
RELAY_LINK_MBPS = 10.0


class DaemonsService:
    """Counts the daemons that share the fleet's budgets and chooses the relays.

    The list arrives through the relay service, as other collections do. The leader
    deletes the objects of daemons that have ended without a stop, so ``count`` is at
    most too high for a while, which makes each share of a budget smaller.
    """

    name = "daemons"
    requires = ("store",)
    collection = "daemons"
    __slots__ = (
        "count",
        "addresses_by_id",
        "_id",
        "_value",
        "_zone",
        "_kernel",
        "_store",
        "_version",
        "_stored_by_id",
        "_relay_ids",
        "_candidate_ids",
        "_relay_addresses",
    )

    def __init__(self, settings):
        """Identify this daemon by its `FrontSettings`."""
        self.count = ASSUMED_COUNT
        self.addresses_by_id = {}
        self._id = settings.id
        self._zone = settings.availability_zone
        self._value = {
            "zone": settings.availability_zone,
            "address": settings.inner_address,
            "capacity": relay_capacity(settings.cores, settings.link_mbps),
        }
        self._kernel = None
        self._store = None
        self._version = 0
        self._stored_by_id = {}
        self._relay_ids = ()
        self._candidate_ids = ()
        self._relay_addresses = ()

    async def start(self, kernel):
        """Register this daemon."""
        self._kernel = kernel
        self._store = kernel.get("store")
        kernel.spawn(self.name, self._register, on_error=RestartOnError())

    async def stop(self):
        """Delete this daemon's object."""
        if self._version:
            call = Delete(self.collection, self._id, self._version)
            outcome = await self._store.write(call, retry_for_s=WRITE_RETRY_LIMIT_S)
            log.info("daemon deregistration ended", outcome=type(outcome).__name__)

    def is_relay(self):
        """Return whether this daemon passes collections on to others of its zone."""
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
        empty tuple, because it asks the leader or the store.
        """
        return () if self.is_relay() else self._relay_addresses

    @property
    def all_relay_addresses(self):
        """The addresses of all relays, those of the own availability zone first."""
        return self._relay_addresses

    def version_of(self, id_):
        """Return the version of a daemon's object, or 0 if it is not listed."""
        stored = self._stored_by_id.get(id_)
        return stored.version if stored is not None else 0

    async def _register(self):
        """Write this daemon's object, over one that it left in an earlier life."""
        known_version = 0
        while not self._version:
            call = Put(self.collection, self._id, self._value, known_version)
            outcome = await self._store.write(call, retry_for_s=WRITE_RETRY_LIMIT_S)
            match outcome:
                case Written(version):
                    self._version = version
                case Conflict(current):
                    known_version = current.version if current is not None else 0
                    if current is not None and current.value == self._value:
                        self._version = known_version
                case _:
                    log.info("daemon not listed yet", outcome=type(outcome).__name__)
                    await self._kernel.clock.sleep(RETRY_DELAY_S)

    def apply(self, update):
        """Update the list from a `CollectionUpdate` of the daemons' objects."""
        own = self._stored_by_id.get(self._id)
        if update.is_snapshot:
            self._stored_by_id = {stored.name: stored for stored in update.objects}
            if own is not None and self._id not in self._stored_by_id:
                self._register_again_if_removed(own)
        for change in update.changes:
            if change.removed:
                self._stored_by_id.pop(change.stored.name, None)
                self._register_again_if_removed(change.stored)
            else:
                self._stored_by_id[change.stored.name] = change.stored
        self._register_again_if_changed()
        self.update_from_list(self._stored_by_id.values())

    def _register_again_if_changed(self):
        """Write this daemon's object again if something else has written it since."""
        own = self._stored_by_id.get(self._id)
        if own is None or not 0 < self._version < own.version:
            return
        if own.value == self._value:
            self._version = own.version
            return
        log.warning("daemon's object was changed and is written again")
        self._version = 0
        self._kernel.spawn(self.name, self._register, on_error=RestartOnError())

    def _register_again_if_removed(self, stored):
        """Write this daemon's object again if the leader took it for ended."""
        if stored.name == self._id and stored.version == self._version:
            log.warning("daemon was removed from the list and registers again")
            self._version = 0
            self._kernel.spawn(self.name, self._register, on_error=RestartOnError())

    def update_from_list(self, objects):
        """Update the count and the relays from the daemons' `Stored` ``objects``."""
        values_by_id = {
            stored.name: stored.value for stored in objects if _is_daemon(stored.value)
        }
        self.count = max(1, len(values_by_id))
        self.addresses_by_id = {
            id_: value["address"] for id_, value in values_by_id.items()
        }
        values_by_zone = {}
        for id_, value in values_by_id.items():
            values_by_zone.setdefault(value.get("zone"), {})[id_] = value
        own_values_by_id = values_by_zone.pop(self._zone, {})
        relays = _strongest_ids(own_values_by_id)
        if relays != self._relay_ids:
            log.info("relays of the zone changed", count=self.count, relays=relays)
        self._relay_ids = relays
        self._candidate_ids = _strongest_ids(own_values_by_id, extra=1)
        others = [
            self.addresses_by_id[id_]
            for values in values_by_zone.values()
            for id_ in _strongest_ids(values)
        ]
        self._relay_addresses = (
            *self._shuffled([self.addresses_by_id[id_] for id_ in relays]),
            *self._shuffled(others),
        )

    def _shuffled(self, addresses):
        """Return ``addresses`` in an order that differs between daemons.

        It is stable for one daemon, and spreads the daemons over the relays.
        """

        def rank(address):
            return hashlib.sha256(f"{self._id} {address}".encode()).digest()

        return sorted(addresses, key=rank)


def _is_daemon(value):
    """Return whether ``value`` is what a daemon writes of itself."""
    if not isinstance(value, dict):
        return False
    texts = (value.get("zone"), value.get("address"))
    return all(isinstance(text, str) and text for text in texts)


def relay_capacity(cores, link_mbps):
    """Return a VM's capacity as a relay, by whichever of the two is scarcer."""
    return int(min(cores / RELAY_CORES, link_mbps / RELAY_LINK_MBPS))


def _strongest_ids(values_by_id, *, extra=0):
    """Return the ids of a zone's relays and of ``extra`` more daemons.

    Those with the largest capacity come first, then those with the lowest ids.
    """

    def rank(id_):
        capacity = values_by_id[id_].get("capacity")
        return (-capacity if isinstance(capacity, int) else 0, id_)

    ids = sorted(values_by_id, key=rank)
    return tuple(ids[: -(-len(ids) // DAEMONS_PER_RELAY) + extra])
