"""The log of accepted tickets in the platform's store, and its snapshots."""

from pimentogap.store import Delete, Put, SnapshotCollection, object_name
from pimentogap.tickets._configuration import Configuration
from pimentogap.tickets._ticket import dump_accepted, load_accepted

TICKETS = "tickets"
SNAPSHOTS = "snapshots"
SNAPSHOT_EVERY_TICKETS = 100
SNAPSHOTS_KEPT = 2
TICKETS_KEPT = 2000
COMPACTION_BATCH = 200
WRITE_GIVE_UP_S = 5.0


class TicketLog:
    """Appends and reads accepted tickets; writes, reads and prunes snapshots.

    A ticket is one immutable object, created under the next number on the
    condition that it does not exist.
    """

    __slots__ = ("_store", "_snapshots")

    def __init__(self, store):
        self._store = store
        self._snapshots = SnapshotCollection(store, SNAPSHOTS)

    async def append(self, accepted):
        """Create the object of ``accepted``; return the outcome of the write."""
        put = Put(TICKETS, object_name(accepted.number), dump_accepted(accepted))
        return await self._store.write(put, give_up_after_s=WRITE_GIVE_UP_S)

    async def read(self, number):
        """Return the accepted ticket ``number``, or ``None``."""
        stored = await self._store.get(TICKETS, object_name(number))
        return load_accepted(stored.value) if stored else None

    async def load(self):
        """Return the newest configuration that the store holds."""
        snapshot = await self._snapshots.load_newest()
        configuration = Configuration()
        if snapshot is not None:
            configuration = Configuration.load(snapshot.data)
        stored, _ = await self._store.list(
            TICKETS, after=object_name(configuration.revision)
        )
        for item in stored:
            configuration.apply(load_accepted(item.value))
        return configuration

    async def write_snapshot(self, configuration):
        """Write ``configuration``; return whether all of it was written."""
        return await self._snapshots.write(configuration.revision, configuration.dump())

    async def compact(self):
        """Delete old snapshots, and the tickets that nobody will ask for."""
        kept = await self._snapshots.prune(SNAPSHOTS_KEPT)
        if len(kept) < SNAPSHOTS_KEPT:
            return
        last_needless = object_name(max(0, kept[0] - TICKETS_KEPT))
        stored, _ = await self._store.list(TICKETS, limit=COMPACTION_BATCH)
        for item in stored:
            if item.name <= last_needless:
                delete = Delete(TICKETS, item.name, item.version)
                await self._store.write(delete, give_up_after_s=WRITE_GIVE_UP_S)
