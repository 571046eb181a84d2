"""Handles one request on a caller's connection, by tornado's `HTTP1Connection`."""

import asyncio

from logbook import Logger
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from pimentogap.errors import CallerLeft
from pimentogap.forwarding import CallerRequest
from pimentogap.ingress._refusals import LINGER_BYTES, send_refusal
from pimentogap.ingress._stream import (
    ADMITTED_UNREAD_BYTES,
    CHUNKED_UNREAD_BYTES,
    UNREAD_BYTES,
)
from pimentogap.intake import RETRY_AFTER_S, NoRoom
from pimentogap.types import decimal_or_none, is_above

log = Logger("ingress")

MAX_LOGGED_PATH_CHARS = 80
# A body without a length reserves its memory in steps of this size, and this much more
# than it has, for the buffers on the way to it.
STEP_BYTES = 32 * 1024
BUFFERED_BYTES = 32 * 1024
# From this size on, a chunked body gets a larger receive buffer.
LARGE_CHUNKED_BYTES = 256 * 1024
UNAVAILABLE_STATUS = 503
# Unlike 503, it does not say that the request has not run.
FAILED_STATUS = 502
TIMEOUT_STATUS = 408
TOO_LARGE_STATUS = 413
HEADERS_TOO_LARGE_STATUS = 431
BAD_REQUEST_STATUS = 400


class CallerResponse:
    """Writes the answer to one request of a caller."""

    __slots__ = (
        "begun",
        "ended",
        "has_body",
        "_connection",
        "stream",
        "_closes_connection",
    )

    def __init__(self, connection, stream, closes_connection):
        """Prepare to answer on ``connection``.

        :param stream: the `CallerStream` below ``connection``.
        :param closes_connection: callable that returns whether the connection
            closes after the answer.
        """
        self.begun = False
        self.ended = False
        self.has_body = True
        self._connection = connection
        self.stream = stream
        self._closes_connection = closes_connection

    def begin(self, status, headers):
        """Write the status line and headers of the answer.

        :param headers: pairs of name and value.
        """
        # tornado turns TCP_NODELAY off after each answer, which would delay events.
        self.stream.set_nodelay(True)
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if self._closes_connection():
            fields["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        _ignore_error(self._connection.write_headers(line, fields))
        self.begun = True

    def send(self, chunk):
        """Write ``chunk`` without waiting until it is written to the socket."""
        if chunk and self.has_body:
            _ignore_error(self._connection.write(chunk))

    async def write(self, chunk):
        """Write ``chunk`` and wait until it is written to the socket.

        :raises CallerLeft: if the caller has closed the connection.
        """
        if not self.has_body:
            return
        try:
            await self._connection.write(chunk)
        except StreamClosedError:
            raise CallerLeft("the connection of the caller is closed")

    def finish(self):
        """End a complete answer."""
        self.ended = True
        self._connection.finish()

    def abort(self):
        """Close the connection, so that the caller sees an incomplete answer."""
        if not self.ended:
            self.stream.close()


class Exchange(HTTPMessageDelegate):
    """Collects a request, checks it against the limits and answers it in a task."""

    __slots__ = (
        "close_after",
        "_service",
        "_connection",
        "stream",
        "_start_line",
        "_path",
        "_headers",
        "_body",
        "_task",
        "_response",
        "refused",
        "_dropped_bytes",
    )

    def __init__(self, service, connection, stream):
        self.close_after = False
        self._service = service
        self._connection = connection
        self.stream = stream
        self._start_line = None
        self._path = ""
        self._headers = None
        self._body = bytearray()
        self._task = None
        self.refused = False
        self._dropped_bytes = 0
        self._response = CallerResponse(connection, stream, self._should_close)

    def headers_received(self, start_line, headers):
        """Check the request line and headers against the current limits."""
        self._service.add_exchange(self)
        self._start_line = start_line
        self._response.has_body = start_line.method != "HEAD"
        self._headers = headers
        limits = self._service.limits()
        # tornado takes a length that is repeated, and refuses different ones.
        declared = headers.get("Content-Length", "0").partition(",")[0].strip()
        self._path = _decode_path(start_line.path)
        if not self._path.startswith("/") or "Host" not in headers:
            self._refuse_at_head(BAD_REQUEST_STATUS, "malformed")
        elif _header_bytes(start_line, headers) > limits.max_header_bytes:
            self._refuse_at_head(HEADERS_TOO_LARGE_STATUS, "head too large")
        elif is_above(declared, limits.max_body_bytes):
            self._refuse_at_head(TOO_LARGE_STATUS, "body too large")
        elif "Transfer-Encoding" in headers:
            self.stream.begin_chunks()
            return self._admit_body(BUFFERED_BYTES)
        elif size := int(decimal_or_none(declared) or 0):
            return self._admit_body(size)
        return None

    def _admit_body(self, size):
        """Reserve ``size`` bytes; return an awaitable if the body has to wait."""
        intake, caller = self._service.intake, self.stream.caller
        intake.begin_body(caller, self._turn_away)
        if intake.try_reserve(caller, size):
            self._read_faster(size)
            return None
        return self._wait_for_room(size)

    async def _wait_for_room(self, size):
        try:
            await self._service.intake.reserve(self.stream.caller, size)
        except NoRoom:
            self._refuse_at_head(UNAVAILABLE_STATUS, "no room")
        else:
            self._read_faster(size)

    def _read_faster(self, size):
        """Let more of a large body be on its way, once all its memory is reserved."""
        if size > UNREAD_BYTES and not self.stream.is_chunked:
            self.stream.allow_unread(ADMITTED_UNREAD_BYTES)

    def data_received(self, chunk):
        """Append a chunk of the body, once there is room for it."""
        if self.refused:
            return self._drop(chunk)
        size = len(self._body) + len(chunk)
        if size > self._service.limits().max_body_bytes:
            self._refuse(TOO_LARGE_STATUS, "body too large")
            return None
        caller = self.stream.caller
        needed = size + BUFFERED_BYTES if self.stream.is_chunked else size
        if needed > caller.held:
            step = max(STEP_BYTES, needed - caller.held)
            if not self._service.intake.try_reserve(caller, step):
                return self._append_later(chunk, step)
            self._read_chunks_faster(step)
        self._body += chunk
        return None

    async def _append_later(self, chunk, step):
        try:
            await self._service.intake.reserve(self.stream.caller, step)
        except NoRoom:
            if not self.refused:
                self._refuse(UNAVAILABLE_STATUS, "no room")
            return
        self._read_chunks_faster(step)
        self._body += chunk

    def _read_chunks_faster(self, step):
        """Let more of a chunked body be on its way, once it has become large."""
        if (
            self.stream.caller.held - step
            < LARGE_CHUNKED_BYTES
            <= self.stream.caller.held
        ):
            self.stream.allow_unread(CHUNKED_UNREAD_BYTES)

    def _drop(self, chunk):
        self._dropped_bytes += len(chunk)
        if self._dropped_bytes > LINGER_BYTES:
            self.stream.close()
            return None
        return self._wait_to_drain()

    async def _wait_to_drain(self):
        try:
            await self._service.intake.wait_to_drain()
        except asyncio.CancelledError:
            # tornado would log it and raise another error for it.
            self.stream.close()

    def finish(self):
        """Start the task that answers the request, once it is complete."""
        self.stream.end_chunks()
        if self.refused:
            self._connection.detach()
            return
        if self.stream.closed():
            # The caller left after sending; a request without a caller must not run.
            log.info(
                "request dropped",
                id=self._service.codec.decode_attempt_id(self._headers),
            )
            return
        self._service.intake.begin_service(self.stream.caller)
        self._task = asyncio.ensure_future(self._answer())

    def on_connection_close(self):
        """Drop a request whose caller closed the connection before completing it."""
        self._service.remove_exchange(self)

    def cancel_answer(self):
        """Cancel the task that answers the request, since the caller has left."""
        if self._task is not None and not self._task.done():
            self._task.cancel()

    def end(self):
        """Drop the request, now that tornado is done with it."""
        self._service.remove_exchange(self)

    async def _answer(self):
        attempt_id = self._service.codec.decode_attempt_id(self._headers)
        try:
            await self._service.forwarding.serve(self._request())
        except (CallerLeft, StreamClosedError):
            log.info("caller left", id=attempt_id)
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception("request failed", id=attempt_id)
            self._answer_failure(attempt_id)
        finally:
            self._body = None
            self._service.intake.release(self.stream.caller)

    def _answer_failure(self, attempt_id):
        """End a request that an unexpected error has ended; it may have run."""
        if self._response.begun:
            self._response.abort()
            return
        self.close_after = True
        headers = self._service.codec.refusal_headers(attempt_id, retry_after_s=0.0)
        self._response.begin(FAILED_STATUS, [*headers, ("Content-Length", "0")])
        self._response.finish()

    def _request(self):
        headers = self._headers
        request = CallerRequest(
            method=self._start_line.method,
            path=self._path,
            host=self._service.codec.decode_host(headers),
            headers=self._service.codec.forwarded_headers(headers),
            body=self._body,
            needs=self._service.codec.needs(headers),
            received_at=self._service.now(),
        )
        request.response = self._response
        return request

    def _should_close(self):
        """Return whether the connection closes; once true, it stays true."""
        self.close_after = self.close_after or self._service.closing
        return self.close_after

    def _turn_away(self, error):
        """Refuse the request while its body is read, since ``error`` applies to it."""
        if not self.refused:
            timed_out = issubclass(error, TimeoutError)
            self._refuse(TIMEOUT_STATUS if timed_out else UNAVAILABLE_STATUS)

    def _refuse_at_head(self, status, cause):
        """Refuse before anything of the body is read; the service lingers."""
        self._refuse(status, cause)
        self._connection.detach()

    def _refuse(self, status, cause=None):
        """Answer with a refusal; what still comes of the request is dropped."""
        self.refused = True
        self.close_after = True
        self._body = bytearray()
        if cause is not None:
            self._service.intake.count(cause)
        self._service.intake.begin_leaving(self.stream.caller)
        headers = self._service.codec.refusal_headers(
            self._service.codec.decode_attempt_id(self._headers),
            retry_after_s=RETRY_AFTER_S if status == UNAVAILABLE_STATUS else 0.0,
        )
        send_refusal(self.stream, status, headers)


def _decode_path(path):
    """Return a path that tornado read as Latin-1 such that it is sent as it came.

    tornado sends a path as UTF-8. A path that is none cannot be sent on; it is empty,
    and refused.
    """
    try:
        return path.encode("latin-1").decode("utf-8")
    except UnicodeDecodeError:
        log.info("path is not UTF-8", path=path[:MAX_LOGGED_PATH_CHARS])
        return ""


def _header_bytes(start_line, headers):
    size = len(start_line.method) + len(start_line.path) + 12
    return size + sum(len(name) + len(value) + 4 for name, value in headers.get_all())


def _ignore_error(future):
    """Ignore the error of a write; the connection's close callback handles it."""
    future.add_done_callback(lambda done: done.exception())
