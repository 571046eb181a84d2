"""Sends the store's calls to the platform's object API."""

import json
from urllib.parse import quote, urlencode

from logbook import Logger

from pimentogap.errors import (
    ConnectionFailed,
    ResponseLost,
    StoreAnswerLost,
    StoreError,
    StoreUnavailable,
    WatchCompacted,
)
from pimentogap.platform._lenient import load_members, load_object
from pimentogap.store import (
    Change,
    Conflict,
    Delete,
    Get,
    List,
    Page,
    Put,
    Revision,
    Stored,
    Watch,
    Written,
)
from pimentogap.types import HttpRequest, TransferLimits, exact_decimal_or_none

log = Logger("platform.objects")

NOT_CARRIED_OUT_STATUSES = (429, 503)
WATCH_GRACE_S = 0.6
# A list, or the changes after an outage, may be a megabyte, which takes seconds on a
# link of 10 Mbit/s that other answers share.
TRANSFER = TransferLimits(stall_s=0.6, total_s=6.0)
MS_PER_S = 1000
# Rises each time the store comes back from a copy.
ERA = "Store-Era"


class ObjectTransport:
    """Sends store calls to one address over keep-alive connections.

    ``era`` is the highest that an answer had: the store raises it each time that it
    has gone back to an older copy.
    """

    __slots__ = ("era", "_client", "_address")

    def __init__(self, client, address):
        self.era = 0
        self._client = client
        self._address = address

    async def call(self, call, *, timeout_s):
        """Send ``call`` and return its decoded answer.

        :param timeout_s: seconds until the answer begins; a `Watch` sets its own.
            `TRANSFER` limits an answer that has begun.
        :raises StoreUnavailable: if the call was certainly not executed.
        :raises StoreAnswerLost: if it may have been executed.
        :raises StoreError: if the object API has no such call or answer.
        :raises WatchCompacted: if the history after the watched revision is gone.
        """
        if isinstance(call, Watch):
            self._check_era(call)
            timeout_s = call.wait_s + WATCH_GRACE_S
        if self._is_outdated(call):
            current = await self.call(
                Get(call.collection, call.name), timeout_s=timeout_s
            )
            return Conflict(current)
        try:
            response = await self._client.fetch(
                self._address,
                _encode(call),
                timeout_s=timeout_s,
                transfer=TRANSFER,
            )
            era = _era(response.headers)
            self.era = max(self.era, era)
            if response.status in NOT_CARRIED_OUT_STATUSES:
                raise StoreUnavailable(f"the store answered {response.status}")
            if isinstance(call, Watch):
                self._check_era(call)
            data = _load(call, response)
            _check_name(call, data)
            answer = _read_answer(call, response.status, data, era)
        except ConnectionFailed as error:
            raise StoreUnavailable(str(error))
        except ResponseLost as error:
            raise StoreAnswerLost(str(error))
        if isinstance(answer, Written) and self._is_outdated(call):
            # It replaced another object that had got the same revision.
            return _conflict_with_own(call, answer)
        return answer

    def _is_outdated(self, call):
        """Return whether a write depends on a revision of an earlier era."""
        match call:
            case Put(version=version) | Delete(version=version):
                return version > 0 and Revision(version).era < self.era
        return False

    def _check_era(self, call):
        """Raise `WatchCompacted` if the watched revision is of an earlier era.

        The store may have a revision of that number, after other changes.
        """
        if Revision(call.revision).era < self.era:
            raise WatchCompacted("the store has gone back to an older copy")


def _check_name(call, data):
    """Raise `ResponseLost` if an answer with an object has another than the call's."""
    match call, data:
        case ((Get() | Put() | Delete()), {"metadata": {"name": name}}):
            if name != call.name:
                raise ResponseLost(f"the answer about {call.name} names {name!r}")


def _load(call, response):
    match call, response.status:
        case List(), 200:
            return _load_members(call, response.body, "items")
        case Watch(), 200:
            return _load_members(call, response.body, "events")
    return load_object(response.body)


def _load_members(call, body, key):
    data, left_out = load_members(body, key)
    if left_out:
        log.warning(
            "unreadable objects left out", collection=call.collection, count=left_out
        )
    return data


def _conflict_with_own(call, written):
    match call:
        case Put(_, name, value):
            return Conflict(Stored(name, written.version, value))
        case _:
            return Conflict(None)


def _era(headers):
    return exact_decimal_or_none(headers.get(ERA, "").strip()) or 0


def _encode(call):
    match call:
        case Get(collection, name, stale):
            return HttpRequest("GET", _path(collection, name, allowStale=stale))
        case Put(collection, name, value, 0):
            return _write("POST", _path(collection), _document(name, value))
        case Put(collection, name, value, version):
            document = _document(name, value)
            document["metadata"]["revision"] = Revision(version).number
            return _write("PUT", _path(collection, name), document)
        case Delete(collection, name, version):
            path = _path(collection, name, revision=Revision(version).number)
            return HttpRequest("DELETE", path)
        case List(collection, after, _, stale):
            path = _path(collection, afterRev=after, allowStale=stale)
            return HttpRequest("GET", path)
        case Watch(collection, revision, wait_s):
            wait_ms = int(wait_s * MS_PER_S)
            number = Revision(revision).number
            return HttpRequest("GET", _path(collection, watch=number, waitMs=wait_ms))
        case _:
            raise StoreError(f"the object API has no call for {call}")


def _read_answer(call, status, data, era):
    """Return the answer that ``data`` is.

    :raises ResponseLost: if it is not what the object API gives.
    """
    try:
        return _decode(call, status, data, era)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ResponseLost(f"the answer to {type(call).__name__} is odd: {error!r}")


def _decode(call, status, data, era):
    match call, status:
        case Get(), 200:
            return _stored(data, era)
        case ((Get() | Delete()), 404):
            return Conflict(None) if isinstance(call, Delete) else None
        case Put(), 404:
            return Conflict(None)
        case Put(), 200 | 201:
            return Written(Revision.of(era, data["metadata"]["revision"]))
        case Delete(), 200 | 204:
            return Written(0)
        case ((Put() | Delete()), 409):
            return Conflict(_stored(data, era) if "metadata" in data else None)
        case List(), 200:
            items = tuple(_stored(item, era) for item in data["items"])
            revision = Revision.of(era, data["currentRev"])
            return Page(items, revision, truncated=bool(data["truncated"]))
        case Watch(), 200:
            changes = tuple(_change(event, era) for event in data["events"])
            return Page(changes, Revision.of(era, data["currentRev"]))
        case Watch(), 410:
            raise WatchCompacted("the history that the watch needs is gone")
    raise StoreError(f"the store answered {status} to {call}")


def _stored(data, era):
    metadata = data["metadata"]
    version = Revision.of(era, metadata["revision"])
    return Stored(metadata["name"], version, data.get("specification"))


def _change(event, era):
    return Change(_stored(event["object"], era), bool(event["removed"]))


def _document(name, value):
    return {"metadata": {"name": name}, "specification": value}


def _write(method, path, document):
    body = json.dumps(document, separators=(",", ":")).encode()
    return HttpRequest(method, path, {"Content-Type": "application/json"}, body)


def _path(collection, name=None, **query):
    path = f"/api/objects/{collection}"
    if name is not None:
        path += f"/{quote(name, safe='')}"
    query = {key: int(v) if v is True else v for key, v in query.items() if v}
    return f"{path}?{urlencode(query)}" if query else path
