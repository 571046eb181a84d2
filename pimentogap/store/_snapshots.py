"""Snapshots that may exceed the size of one object, stored in parts with a digest."""

import hashlib
import json
from dataclasses import dataclass

from logbook import Logger

from pimentogap.errors import SnapshotDamaged
from pimentogap.store._calls import Delete, Put, Written

log = Logger("store.snapshots")

PART_BYTES = 900_000
WRITE_RETRY_LIMIT_S = 5.0
INDEX_SUFFIX = "-index"


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Plain data and the number under which it was written."""

    number: int
    data: object


class SnapshotCollection:
    """Writes numbered snapshots of plain data to one collection and reads them.

    The parts are written before the index. An index whose parts are missing, or
    do not match its digest, belongs to a snapshot that was written incompletely.
    """

    __slots__ = ("_store", "_collection")

    def __init__(self, store, collection):
        self._store = store
        self._collection = collection

    async def write(self, number, data):
        """Write ``data`` under ``number``; return whether all of it was written."""
        text = json.dumps(data, separators=(",", ":"))
        parts = [text[i : i + PART_BYTES] for i in range(0, len(text), PART_BYTES)]
        name = object_name(number)
        for index, part in enumerate(parts):
            if not await self._put(f"{name}-part-{index}", part):
                return False
        value = {"parts": len(parts), "digest": _digest(text)}
        return await self._put(name + INDEX_SUFFIX, value)

    async def load_newest(self):
        """Return the newest complete `Snapshot`, or ``None``."""
        stored, _ = await self._store.list(self._collection)
        values_by_name = {item.name: item.value for item in stored}
        for name in sorted(_index_names(values_by_name), reverse=True):
            try:
                return Snapshot(_number(name), _assemble(values_by_name, name))
            except SnapshotDamaged as error:
                log.warning("damaged snapshot {} is skipped: {}", name, error)
        return None

    async def prune(self, keep):
        """Delete all but the newest ``keep`` snapshots; return the numbers kept."""
        stored, _ = await self._store.list(self._collection)
        names = sorted(_index_names(item.name for item in stored))
        for name in names[:-keep]:
            prefix = name.removesuffix(INDEX_SUFFIX)
            for item in stored:
                if item.name.startswith(prefix):
                    delete = Delete(self._collection, item.name, item.version)
                    await self._store.write(delete, retry_for_s=WRITE_RETRY_LIMIT_S)
        return [_number(name) for name in names[-keep:]]

    async def _put(self, name, value):
        put = Put(self._collection, name, value)
        outcome = await self._store.write(put, retry_for_s=WRITE_RETRY_LIMIT_S)
        return isinstance(outcome, Written)


def object_name(number):
    """Return ``number`` as an object name, padded so that names sort by number."""
    return f"{number:012d}"


def _index_names(names):
    return [name for name in names if name.endswith(INDEX_SUFFIX)]


def _number(index_name):
    return int(index_name.removesuffix(INDEX_SUFFIX))


def _assemble(values_by_name, index_name):
    index = values_by_name[index_name]
    prefix = index_name.removesuffix(INDEX_SUFFIX)
    try:
        parts = [values_by_name[f"{prefix}-part-{i}"] for i in range(index["parts"])]
        text = "".join(parts)
        digest = index["digest"]
    except (KeyError, TypeError):
        raise SnapshotDamaged("a part or a field of the index is missing")
    if _digest(text) != digest:
        raise SnapshotDamaged("the digest does not match")
    return json.loads(text)


def _digest(text):
    return hashlib.sha256(text.encode()).hexdigest()
