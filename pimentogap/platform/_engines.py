"""Sends orders to model engines and fetches their reports, over HTTP."""

import json
from urllib.parse import quote

from pimentogap.errors import ConnectionFailed, OrderRefused, ResponseLost
from pimentogap.platform._backends import decode_backend
from pimentogap.platform._headers import EXPECTED_BACKEND
from pimentogap.platform._text import encode_field
from pimentogap.types import (
    CloseGroup,
    HttpRequest,
    JoinGroup,
    LeaveGroup,
    OpenGroup,
    OrderConflict,
    OrderDone,
    OrderStarted,
    OrderUnanswered,
    StageWeights,
)

ORDER_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 0.25
OK_STATUS = 200
UNHEALTHY_STATUS = 503
# Reports take a few hundred bytes, and hundreds of them may be read at once.
MAX_ANSWER_BYTES = 64 * 1024
# What a path holds as it is; blanks, line ends and other scripts are escaped.
PATH_CHARACTERS = "/%?&=:;,+@!$'()*~#[]"


class HttpEngines:
    """Sends orders to engines and fetches their reports.

    Each has a connection of its own: the answers carry no id, and a second copy of the
    answer to one order must not be read as the answer to the next.
    """

    __slots__ = ("_client",)

    def __init__(self, client):
        """Use ``client``, a `pimentogap.web.HttpClient`, for all requests."""
        self._client = client

    async def order(self, backend, order, *, fence):
        """Send ``order`` to ``backend`` and return the outcome.

        :param fence: the fencing number of the sender's lease.
        :return: `OrderStarted`, `OrderDone`, `OrderConflict` or `OrderUnanswered`.
        :raises OrderRefused: if the engine has seen a newer fencing number.
        """
        body = _encode(order)
        body["fenceToken"] = fence
        headers = {
            "Content-Type": "application/json",
            **_expecting(backend),
        }
        request = HttpRequest("POST", "/api/order", headers, json.dumps(body).encode())
        try:
            response = await self._client.fetch(
                backend.address,
                request,
                timeout_s=ORDER_TIMEOUT_S,
                fresh=True,
                max_bytes=MAX_ANSWER_BYTES,
            )
        except (ConnectionFailed, ResponseLost) as error:
            return OrderUnanswered(str(error))
        match response.status:
            case 202:
                return OrderStarted()
            case 200:
                return OrderDone()
            case 412:
                raise OrderRefused(response.body.decode("latin-1")[:200])
            case status:
                return OrderConflict(status, response.body.decode("latin-1")[:200])

    async def report(self, backend):
        """Fetch the report of ``backend`` and return it as a new `Backend`.

        :return: ``None`` if the report describes no usable backend server.
        :raises ConnectionFailed: if the backend server cannot be reached.
        :raises ResponseLost: if it did not answer with status 200 and a JSON object.
        """
        request = HttpRequest("GET", "/api/report", _expecting(backend))
        response = await self._client.fetch(
            backend.address,
            request,
            timeout_s=REPORT_TIMEOUT_S,
            fresh=True,
            max_bytes=MAX_ANSWER_BYTES,
        )
        if response.status != OK_STATUS:
            raise ResponseLost(f"{backend.id} answered {response.status}")
        data = response.json()
        if not isinstance(data, dict):
            raise ResponseLost(f"the report of {backend.id} is no object")
        data |= {
            "service": backend.service,
            "addr": backend.address,
            "zone": backend.availability_zone,
            "state": backend.state.value,
        }
        return decode_backend(backend.id, data)

    async def is_leaving(self, backend, health_path):
        """Return whether the health check of ``backend`` says that it is leaving.

        No answer, or one that the check was not run, says nothing, since a check
        waits for a slot.
        """
        path = quote(health_path, safe=PATH_CHARACTERS, errors="replace")
        request = HttpRequest("GET", path, _expecting(backend))
        try:
            response = await self._client.fetch(
                backend.address,
                request,
                timeout_s=REPORT_TIMEOUT_S,
                fresh=True,
                max_bytes=MAX_ANSWER_BYTES,
            )
        except (ConnectionFailed, ResponseLost):
            return False
        return (
            response.status == UNHEALTHY_STATUS
            and "X-Pimentogap-Not-Executed" not in response.headers
        )


def _expecting(backend):
    """Return the header by which any other server refuses the request."""
    return {EXPECTED_BACKEND: encode_field(backend.id)}


def _encode(order):
    match order:
        case JoinGroup(group, epoch, model, members):
            return {
                "operation": "join",
                "group": group,
                "epoch": epoch,
                "model": model,
                "members": list(members),
            }
        case OpenGroup(group, epoch):
            return {"operation": "open", "group": group, "epoch": epoch}
        case CloseGroup(group, epoch, preempt):
            return {
                "operation": "close",
                "group": group,
                "epoch": epoch,
                "closeMode": "preempt" if preempt else "queue",
            }
        case LeaveGroup(group, epoch):
            return {"operation": "leave", "group": group, "epoch": epoch}
        case StageWeights(model):
            return {"operation": "stage", "model": model}
