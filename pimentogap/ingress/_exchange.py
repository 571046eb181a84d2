"""One request of a caller's connection, on tornado's HTTP/1.1 connection."""

import asyncio

from logbook import Logger
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from pimentogap.forwarding import CallerRequest

log = Logger("ingress")

TOO_LARGE_STATUS = 413
HEADERS_TOO_LARGE_STATUS = 431
BAD_REQUEST_STATUS = 400


class CallerResponse:
    """Writes the answer to one request of a caller."""

    __slots__ = ("begun", "ended", "_connection", "stream", "_closing")

    def __init__(self, connection, stream, closing):
        """Answer on ``connection``.

        :param closing: tells whether the caller is to close the connection.
        """
        self.begun = False
        self.ended = False
        self._connection = connection
        self.stream = stream
        self._closing = closing

    def begin(self, status, headers):
        """Write the head of the answer."""
        self.begun = True
        # tornado turns it off after each answer, which would delay events.
        self.stream.set_nodelay(True)
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if self._closing():
            fields["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        _forget(self._connection.write_headers(line, fields))

    def send(self, chunk):
        """Write ``chunk`` without waiting until it is taken."""
        if chunk:
            _forget(self._connection.write(chunk))

    async def write(self, chunk):
        """Write ``chunk`` and wait until the caller's connection takes it.

        :raises StreamClosedError: if the caller has gone.
        """
        await self._connection.write(chunk)

    def finish(self):
        """End the answer as a complete one."""
        self.ended = True
        self._connection.finish()

    def abort(self):
        """Close the connection, so that the answer is seen to be incomplete."""
        self.stream.close()


class Exchange(HTTPMessageDelegate):
    """Collects a request and runs the task that answers it."""

    __slots__ = (
        "close_after",
        "_service",
        "_connection",
        "stream",
        "_head",
        "_headers",
        "_body",
        "_task",
        "_response",
        "_refused",
    )

    def __init__(self, service, connection, stream):
        self.close_after = False
        self._service = service
        self._connection = connection
        self.stream = stream
        self._head = None
        self._headers = None
        self._body = bytearray()
        self._task = None
        self._refused = False
        self._response = CallerResponse(connection, stream, self._closes)

    def headers_received(self, start_line, headers):
        """Check the head of the request against the limits in force."""
        self._service.request_began(self)
        self._head = start_line
        self._headers = headers
        limits = self._service.limits()
        declared = headers.get("Content-Length", "0")
        if not start_line.path.startswith("/") or "Host" not in headers:
            self._refuse(BAD_REQUEST_STATUS)
        elif _header_size(start_line, headers) > limits.max_header_bytes:
            self._refuse(HEADERS_TOO_LARGE_STATUS)
        elif declared.isdigit() and int(declared) > limits.max_body_bytes:
            self._refuse(TOO_LARGE_STATUS)

    def data_received(self, chunk):
        """Collect a part of the body."""
        if self._refused:
            return
        self._body += chunk
        if len(self._body) > self._service.limits().max_body_bytes:
            self._refuse(TOO_LARGE_STATUS)

    def finish(self):
        """Answer the request, which is whole now."""
        if self._refused:
            return
        if self.stream.closed():
            # Its bytes were read just before; it must not run for nobody.
            log.info("request dropped", id=self._service.codec.id_of(self._headers))
            return
        self._task = asyncio.ensure_future(self._answer())

    def on_connection_close(self):
        """Note that the caller has gone before its request was whole."""
        self._service.request_ended(self)

    def caller_left(self):
        """Stop what is done for the request."""
        if self._task is not None and not self._task.done():
            self._task.cancel()

    def end(self):
        """Forget the request, whose connection has gone on or ended."""
        self._service.request_ended(self)

    async def _answer(self):
        headers = self._headers
        request = CallerRequest(
            method=self._head.method,
            path=self._head.path,
            host=headers["Host"],
            headers=self._service.codec.forwarded(headers),
            body=bytes(self._body),
            needs=self._service.codec.needs(headers),
            received_at=self._service.now(),
        )
        request.response = self._response
        try:
            await self._service.forwarding.serve(request)
        except StreamClosedError:
            log.info("caller left", id=request.needs.attempt_id)
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception("request failed", id=request.needs.attempt_id)
            self._response.abort()

    def _closes(self):
        self.close_after = self.close_after or self._service.closing
        return self.close_after

    def _refuse(self, status):
        self._refused = True
        self.close_after = True
        log.info("request refused by limits", status=status)
        self._response.begin(status, [("Content-Length", "0")])
        self._response.finish()


def _header_size(start_line, headers):
    size = len(start_line.method) + len(start_line.path) + 12
    return size + sum(len(name) + len(value) + 4 for name, value in headers.get_all())


def _forget(future):
    """Leave a failed write to the connection's own close callback."""
    future.add_done_callback(lambda done: done.exception())
