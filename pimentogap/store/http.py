"""The platform's object API over HTTP, as docs/STORE-API.md describes it."""

import json
from urllib.parse import quote, urlencode

from pimentogap.errors import (
    ConnectionFailed,
    ResponseLost,
    StoreAnswerLost,
    StoreError,
    StoreUnavailable,
    WatchCompacted,
)
from pimentogap.store._calls import (
    Conflict,
    Delete,
    Get,
    List,
    ListVms,
    Page,
    Put,
    Stored,
    Unchanged,
    VmList,
    Watch,
    Written,
)
from pimentogap.types import HttpRequest

NOT_CARRIED_OUT_STATUSES = (429, 503)
NOT_MODIFIED_STATUS = 304
WATCH_GRACE_S = 2.0


class HttpTransport:
    """Sends store calls to one address over persistent connections.

    ``era`` is constant: this store never goes back to an older copy.
    """

    __slots__ = ("era", "_client", "_address")

    def __init__(self, client, address):
        self.era = 0
        self._client = client
        self._address = address

    async def call(self, call, *, timeout_s):
        """Send ``call`` and return its typed answer.

        :param timeout_s: seconds to wait for the answer; a `Watch` gets its own
            wait and `WATCH_GRACE_S` instead.
        :raises StoreUnavailable: if the call was certainly not carried out.
        :raises StoreAnswerLost: if the call may have been carried out.
        :raises WatchCompacted: if the history does not reach back to the revision.
        :raises StoreError: if the answer has an unexpected status.
        """
        if isinstance(call, Watch):
            timeout_s = call.wait_s + WATCH_GRACE_S
        try:
            response = await self._client.fetch(
                self._address, encode(call), timeout_s=timeout_s
            )
            if response.status in NOT_CARRIED_OUT_STATUSES:
                raise StoreUnavailable(f"the store answered {response.status}")
            if response.status == NOT_MODIFIED_STATUS:
                return Unchanged()
            return decode(call, response.status, response.json())
        except ConnectionFailed as error:
            raise StoreUnavailable(str(error))
        except ResponseLost as error:
            raise StoreAnswerLost(str(error))


def encode(call):
    """Return the HTTP request of ``call``."""
    match call:
        case Get(collection, name, _):
            return HttpRequest("GET", _object_path(collection, name))
        case Put(collection, name, value, version):
            condition = (
                {"If-Match": f'"{version}"'} if version else {"If-None-Match": "*"}
            )
            return HttpRequest(
                "PUT", _object_path(collection, name), condition, _to_json(value)
            )
        case Delete(collection, name, version):
            return HttpRequest(
                "DELETE", _object_path(collection, name), {"If-Match": f'"{version}"'}
            )
        case List(collection, after, limit, _):
            query = urlencode({"after": after, "limit": limit})
            return HttpRequest("GET", f"/v1/objects/{collection}?{query}")
        case Watch(collection, revision, wait_s):
            query = urlencode({"from": revision, "wait": wait_s})
            return HttpRequest("GET", f"/v1/watch/{collection}?{query}")
        case ListVms(tag):
            condition = {"If-None-Match": tag} if tag else {}
            return HttpRequest("GET", "/v1/vms", condition)


def decode(call, status, data):
    """Return the typed answer to ``call`` from an HTTP status and JSON ``data``.

    :raises WatchCompacted: if the history does not reach back to the revision.
    :raises StoreError: if the status is unexpected.
    """
    match call, status:
        case Get(), 200:
            return _stored(data)
        case Get(), 404:
            return None
        case Put() | Delete(), 200:
            return Written(data["version"])
        case Put() | Delete(), 412:
            return Conflict(_stored(data["current"]) if data["current"] else None)
        case List(limit=limit), 200:
            items = tuple(_stored(item) for item in data["items"])
            return Page(items, data["revision"], truncated=len(items) >= limit)
        case Watch(), 200:
            items = tuple(_stored(item) for item in data["items"])
            return Page(items, data["revision"])
        case Watch(), 410:
            raise WatchCompacted(data.get("detail", ""))
        case ListVms(), 200:
            return VmList(data["tag"], tuple(data["vms"]))
    raise StoreError(f"the store answered {status} to {call}")


def _stored(data):
    return Stored(data["name"], data["version"], data["value"])


def _object_path(collection, name):
    return f"/v1/objects/{collection}/{quote(name, safe='')}"


def _to_json(value):
    return json.dumps(value, separators=(",", ":")).encode()
