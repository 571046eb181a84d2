"""Handlers of the common HTTP API for models: completions and the list of models."""

import asyncio
import json
from contextlib import suppress

from tornado.iostream import StreamClosedError

from pimentogap.entry._base import BaseHandler, problem
from pimentogap.errors import Refused
from pimentogap.metrics import Series
from pimentogap.streams import (
    Broken,
    CompletionRequest,
    EventSplitter,
    Finished,
    parse_event_data,
)
from pimentogap.types import HTTP_STATUS_BY_CODE, RefusalCode, not_run

MAX_TOKENS = 131072
DEFAULT_MAX_TOKENS = 256
CONTENT_FIELDS = ("model", "prompt", "messages", "max_tokens", "temperature", "seed")


class CompletionHandler(BaseHandler):
    """Answers completion requests, in one document or as server-sent events."""

    async def post(self):
        self.task = asyncio.current_task()
        service = workspace_name = "-"
        try:
            body = parse_completion(self.body, self.request.path)
            service = body["model"]
            workspace = self._check_service(service)
            workspace_name = workspace.name
            outcome = await self._serve(body, workspace)
        except Refused as error:
            outcome = error.refusal.code
            self.refuse(error.refusal)
        except (StreamClosedError, asyncio.CancelledError):
            outcome = "caller_left"
        self.count(service, workspace_name, outcome)

    def _check_service(self, service):
        workspace = self.admitted_workspace()
        configuration = self.kernel.get("configuration").current
        if configuration.get("model_service", service) is None:
            detail = f"no model is called {service}"
            raise Refused(not_run(RefusalCode.UNKNOWN_MODEL, detail))
        self.check_permitted(workspace, service)
        return workspace

    async def _serve(self, body, workspace):
        clock = self.kernel.clock
        began_at = clock.time()
        deadline = began_at + self.remaining_s()
        limits = self.kernel.get("limits")
        limits.charge(workspace)
        request = CompletionRequest(
            id=self.request_id,
            service=body["model"],
            path=self.request.path,
            body={k: v for k, v in body.items() if k in CONTENT_FIELDS},
            priority=body.get("priority", workspace.priority),
            deadline=deadline,
        )
        sink_class = EventSink if body.get("stream") else DocumentSink
        timings = EventTimings(self.kernel, request.service, workspace.name, began_at)
        sink = sink_class(self, timings)
        trace = self.kernel.get("traces").start_trace(
            self.request_id, workspace=workspace.name, service=request.service
        )
        place = limits.place(
            workspace, request.service, deadline=deadline, priority=request.priority
        )
        async with place:
            trace.add_note("has a place")
            outcome = await self.kernel.get("streams").relay(request, sink, trace)
        match outcome:
            case Finished(tokens, attempts):
                trace.add_note("finished", f"{tokens} tokens in {attempts} attempts")
                sink.finish()
                return "ok"
            case Broken(refusal, started):
                trace.add_note("broken", refusal.detail)
                sink.fail(refusal, started)
                return refusal.code


class EventTimings:
    """Records times to the first event and between events of one answer.

    They go to the metrics and the objectives.
    """

    __slots__ = (
        "_clock",
        "_objectives",
        "_service_and_workspace",
        "_first_token",
        "_between",
        "_last_at",
        "_has_begun",
    )

    def __init__(self, kernel, service, workspace, began_at):
        metrics = kernel.get("metrics")
        self._clock = kernel.clock
        self._objectives = kernel.get("objectives")
        self._service_and_workspace = (service, workspace)
        self._first_token = metrics.histogram(Series("first_token", service, workspace))
        self._between = metrics.histogram(Series("between_tokens", service, workspace))
        self._last_at = began_at
        self._has_begun = False

    def record_event(self):
        """Record that events of the answer have arrived."""
        now = self._clock.time()
        seconds, self._last_at = now - self._last_at, now
        measure, histogram = "between_tokens", self._between
        if not self._has_begun:
            self._has_begun = True
            measure, histogram = "first_token", self._first_token
        histogram.record_value(max(1, int(seconds * 1e6)))
        self._objectives.count_duration(*self._service_and_workspace, measure, seconds)


class EventSink:
    """Passes events on to the caller unchanged, with backpressure."""

    __slots__ = ("_handler", "_timings")

    def __init__(self, handler, timings):
        self._handler = handler
        self._timings = timings

    async def write_events(self, data):
        """Write complete events; return once they are written to the socket."""
        self._timings.record_event()
        handler = self._handler
        if handler._headers_written:
            await handler.request.connection.write(data)
            return
        handler.set_header("Content-Type", "text/event-stream")
        handler.set_header("Cache-Control", "no-store")
        handler.request.connection.stream.set_nodelay(True)
        handler.write(data)
        await handler.flush()

    def finish(self):
        """End the response."""
        self._handler.finish()

    def fail(self, refusal, started):
        """Refuse the request, or end a started stream with an error event."""
        if not self._handler._headers_written:
            self._handler.refuse(refusal)
            return
        status = HTTP_STATUS_BY_CODE[refusal.code]
        document = problem(refusal, status, self._handler.request_id)
        self._handler.write(f"event: error\ndata: {json.dumps(document)}\n\n")
        self._handler.finish()


class DocumentSink:
    """Buffers the events of an answer and writes it as one JSON document."""

    __slots__ = ("_handler", "_timings", "_splitter", "_parts")

    def __init__(self, handler, timings):
        self._handler = handler
        self._timings = timings
        self._splitter = EventSplitter()
        self._parts = []

    async def write_events(self, data):
        """Buffer the data of complete events."""
        self._timings.record_event()
        for event in self._splitter.feed(data):
            if event.startswith(b"id: "):
                self._parts.append(parse_event_data(event))

    def finish(self):
        """Write the answer and end the response."""
        is_chat = self._handler.request.path.endswith("/chat/completions")
        text = "".join(_text_of(part) for part in self._parts)
        choice = {"index": 0, "finish_reason": "stop"}
        if is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        answer = {
            "id": self._handler.request_id,
            "object": "chat.completion" if is_chat else "text_completion",
            "choices": [choice],
            "usage": self._parts[-1].get("usage", {}) if self._parts else {},
        }
        self._handler.set_header("Content-Type", "application/json")
        self._handler.finish(json.dumps(answer))

    def fail(self, refusal, started):
        """Refuse the request; nothing of the answer has been written yet."""
        self._handler.refuse(refusal)


class ModelsHandler(BaseHandler):
    """Lists the models that the caller's workspace may use."""

    def get(self):
        try:
            workspace = self.admitted_workspace()
        except Refused as error:
            self.refuse(error.refusal)
            return
        models = self.kernel.get("configuration").current.by_name("model_service")
        data = [
            {"id": name, "object": "model", "owned_by": "pimentogap"}
            for name in sorted(models)
            if name in workspace.services
        ]
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"object": "list", "data": data}))


def parse_completion(raw, path):
    """Return the decoded and validated body of a completion request.

    :param raw: the body as bytes.
    :param path: the request's path, which tells chat completions from others.
    :raises Refused: if the body is malformed.
    """
    try:
        body = json.loads(bytes(raw))
    except ValueError:
        raise _malformed("the body is not JSON")
    if not isinstance(body, dict):
        raise _malformed("the body is not an object")
    if not isinstance(body.get("model"), str):
        raise _malformed("'model' is not a string")
    if path.endswith("/chat/completions"):
        _check_messages(body.get("messages"))
    elif not isinstance(body.get("prompt"), str):
        raise _malformed("'prompt' is not a string")
    tokens = body.setdefault("max_tokens", DEFAULT_MAX_TOKENS)
    if type(tokens) is not int or not 0 < tokens <= MAX_TOKENS:
        raise _malformed(f"'max_tokens' is not a number from 1 to {MAX_TOKENS}")
    if body.get("priority", "batch") not in ("interactive", "batch"):
        raise _malformed("'priority' is neither 'interactive' nor 'batch'")
    return body


def _check_messages(messages):
    with suppress(TypeError, KeyError):
        if messages and all(
            isinstance(message["role"], str) and "content" in message
            for message in messages
        ):
            return
    raise _malformed("'messages' is not a list of objects with 'role' and 'content'")


def _malformed(detail):
    return Refused(not_run(RefusalCode.MALFORMED, detail))


def _text_of(part):
    choice = part["choices"][0]
    return choice.get("text") or choice.get("delta", {}).get("content") or ""
