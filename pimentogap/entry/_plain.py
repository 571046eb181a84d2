"""Handlers of plain services, of health checks and of unknown paths."""

import asyncio
import hashlib
import json
import re
import uuid

from tornado.iostream import StreamClosedError

from pimentogap.actions import ActionCall, NotReplied, Replied
from pimentogap.entry._base import BaseHandler
from pimentogap.errors import Refused
from pimentogap.metrics import Series
from pimentogap.types import HttpRequest, Refusal, RefusalCode, RunState, not_run

KEY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "Idempotency-Replayed"
KEY_PATTERN = re.compile(r"[!-~]{1,200}")


class PlainServiceHandler(BaseHandler):
    """Serves ``/services/NAME/PATH``.

    A path below the service's action prefix is an action, which runs at most once;
    any other is a lookup, which is hedged.
    """

    async def get(self, service_name, path):
        await self._handle(service_name, path)

    async def post(self, service_name, path):
        await self._handle(service_name, path)

    async def put(self, service_name, path):
        await self._handle(service_name, path)

    async def delete(self, service_name, path):
        await self._handle(service_name, path)

    async def _handle(self, service_name, path):
        workspace_name = "-"
        try:
            configuration = self.kernel.get("configuration").current
            workspace = self.admitted_workspace()
            workspace_name = workspace.name
            service = configuration.get("plain_service", service_name)
            if service is None:
                detail = f"no service is called {service_name}"
                raise Refused(not_run(RefusalCode.UNKNOWN_SERVICE, detail))
            self.check_permitted(workspace, service_name)
            self.kernel.get("limits").charge(workspace)
            if path.startswith(service.action_prefix):
                outcome = await self._run_action(service, workspace, path)
            else:
                outcome = await self._look_up(service, workspace, path)
        except Refused as error:
            outcome = error.refusal.code
            self.refuse(error.refusal)
        except StreamClosedError:
            outcome = "caller_left"
        self.count(service_name, workspace_name, outcome)

    async def _run_action(self, service, workspace, path):
        began_at = self.kernel.clock.time()
        key = self.request.headers.get(KEY_HEADER) or uuid.uuid4().hex
        if not KEY_PATTERN.fullmatch(key) or "|" in key:
            detail = f"{KEY_HEADER} is not 1 to 200 visible characters without '|'"
            raise Refused(not_run(RefusalCode.MALFORMED, detail))
        body = bytes(self.body)
        target = self._target(path)
        call = ActionCall(
            workspace=workspace.name,
            service=service.name,
            key=key,
            path=target,
            method=self.request.method,
            content_type=self.request.headers.get("Content-Type", ""),
            body=body.decode("latin-1"),
            body_digest=_digest(self.request.method, target, body),
            deadline_in_s=self.remaining_s(),
        )
        trace = self.kernel.get("traces").start_trace(
            self.request_id, workspace=workspace.name, service=service.name
        )
        trace.add_note("action", key)
        outcome = await asyncio.shield(self.kernel.get("actions").run(call))
        self._record_duration("action", service, workspace, began_at)
        match outcome:
            case Replied(answer, replayed):
                self._write_answer(answer, replayed)
                return "ok"
            case NotReplied(refusal):
                trace.add_note("not replied", refusal.detail)
                self.refuse(refusal)
                return refusal.code

    def _write_answer(self, answer, replayed):
        if answer.body is None:
            detail = "the action ran; its answer was too large to be kept"
            self.refuse(Refusal(RefusalCode.IN_DOUBT, RunState.RAN, detail), status=200)
            return
        self.set_status(answer.status)
        self.set_header("Content-Type", answer.content_type or "application/json")
        self.set_header("Run-State", RunState.RAN)
        if replayed:
            self.set_header(REPLAYED_HEADER, "true")
        self.finish(answer.body.encode("latin-1"))

    async def _look_up(self, service, workspace, path):
        self.task = asyncio.current_task()
        began_at = self.kernel.clock.time()
        request = HttpRequest(
            self.request.method, self._target(path), {}, bytes(self.body)
        )
        trace = self.kernel.get("traces").start_trace(
            self.request_id, workspace=workspace.name, service=service.name
        )
        result = await self.kernel.get("lookups").look_up(
            service, request, timeout_s=self.remaining_s(), trace=trace
        )
        self._record_duration("lookup", service, workspace, began_at)
        match result:
            case Refusal():
                self.refuse(result)
                return result.code
            case response:
                self.set_status(response.status)
                content_type = response.headers.get("Content-Type", "application/json")
                self.set_header("Content-Type", content_type)
                self.finish(response.body)
                return "ok"

    def _record_duration(self, measure, service, workspace, began_at):
        elapsed_s = self.kernel.clock.time() - began_at
        series = Series(measure, service.name, workspace.name)
        self.kernel.get("metrics").record_duration(series, elapsed_s)
        objectives = self.kernel.get("objectives")
        objectives.count_duration(service.name, workspace.name, measure, elapsed_s)

    def _target(self, path):
        return f"{path}?{self.request.query}" if self.request.query else path


class NotFoundHandler(BaseHandler):
    """Refuses requests for unknown paths."""

    def prepare(self):
        super().prepare()
        if not self._finished:
            detail = f"nothing is served at {self.request.path}"
            self.refuse(not_run(RefusalCode.UNKNOWN_SERVICE, detail))


class HealthHandler(BaseHandler):
    """Answers the load balancer's checks of liveness and readiness."""

    def get(self, kind):
        ready = kind == "healthz" or self.kernel.get("entry").is_ready()
        self.set_status(200 if ready else 503)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"ok": ready}))


def _digest(method, path, body):
    digest = hashlib.sha256(f"{method} {path}\n".encode())
    digest.update(body)
    return digest.hexdigest()[:32]
