"""The log of accepted tickets in the platform's store, and its snapshots."""

from pimentogap.store import Delete, Put, SnapshotCollection, object_name
from pimentogap.tickets._configuration import Configuration
from pimentogap.tickets._ticket import dump_accepted, load_accepted

TICKETS = "tickets"
SNAPSHOTS = "snapshots"
SNAPSHOT_INTERVAL_TICKETS = 100
SNAPSHOTS_KEPT = 2
TICKETS_KEPT = 2000
COMPACTION_BATCH_TICKETS = 200
WRITE_RETRY_LIMIT_S = 5.0


class TicketLog:
    """Appends and reads accepted tickets; writes, reads and prunes snapshots.

    Each ticket is one immutable object, named by its number and written on the
    condition that no object of that name exists.
    """

    __slots__ = ("_store", "_snapshots")

    def __init__(self, store):
        self._store = store
        self._snapshots = SnapshotCollection(store, SNAPSHOTS)

    async def append(self, accepted):
        """Write the `AcceptedTicket` ``accepted`` and return the write's outcome."""
        put = Put(TICKETS, object_name(accepted.number), dump_accepted(accepted))
        return await self._store.write(put, retry_for_s=WRITE_RETRY_LIMIT_S)

    async def read(self, number):
        """Return the `AcceptedTicket` ``number``, or ``None`` if there is none."""
        stored = await self._store.get(TICKETS, object_name(number))
        return load_accepted(stored.value) if stored else None

    async def load(self):
        """Return the newest configuration: the last snapshot and all later tickets."""
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
        """Write a snapshot and return whether all of its parts were written."""
        return await self._snapshots.write(configuration.revision, configuration.dump())

    async def compact(self):
        """Delete old snapshots and a batch of old tickets, which nobody will ask for.

        The last `TICKETS_KEPT` tickets up to the oldest kept snapshot stay, and all
        after it.
        """
        kept = await self._snapshots.prune(SNAPSHOTS_KEPT)
        if len(kept) < SNAPSHOTS_KEPT:
            return
        last_deleted_name = object_name(max(0, kept[0] - TICKETS_KEPT))
        stored, _ = await self._store.list(TICKETS, limit=COMPACTION_BATCH_TICKETS)
        for item in stored:
            if item.name <= last_deleted_name:
                delete = Delete(TICKETS, item.name, item.version)
                await self._store.write(delete, retry_for_s=WRITE_RETRY_LIMIT_S)
