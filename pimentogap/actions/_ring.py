"""A log in the platform's store, whose segments reuse a fixed set of objects."""

import json
from dataclasses import dataclass

from pimentogap.store import Conflict, Delete, Put, Written, object_name

RING_SLOTS = 256
MERGE_SEGMENTS = 128
MERGE_BYTES = 500_000
MAX_CHUNK_BYTES = 800_000
WRITE_RETRY_LIMIT_S = 1.0


@dataclass(frozen=True, slots=True)
class Chunk:
    """Segments merged into one object; ``last`` is the number of the last one.

    ``newest_at`` is the wall time of the merge, which came after every claim in
    them; ``version`` is the object's version in the store.
    """

    last: int
    newest_at: float
    version: int


class RingLog:
    """Appends segments of records under consecutive numbers.

    Segment ``n`` is written to slot ``n`` modulo `RING_SLOTS`, on the condition
    that the slot still has the version that the writer read. Of two writers of
    one number only one therefore succeeds, without relying on clocks. Before a
    slot is reused, its segment has been merged into a chunk.

    ``next_number`` is the number of the next segment, ``merged_to`` that of the
    last merged one.
    """

    __slots__ = (
        "_store",
        "_segments",
        "_chunks",
        "_versions_by_slot",
        "_unmerged",
        "_unmerged_bytes",
        "chunks",
        "next_number",
        "merged_to",
    )

    def __init__(self, store, name):
        """Create the log called ``name``; `load` reads it."""
        self._store = store
        self._segments = f"{name}-segments"
        self._chunks = f"{name}-chunks"
        self._versions_by_slot = {}
        self._unmerged = {}
        self._unmerged_bytes = 0
        self.chunks = []
        self.next_number = 1
        self.merged_to = 0

    async def load(self):
        """Read the complete log and return the records in their order.

        Segments are listed before chunks, so that a segment merged between the
        two is read twice rather than missed.
        """
        stored, _ = await self._store.list(self._segments)
        chunks, _ = await self._store.list(self._chunks)
        records = []
        self.chunks = []
        self.merged_to = 0
        for item in chunks:
            records.extend(item.value["records"])
            last, newest_at = int(item.name), item.value["newest_at"]
            self.chunks.append(Chunk(last, newest_at, item.version))
            self.merged_to = max(self.merged_to, last)
        self._unmerged = {}
        self._unmerged_bytes = 0
        self._versions_by_slot = {}
        self.next_number = self.merged_to + 1
        for item in sorted(stored, key=lambda item: item.value["number"]):
            number = item.value["number"]
            self._versions_by_slot[number % RING_SLOTS] = item.version
            self.next_number = max(self.next_number, number + 1)
            if number > self.merged_to:
                records.extend(item.value["records"])
                self._add_unmerged(number, item.value["records"])
        return records

    async def append(self, writer, records):
        """Write ``records`` as the next segment and return the outcome of the write.

        :param writer: the writer's name, by which it recognizes its own segment.
        """
        number = self.next_number
        slot = number % RING_SLOTS
        value = {"number": number, "writer": writer, "records": records}
        put = Put(
            self._segments, f"{slot:04d}", value, self._versions_by_slot.get(slot, 0)
        )
        outcome = await self._store.write(put, retry_for_s=WRITE_RETRY_LIMIT_S)
        match outcome:
            case Written(version):
                self._versions_by_slot[slot] = version
                self._add_unmerged(number, records)
                self.next_number = number + 1
        return outcome

    def is_merge_due(self):
        """Return whether enough segments or bytes are unmerged for a merge."""
        enough_segments = self.next_number - 1 - self.merged_to >= MERGE_SEGMENTS
        return enough_segments or self._unmerged_bytes >= MERGE_BYTES

    def is_full(self):
        """Return whether the next segment would overwrite an unmerged one."""
        return self.next_number - self.merged_to > RING_SLOTS

    async def merge(self, newest_at):
        """Write the unmerged segments as chunks and return whether all were written.

        :param newest_at: the wall time of the merge.
        """
        while self._unmerged:
            numbers = self._numbers_of_next_chunk()
            records = [record for n in numbers for record in self._unmerged[n]]
            value = {"newest_at": newest_at, "records": records}
            put = Put(self._chunks, object_name(numbers[-1]), value)
            match await self._store.write(put, retry_for_s=WRITE_RETRY_LIMIT_S):
                case Written(version):
                    self.chunks.append(Chunk(numbers[-1], newest_at, version))
                case Conflict(current) if current is not None:
                    self.chunks.append(Chunk(numbers[-1], newest_at, current.version))
                case _:
                    return False
            self.merged_to = numbers[-1]
            for number in numbers:
                self._unmerged_bytes -= size_of(self._unmerged.pop(number))
        return True

    def _numbers_of_next_chunk(self):
        numbers, size = [], 0
        for number in sorted(self._unmerged):
            size += size_of(self._unmerged[number])
            if numbers and size > MAX_CHUNK_BYTES:
                break
            numbers.append(number)
        return numbers

    def _add_unmerged(self, number, records):
        self._unmerged[number] = records
        self._unmerged_bytes += size_of(records)

    async def drop_chunks(self, before):
        """Delete the chunks that were merged before ``before``, in wall time."""
        while self.chunks and self.chunks[0].newest_at < before:
            chunk = self.chunks[0]
            delete = Delete(self._chunks, object_name(chunk.last), chunk.version)
            outcome = await self._store.write(delete, retry_for_s=WRITE_RETRY_LIMIT_S)
            if not isinstance(outcome, Written | Conflict):
                return
            self.chunks.pop(0)


def size_of(records):
    """Return the encoded size of ``records`` in bytes."""
    return len(json.dumps(records, separators=(",", ":")))
