"""A stand-in for the platform's object API and VM list, with injectable faults."""

import asyncio
import json
import random
from collections import deque
from dataclasses import dataclass
from urllib.parse import unquote

from pimentogap.store import Stored
from standins._network import AbandonConnection, split_path

WATCH_HISTORY_EVENTS = 4096
MAX_VALUE_BYTES = 2**20
RATE_WINDOW_S = 1.0


class StoreFaults:
    """The active faults of the store; every field can be changed at any time.

    ``down`` answers every call with status 503; calls in progress are executed and
    not answered. ``delay_s`` is added to the time of every call.
    ``refuse_share`` is the share of calls, from 0 to 1, refused with status 503, and
    ``lose_answer_share`` that of calls executed and not answered. Calls above
    ``rate_limit_per_s`` are refused; 0 means no limit.
    """

    __slots__ = (
        "down",
        "delay_s",
        "lose_answer_share",
        "refuse_share",
        "rate_limit_per_s",
    )

    def __init__(self):
        self.down = False
        self.delay_s = 0.0
        self.lose_answer_share = 0.0
        self.refuse_share = 0.0
        self.rate_limit_per_s = 0


@dataclass(frozen=True, slots=True)
class WrittenVersion:
    """The platform's own record of one version of one object, deletions included.

    ``at_s`` is the time of the write by the loop's clock.
    """

    at_s: float
    collection: str
    stored: Stored


class Platform:
    """Versioned objects with conditional writes and watches, and a list of VMs.

    The list of VMs shows a change ``vm_list_lag_s`` seconds late.
    """

    __slots__ = (
        "faults",
        "revision",
        "objects_by_collection",
        "calls_by_kind",
        "vm_list_lag_s",
        "versions_written",
        "_history",
        "_compacted_before",
        "_changed",
        "_listed_vms",
        "_newest_vms_number",
        "_listed_vms_number",
        "_random",
        "_recent_calls",
    )

    def __init__(self, *, seed=0):
        self.faults = StoreFaults()
        self.revision = 0
        self.objects_by_collection = {}
        self.calls_by_kind = {}
        self.vm_list_lag_s = 0.0
        self.versions_written = []
        self._history = deque(maxlen=WATCH_HISTORY_EVENTS)
        self._compacted_before = 0
        self._changed = asyncio.Event()
        self._listed_vms = ()
        self._newest_vms_number = 0
        self._listed_vms_number = 0
        self._random = random.Random(seed)
        self._recent_calls = deque()

    def set_vms(self, vms):
        """Show ``vms`` in the list of VMs after ``vm_list_lag_s`` seconds."""
        snapshot = tuple(vms)
        self._newest_vms_number += 1
        if self.vm_list_lag_s <= 0:
            self._set_listed_vms(self._newest_vms_number, snapshot)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.vm_list_lag_s, self._set_listed_vms, self._newest_vms_number, snapshot
        )

    def _set_listed_vms(self, number, vms):
        if number > self._listed_vms_number:
            self._listed_vms_number = number
            self._listed_vms = vms

    def compact(self):
        """Discard the watch history up to now; watches from before it get 410."""
        self._history.clear()
        self._compacted_before = self.revision

    async def handle(self, request, reply):
        """Answer one HTTP request of the object API or of the stand-in's controls.

        :raises AbandonConnection: if the active faults drop the answer.
        """
        path, query = split_path(request)
        parts = [unquote(part) for part in path.split("/")[1:]]
        if parts[:1] == ["standin"]:
            await _answer(reply, 200, self._handle_control(request))
            return
        faults = self.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.down or self._is_rate_limited() or self._occurs(faults.refuse_share):
            await _answer(reply, 503, {})
            return
        status, data = await self._dispatch(request, parts, query)
        if faults.down or self._occurs(faults.lose_answer_share):
            raise AbandonConnection
        await _answer(reply, status, data)

    async def _dispatch(self, request, parts, query):
        match [request.method, *parts]:
            case ["GET", "v1", "objects", collection, name]:
                return self._get(collection, name)
            case ["GET", "v1", "objects", collection]:
                return self._list(collection, query)
            case ["PUT", "v1", "objects", collection, name]:
                return self._put(collection, name, request)
            case ["DELETE", "v1", "objects", collection, name]:
                return self._delete(collection, name, request)
            case ["GET", "v1", "watch", collection]:
                return await self._watch(collection, query)
            case ["GET", "v1", "vms"]:
                return self._list_vms(request)
        return 404, {}

    def _list_vms(self, request):
        self._count("vms")
        tag = f"vms-{self._listed_vms_number}"
        if _header(request, "if-none-match") == tag:
            return 304, {}
        return 200, {"tag": tag, "vms": list(self._listed_vms)}

    def _get(self, collection, name):
        self._count("get")
        stored = self.objects_by_collection.get(collection, {}).get(name)
        return (200, _object_document(stored)) if stored else (404, {})

    def _list(self, collection, query):
        self._count("list")
        after, limit = query.get("after", ""), int(query.get("limit", 500))
        objects = self.objects_by_collection.get(collection, {})
        names = sorted(name for name in objects if name > after)[:limit]
        items = [_object_document(objects[name]) for name in names]
        return 200, {"items": items, "revision": self.revision}

    def _put(self, collection, name, request):
        self._count("put")
        if len(request.body) > MAX_VALUE_BYTES:
            return 413, {}
        objects = self.objects_by_collection.setdefault(collection, {})
        current = objects.get(name)
        if _expected_version(request) != (current.version if current else 0):
            return 412, {"current": _object_document(current) if current else None}
        return self._write(objects, collection, name, json.loads(request.body))

    def _delete(self, collection, name, request):
        self._count("delete")
        objects = self.objects_by_collection.setdefault(collection, {})
        current = objects.get(name)
        if current is None or _expected_version(request) != current.version:
            return 412, {"current": _object_document(current) if current else None}
        return self._write(objects, collection, name, None)

    def _write(self, objects, collection, name, value):
        self.revision += 1
        stored = Stored(name, self.revision, value)
        if value is None:
            del objects[name]
        else:
            objects[name] = stored
        self._history.append((collection, stored))
        now = asyncio.get_running_loop().time()
        self.versions_written.append(WrittenVersion(now, collection, stored))
        self._changed.set()
        self._changed = asyncio.Event()
        return 200, {"version": self.revision}

    async def _watch(self, collection, query):
        self._count("watch")
        start, wait_s = int(query["from"]), float(query["wait"])
        if start < self._compacted_before or self._is_before_history(start):
            return 410, {"detail": "the history does not reach back that far"}
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            items = [
                _object_document(stored)
                for changed, stored in self._history
                if changed == collection and stored.version > start
            ]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if items or remaining_s <= 0:
                return 200, {"items": items, "revision": self.revision}
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _is_before_history(self, start):
        full = len(self._history) == self._history.maxlen
        return full and self._history[0][1].version > start + 1

    def _count(self, kind):
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1

    def _occurs(self, share):
        return share > 0 and self._random.random() < share

    def _is_rate_limited(self):
        limit = self.faults.rate_limit_per_s
        if not limit:
            return False
        now = asyncio.get_running_loop().time()
        recent = self._recent_calls
        while recent and recent[0] < now - RATE_WINDOW_S:
            recent.popleft()
        if len(recent) >= limit:
            return True
        recent.append(now)
        return False

    def _handle_control(self, request):
        """Set the faults in a POST; return the counts of calls and the revision.

        Used if the stand-in runs in a process of its own.
        """
        if request.method == "POST":
            for name, value in json.loads(request.body).items():
                setattr(self.faults, name, value)
        return {"calls": self.calls_by_kind, "revision": self.revision}


def _expected_version(request):
    if _header(request, "if-none-match") == "*":
        return 0
    return int((_header(request, "if-match") or '"-1"').strip('"'))


def _header(request, lower_name):
    for name, value in request.headers.items():
        if name.lower() == lower_name:
            return value
    return None


def _object_document(stored):
    return {"name": stored.name, "version": stored.version, "value": stored.value}


async def _answer(reply, status, data):
    if status == 304:
        reply.start(status, {})
        return
    body = json.dumps(data, separators=(",", ":")).encode()
    reply.start(status, {"Content-Length": str(len(body))})
    await reply.data(body)
