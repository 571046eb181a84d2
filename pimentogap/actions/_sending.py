"""Sends actions to plain services and determines their outcomes."""

import json
from dataclasses import dataclass
from urllib.parse import quote

from pimentogap.actions._states import Answer
from pimentogap.errors import ConnectionFailed, ResponseLost
from pimentogap.routing import Forward, Refuse
from pimentogap.types import HttpRequest

RUN_STATE_HEADER = "X-Run-State"
DEFAULT_RETENTION_S = 3600.0
MAX_SERVERS_TRIED = 3
QUERY_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class Ran:
    """The service answered without stating that it did not run the action."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class NotSent:
    """Each server tried was unreachable or stated that it did not run the action."""

    detail: str


@dataclass(frozen=True, slots=True)
class Lost:
    """A part of the request may have been written, and no answer came."""

    detail: str


class ActionSender:
    """Sends each action on a connection of its own.

    If no connection is made, nothing was written and another server may be
    tried. Once a byte may have been written, another server may be tried only
    if the service's answer states that the action did not run.
    """

    __slots__ = ("_kernel", "_http")

    def __init__(self, kernel, http):
        self._kernel = kernel
        self._http = http

    async def send(self, call):
        """Send ``call`` and return `Ran`, `NotSent` or `Lost`."""
        service = self._service(call.service)
        if service is None:
            return NotSent(f"no plain service is called {call.service}")
        excluded = set()
        detail = "no backend server is available"
        for _ in range(MAX_SERVERS_TRIED):
            routing = self._kernel.get("routing")
            match routing.decide(call.service, excluded=excluded):
                case Refuse(refusal):
                    return NotSent(f"{refusal.detail}; {detail}")
                case Forward(replica, _):
                    excluded.add(replica.server.id)
            replica.request_started()
            sent_at = self._kernel.clock.time()
            try:
                response = await self._http.fetch(
                    replica.server.address,
                    _request(call),
                    timeout_s=service.timeout,
                    fresh=True,
                )
            except ConnectionFailed as error:
                replica.record_failure(self._kernel.clock.time())
                detail = str(error)
                continue
            except ResponseLost as error:
                replica.record_failure(self._kernel.clock.time())
                return Lost(str(error))
            finally:
                replica.request_ended()
            replica.record_success(self._kernel.clock.time() - sent_at)
            if response.headers.get(RUN_STATE_HEADER) == "not_run":
                detail = f"{replica.server.id} did not run it"
                continue
            return Ran(_answer(response))
        return NotSent(detail)

    async def query_outcome(self, call):
        """Query the service for an action's `Answer`; return ``None`` unless it ran."""
        service = self._service(call.service)
        if service is None or not service.status_path:
            return None
        match self._kernel.get("routing").decide(call.service):
            case Refuse():
                return None
            case Forward(replica, _):
                pass
        path = f"{service.status_path}?key={quote(call.key, safe='')}"
        try:
            response = await self._http.fetch(
                replica.server.address,
                HttpRequest("GET", path),
                timeout_s=QUERY_TIMEOUT_S,
                fresh=True,
            )
            status = response.json()
        except (ConnectionFailed, ResponseLost):
            return None
        if not (isinstance(status, dict) and status.get("ran") is True):
            return None
        stored = status.get("answer")
        body = None if stored is None else json.dumps(stored)
        return Answer(200, "application/json", body)

    def stored_answer(self, claim_key, answer):
        """Return ``answer`` as it is stored: without a body above ``max_answer``."""
        service = self._service(claim_key.split("|")[1])
        limit = service.max_answer if service is not None else 0
        if answer.body is not None and len(answer.body) > limit:
            return Answer(answer.status, answer.content_type, None)
        return answer

    def retention_s(self):
        """Return for how many seconds keys are stored: the longest of all services."""
        configuration = self._kernel.get("configuration").current
        services = configuration.by_name("plain_service").values()
        return max((s.retention for s in services), default=DEFAULT_RETENTION_S)

    def _service(self, name):
        return self._kernel.get("configuration").current.get("plain_service", name)


def _request(call):
    headers = {"Idempotency-Key": call.key, "Content-Type": call.content_type}
    return HttpRequest(call.method, call.path, headers, call.body.encode("latin-1"))


def _answer(response):
    content_type = response.headers.get("Content-Type", "")
    return Answer(response.status, content_type, response.body.decode("latin-1"))
