"""An emulator of the platform's object store: its published protocol and faults."""

import asyncio
import json
import random
from collections import deque
from dataclasses import dataclass
from urllib.parse import unquote

from standins._network import AbandonConnection, split_path

HISTORY_EVENTS = 2000
RESPONSE_DELAY_S = 0.004
PARTS_PER_S = 10
# Longer than any client waits for an answer.
SILENCE_S = 3600.0
# A stale list omits the objects written by this many of the latest revisions.
STALE_REVISIONS = 4
MAX_PAGE_ITEMS = 500
# The kinds that the operator and the replicas write.
REWRITTEN_KINDS = ("config", "servers")


@dataclass(frozen=True, slots=True)
class _Write:
    """A change; ``at`` is by the loop's clock, no ``item`` if it removed one."""

    at: float
    revision: int
    kind: str
    name: str
    item: dict | None


class ObjectFaults:
    """The active faults of the store; every field can be changed at any time.

    ``down`` answers every call with status 503; ``silent`` answers none.
    ``refused_sources`` and ``silent_sources`` name the daemons that get these two
    faults while the others are served. The calls of ``deaf_sources`` do not arrive, but
    what the store still has to answer them does; the calls of ``mute_sources`` arrive,
    and the answers do not. ``bytes_per_s`` is the rate of each answer's
    body, which arrives in ten parts a second; 0 for no limit.
    ``slow_s`` is added to the time of every answer. ``lose_answer_share`` is the share
    of writes, from 0 to 1, that are executed and not answered; if ``late_writes_s`` is
    set, they are executed late, after 1 s to that many seconds.
    """

    __slots__ = (
        "down",
        "silent",
        "slow_s",
        "bytes_per_s",
        "lose_answer_share",
        "late_writes_s",
        "refused_sources",
        "silent_sources",
        "deaf_sources",
        "mute_sources",
    )

    def __init__(self):
        self.down = False
        self.silent = False
        self.slow_s = 0.0
        self.bytes_per_s = 0
        self.lose_answer_share = 0.0
        self.late_writes_s = 0.0
        self.refused_sources = set()
        self.silent_sources = set()
        self.deaf_sources = set()
        self.mute_sources = set()


class ObjectStore:
    """Objects by kind and name, one revision counter, conditional writes, watches."""

    __slots__ = (
        "faults",
        "era",
        "revision",
        "objects_by_kind",
        "calls",
        "_history",
        "_writes",
        "_newest_by_key",
        "_raw_by_marker",
        "_loop",
        "_compacted_before",
        "_changed",
        "_random",
        "_late_write_tasks",
    )

    def __init__(self, *, seed=0):
        self.faults = ObjectFaults()
        self.era = 1
        self.revision = 1
        self.objects_by_kind = {}
        self.calls = 0
        self._history = deque(maxlen=HISTORY_EVENTS)
        self._writes = []
        # What others than the system wrote last; nothing for what they removed.
        self._newest_by_key = {}
        self._raw_by_marker = {}
        # That of the first call; objects are written before any loop runs, too.
        self._loop = None
        self._compacted_before = 0
        self._changed = asyncio.Event()
        self._random = random.Random(seed)
        self._late_write_tasks = set()

    def put(self, kind, name, specification):
        """Write an object without a precondition, as the operator or a replica does."""
        if kind in REWRITTEN_KINDS:
            self._newest_by_key[kind, name] = specification
        objects = self.objects_by_kind.setdefault(kind, {})
        current = objects.get(name)
        if current is not None and current["specification"] == specification:
            return
        self._write(kind, name, specification)

    def put_raw(self, kind, name, text):
        """Write an object whose specification is sent as ``text``, whatever that is."""
        marker = f"raw {len(self._raw_by_marker)}"
        self._raw_by_marker[marker] = text.encode("utf-8", "surrogateescape")
        self._write(kind, name, marker)

    def remove(self, kind, name):
        """Remove an object, if it exists."""
        if kind in REWRITTEN_KINDS:
            self._newest_by_key[kind, name] = None
        removed = self.objects_by_kind.get(kind, {}).pop(name, None)
        if removed is not None:
            self.revision += 1
            self._record_event(kind, removed, removed=True)

    def drop_history(self):
        """Discard the history of changes; watches from an older revision get 410."""
        self._compacted_before = self.revision
        self._history.clear()
        self._wake_watches()

    def drop_watches(self):
        """Cut the watches that wait, if the store is down or silent."""
        self._wake_watches()

    def go_back(self, age_s):
        """Come back from a copy that is ``age_s`` seconds old, and raise the era.

        Revisions are given out again from the copy's on. `write_again` writes what the
        operator and the replicas had written since.
        """
        copied_at = self._loop.time() - age_s
        kept = [write for write in self._writes if write.at <= copied_at]
        self._writes = kept
        self.objects_by_kind = {}
        for write in kept:
            objects = self.objects_by_kind.setdefault(write.kind, {})
            if write.item is None:
                objects.pop(write.name, None)
            else:
                objects[write.name] = write.item
        self.revision = kept[-1].revision if kept else 1
        kept_events = [event for event in self._history if event[0] <= self.revision]
        self._history = deque(kept_events, maxlen=HISTORY_EVENTS)
        self.era += 1
        self._wake_watches()

    def write_again(self, *, spread_s=0.0):
        """Write again what the operator and the replicas wrote last, if it is lost.

        :param spread_s: time within which each object is written, at its own moment.
        """
        for kind, name in list(self._newest_by_key):
            if spread_s:
                delay_s = self._random.uniform(0.0, spread_s)
                self._loop.call_later(delay_s, self._write_newest, kind, name)
            else:
                self._write_newest(kind, name)

    def _write_newest(self, kind, name):
        specification = self._newest_by_key[kind, name]
        if specification is None:
            self.remove(kind, name)
        else:
            self.put(kind, name, specification)

    async def handle(self, request, reply, source=""):
        """Answer one call of the object API; ``source`` is the name of the caller."""
        self.calls += 1
        self._loop = asyncio.get_running_loop()
        faults = self.faults
        no_arrival = faults.silent_sources | faults.deaf_sources
        if faults.silent or source in no_arrival:
            await asyncio.sleep(SILENCE_S)
        if faults.down or source in faults.refused_sources:
            await self._answer(reply, 503, {})
            return
        await asyncio.sleep(RESPONSE_DELAY_S + faults.slow_s)
        is_write = request.method != "GET"
        if is_write and self._random.random() < faults.lose_answer_share:
            await self._lose_answer(request)
        status, data = await self._execute(request)
        if source in faults.silent_sources | faults.mute_sources:
            await asyncio.sleep(SILENCE_S)
        await self._answer(reply, status, data)

    async def _lose_answer(self, request):
        """Execute a write, now or late, and end the connection without an answer."""
        if self.faults.late_writes_s:
            task = asyncio.ensure_future(self._execute_late(request))
            self._late_write_tasks.add(task)
            task.add_done_callback(self._late_write_tasks.discard)
        else:
            await self._execute(request)
        raise AbandonConnection

    async def _execute_late(self, request):
        await asyncio.sleep(self._random.uniform(1.0, self.faults.late_writes_s))
        await self._execute(request)

    async def _execute(self, request):
        path, query = split_path(request)
        parts = [unquote(part) for part in path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        objects = self.objects_by_kind.setdefault(kind, {})
        match request.method, name:
            case "GET", None if "watch" in query:
                return await self._watch(kind, query)
            case "GET", None:
                if "allowStale" in query:
                    objects = self._stale_objects(objects)
                return 200, self._list(objects, query.get("afterRev", ""))
            case "GET", _:
                return (200, objects[name]) if name in objects else (404, {})
            case "POST", None:
                body = json.loads(request.body)
                name = body["metadata"]["name"]
                if name in objects:
                    return 409, objects[name]
                return 201, self._write(kind, name, body["specification"])
            case "PUT", _:
                return self._replace(kind, objects, name, json.loads(request.body))
            case "DELETE", _:
                return self._delete(kind, objects, name, query)
        return 400, {}

    def _replace(self, kind, objects, name, body):
        current = objects.get(name)
        if current is None:
            return 404, {}
        revision = body["metadata"].get("revision")
        if revision is not None and revision != current["metadata"]["revision"]:
            return 409, current
        if current["specification"] == body["specification"]:
            return 200, current
        return 200, self._write(kind, name, body["specification"])

    def _delete(self, kind, objects, name, query):
        current = objects.get(name)
        if current is None:
            return 404, {}
        if (
            "revision" in query
            and int(query["revision"]) != (current["metadata"]["revision"])
        ):
            return 409, current
        self.remove(kind, name)
        return 200, {}

    def _list(self, objects, after):
        names = sorted(name for name in objects if name > after)
        return {
            "items": [objects[name] for name in names[:MAX_PAGE_ITEMS]],
            "truncated": len(names) > MAX_PAGE_ITEMS,
            "currentRev": self.revision,
        }

    def _stale_objects(self, objects):
        """Return the objects without those of the last `STALE_REVISIONS` revisions."""
        newest = self.revision - STALE_REVISIONS
        return {
            name: item
            for name, item in objects.items()
            if item["metadata"]["revision"] <= newest
        }

    async def _watch(self, kind, query):
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query.get("waitMs", 0)) / 1000
        while True:
            if self.faults.down or self.faults.silent:
                raise AbandonConnection
            if since < self._compacted_before or since > self.revision:
                return 410, {}
            events = [
                {"object": item, "removed": removed}
                for revision, changed_kind, item, removed in self._history
                if changed_kind == kind and revision > since
            ]
            left_s = deadline - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _write(self, kind, name, specification):
        self.revision += 1
        item = {
            "metadata": {"name": name, "revision": self.revision},
            "specification": specification,
            "status": None,
        }
        self.objects_by_kind.setdefault(kind, {})[name] = item
        self._record_event(kind, item, removed=False)
        return item

    def _record_event(self, kind, item, *, removed):
        at = self._loop.time() if self._loop is not None else 0.0
        name = item["metadata"]["name"]
        kept_item = None if removed else item
        self._writes.append(_Write(at, self.revision, kind, name, kept_item))
        self._history.append((self.revision, kind, item, removed))
        self._wake_watches()

    def _wake_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, reply, status, data):
        body = json.dumps(data).encode()
        for marker, raw in self._raw_by_marker.items():
            body = body.replace(json.dumps(marker).encode(), raw)
        headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            "Store-Era": str(self.era),
        }
        reply.start(status, headers)
        part = self.faults.bytes_per_s // PARTS_PER_S or len(body)
        for start in range(0, len(body), part):
            if self.faults.bytes_per_s:
                await asyncio.sleep(1 / PARTS_PER_S)
            await reply.data(body[start : start + part])
