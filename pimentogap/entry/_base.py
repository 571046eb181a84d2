"""The base class of the front end's request handlers."""

import asyncio
import json
import uuid

from logbook import Logger
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler, stream_request_body

from pimentogap.access import Admitted, Rejected, admit, service_refusal
from pimentogap.errors import Refused
from pimentogap.logs import trace_id
from pimentogap.metrics import Series
from pimentogap.tickets import may_serve
from pimentogap.types import (
    HTTP_STATUS_BY_CODE,
    RefusalCode,
    RunState,
    decimal_or_none,
    is_above,
    not_run,
)

log = Logger("entry")

PROBLEM_TYPE_PREFIX = "urn:pimentogap:refusal:"
DEADLINE_HEADER = "Request-Timeout-Ms"
WORKSPACE_HEADER = "Workspace"
TRACE_HEADER = "traceparent"
REQUEST_ID_HEADER = "Request-Id"
RUN_STATE_HEADER = "Run-State"
MAX_DEADLINE_S = 3600.0


@stream_request_body
class BaseHandler(RequestHandler):
    """Reads a body of limited size, and answers refusals as problem documents."""

    def initialize(self, kernel, settings):
        self.kernel = kernel
        self.caller_settings = settings
        self.body = bytearray()
        self.request_id = _request_id(self.request.headers)
        self.task = None

    def prepare(self):
        self.kernel.get("entry").open_handlers.add(self)
        trace_id.set(self.request_id)
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        size = sum(len(k) + len(v) + 4 for k, v in self.request.headers.get_all())
        if size > self.caller_settings.max_header:
            detail = f"the headers are over {self.caller_settings.max_header} bytes"
            self.refuse(not_run(RefusalCode.TOO_LARGE, detail), status=431)
            return
        declared = self.request.headers.get("Content-Length", "0")
        if is_above(declared, self.caller_settings.max_body):
            self._refuse_large_body()

    def data_received(self, chunk):
        if self._finished:
            return
        self.body += chunk
        if len(self.body) > self.caller_settings.max_body:
            self._refuse_large_body()

    def on_finish(self):
        self.kernel.get("entry").open_handlers.discard(self)

    def on_connection_close(self):
        self.kernel.get("entry").open_handlers.discard(self)
        if self.task is not None:
            self.task.cancel()

    def refuse(self, refusal, *, status=None):
        """Answer with a problem document, unless an answer has been started.

        :param refusal: the `Refusal`; its run state says whether the request was run.
        :param status: the HTTP status, if not that of the refusal's code.
        """
        status = status or HTTP_STATUS_BY_CODE[refusal.code]
        if self._headers_written:
            return
        self.set_status(status)
        self.set_header("Content-Type", "application/problem+json")
        self.set_header(RUN_STATE_HEADER, refusal.run_state)
        if refusal.retry_after_s > 0:
            self.set_header("Retry-After", str(max(1, round(refusal.retry_after_s))))
        self.finish(json.dumps(problem(refusal, status, self.request_id)))

    def write_error(self, status_code, **kwargs):
        self.set_header("Content-Type", "application/problem+json")
        state = RunState.NOT_RUN if status_code < 500 else RunState.MAY_HAVE_RUN
        title = self._reason
        self.finish(
            json.dumps(
                {
                    "type": f"{PROBLEM_TYPE_PREFIX}http_{status_code}",
                    "title": title,
                    "status": status_code,
                    "run_state": state,
                    "request_id": self.request_id,
                }
            )
        )

    def log_exception(self, kind, value, traceback):
        if not isinstance(value, StreamClosedError | asyncio.CancelledError):
            log.error("request {} failed: {!r}", self.request_id, value)

    def remaining_s(self):
        """Return the request's time limit in seconds, from its header or the settings.

        :raises Refused: if the header is not a number of milliseconds, or too large.
        """
        text = self.request.headers.get(DEADLINE_HEADER)
        if text is None:
            return self.caller_settings.default_deadline
        deadline_ms = decimal_or_none(text)
        if deadline_ms is None or not 0 < deadline_ms <= MAX_DEADLINE_S * 1000:
            detail = f"{DEADLINE_HEADER} is not a number of milliseconds in bounds"
            raise Refused(not_run(RefusalCode.MALFORMED, detail))
        return deadline_ms / 1000

    def admitted_workspace(self):
        """Return the `Workspace` that the request names, if it admits the caller.

        :raises Refused: if no workspace admits the caller, or if the daemon is
            stopping or cannot rely on its configuration.
        """
        if self.kernel.get("entry").refuses_requests:
            detail = "the daemon is stopping"
            raise Refused(not_run(RefusalCode.STOPPING, detail, retry_after_s=1.0))
        configuration = self.kernel.get("configuration")
        if not may_serve(configuration.freshness()):
            detail = "the daemon cannot know the newest configuration"
            raise Refused(not_run(RefusalCode.STALE, detail, retry_after_s=1.0))
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        admission = admit(
            configuration.current,
            workspace_name=self.request.headers.get(WORKSPACE_HEADER, ""),
            key=key if scheme.lower() == "bearer" else "",
        )
        match admission:
            case Admitted(workspace):
                return workspace
            case Rejected(refusal):
                raise Refused(refusal)

    def check_permitted(self, workspace, service_name):
        """Check that the workspace may call the service.

        :raises Refused: if the workspace may not call it.
        """
        refusal = service_refusal(workspace, service_name)
        if refusal is not None:
            raise Refused(refusal)

    def count(self, service, workspace, outcome):
        """Count a request by its outcome in the metrics and objectives."""
        self.kernel.get("objectives").count_outcome(service, workspace, outcome)
        metrics = self.kernel.get("metrics")
        metrics.count(Series("requests", service, workspace, str(outcome)))

    def _refuse_large_body(self):
        detail = f"the body is over {self.caller_settings.max_body} bytes"
        self.set_header("Connection", "close")
        self.refuse(not_run(RefusalCode.TOO_LARGE, detail))


def problem(refusal, status, request_id):
    """Return ``refusal`` as a problem document (RFC 9457), ready for JSON."""
    return {
        "type": PROBLEM_TYPE_PREFIX + refusal.code,
        "title": refusal.code.replace("_", " "),
        "status": status,
        "detail": refusal.detail,
        "code": refusal.code,
        "run_state": refusal.run_state,
        "retry_after_s": refusal.retry_after_s,
        "request_id": request_id,
    }


def _request_id(headers):
    """Return the trace id of a ``traceparent`` header, or a new one."""
    parts = headers.get(TRACE_HEADER, "").split("-")
    if len(parts) == 4 and len(parts[1]) == 32 and parts[1].isalnum():
        return parts[1].lower()
    return uuid.uuid4().hex
