"""An HTTP client with keep-alive connections, on tornado's `HTTP1Connection`."""

import asyncio
from collections import deque

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
)
from tornado.iostream import StreamClosedError

from pimentogap.errors import ConnectionFailed, ResponseLost, ResponseTimeout
from pimentogap.types import HttpResponse
from pimentogap.web._connect import connect
from pimentogap.web._statuses import is_interim

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 32
MAX_BUFFERED_BODY_BYTES = 4 * 2**20
MAX_HEADER_BYTES = 65536
UNBOUNDED_BODY_BYTES = 2**60
MAX_READ_BYTES = 65536


class BodyBuffer:
    """Receiver that buffers a response whose body is of bounded size."""

    __slots__ = (
        "status",
        "headers",
        "_body",
        "_max_bytes",
        "_timeout",
        "_transfer",
        "_transfer_ends_at",
    )

    def __init__(
        self, timeout=None, transfer=None, *, max_bytes=MAX_BUFFERED_BODY_BYTES
    ):
        """Postpone ``timeout`` while the response arrives.

        :param timeout: the `asyncio.Timeout` of the exchange.
        :param transfer: the `TransferLimits` of a response that has begun; without
            them, ``timeout`` is left as it is.
        :param max_bytes: the largest body.
        """
        self.status = 0
        self.headers = None
        self._body = bytearray()
        self._max_bytes = max_bytes
        self._timeout = timeout
        self._transfer = transfer
        self._transfer_ends_at = 0.0

    def headers_received(self, status, headers):
        """Store the status and headers of the response."""
        self.status = status
        self.headers = headers
        if self._transfer is not None:
            now = asyncio.get_running_loop().time()
            self._transfer_ends_at = now + self._transfer.total_s
            self._postpone_timeout(now)

    def data_received(self, chunk):
        """Append a chunk of the body.

        :raises ResponseLost: if the body exceeds the limit.
        """
        if len(self._body) + len(chunk) > self._max_bytes:
            raise ResponseLost(f"the response is larger than {self._max_bytes} bytes")
        self._body += chunk
        if self._transfer is not None:
            self._postpone_timeout(asyncio.get_running_loop().time())

    def _postpone_timeout(self, now):
        stalls_at = min(now + self._transfer.stall_s, self._transfer_ends_at)
        self._timeout.reschedule(max(self._timeout.when(), stalls_at))

    def timeout_message(self, address, timeout_s):
        """Return what to report about a response that did not arrive in time."""
        if self.status:
            return f"the response of {address} stalled after {len(self._body)} bytes"
        return f"no response from {address} in {timeout_s:g} s"

    def response(self):
        """Return the `HttpResponse`."""
        return HttpResponse(self.status, self.headers, bytes(self._body))


class _ResponseDelegate(HTTPMessageDelegate):
    """Passes a response to a receiver; an error of the receiver ends the connection."""

    __slots__ = ("receiver", "finished", "error", "keep_alive", "_stream")

    def __init__(self, receiver, stream):
        self.receiver = receiver
        self.finished = False
        self.keep_alive = True
        self.error = None
        self._stream = stream

    def headers_received(self, start_line, headers):
        if headers.get("Connection", "").lower() == "close":
            self.keep_alive = False
        try:
            if is_interim(start_line.code):
                return
            self.receiver.headers_received(start_line.code, headers)
        except Exception as error:
            self._fail(error)

    async def data_received(self, chunk):
        if self.error is not None:
            return
        try:
            result = self.receiver.data_received(chunk)
            if result is not None:
                await result
        except Exception as error:
            self._fail(error)

    def finish(self):
        self.finished = self.error is None

    def on_connection_close(self):
        self.finished = False

    def _fail(self, error):
        # The frames that its traceback names hold what has been read.
        self.error = error.with_traceback(None)
        self._stream.close()

    def take_error(self):
        """Return the error, which is not kept, so that it refers to nothing in turn."""
        error, self.error = self.error, None
        return error


class _HeadDelegate(HTTPMessageDelegate):
    """Reads the status and headers, and detaches the stream before the body."""

    __slots__ = ("status", "headers", "chunked", "_connection")

    def __init__(self, connection):
        self.status = 0
        self.headers = None
        self.chunked = False
        self._connection = connection

    def headers_received(self, start_line, headers):
        try:
            if is_interim(start_line.code):
                return
        except ResponseLost:
            # The status stays 0, as if no response had come.
            self._connection.detach()
            return
        self.status = start_line.code
        self.headers = headers
        self.chunked = "Transfer-Encoding" in headers
        self._connection.detach()


class HttpClient:
    """Sends requests and keeps idle connections for later ones.

    Answers carry no id. One that comes twice is not read as the next one if its copy
    arrives while the connection is idle; between a request and its answer, a copy can
    not be told from it. Requests that must not get another's answer are sent with
    ``fresh``.

    A receiver is an object with ``headers_received(status, headers)`` and
    ``data_received(chunk)``. If the latter returns an awaitable, it is awaited
    before more is read, which applies backpressure to the server.
    """

    __slots__ = ("_idle_by_address", "_parameters", "connections_opened")

    def __init__(self):
        self._idle_by_address = {}
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=UNBOUNDED_BODY_BYTES,
        )
        self.connections_opened = 0

    async def fetch(
        self,
        address,
        request,
        *,
        timeout_s,
        fresh=False,
        transfer=None,
        max_bytes=MAX_BUFFERED_BODY_BYTES,
    ):
        """Send ``request`` to ``address`` and return the `HttpResponse`.

        :param timeout_s: seconds for the whole exchange, or, with ``transfer``, until
            the response begins.
        :param fresh: open a connection for this request alone.
        :param transfer: the `TransferLimits` of a response that has begun.
        :param max_bytes: the largest body of a response.
        :raises ConnectionFailed: if nothing of the request was sent.
        :raises ResponseLost: if the response did not arrive completely; a
            `ResponseTimeout` if the time for it has passed.
        """
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                buffer = BodyBuffer(timeout, transfer, max_bytes=max_bytes)
                await self._exchange_keep_alive(address, request, buffer, fresh=fresh)
        except TimeoutError:
            raise ResponseTimeout(buffer.timeout_message(address, timeout_s))
        return buffer.response()

    async def exchange(self, address, request, receiver):
        """Send ``request`` and pass the response to ``receiver`` as it arrives.

        The request is sent by HTTP/1.0 on a connection of its own. The body then
        extends to the end of the connection, and each chunk costs a single read.
        The receiver must check that the body is complete. Cancelling the call
        closes the connection, which tells the server to stop answering.

        :raises ConnectionFailed: if nothing of the request was sent.
        :raises ResponseLost: if no response began, or the connection broke.
        """
        stream = await self._connect(address)
        try:
            await self._read_until_closed(stream, address, request, receiver)
        finally:
            stream.close()

    async def _read_until_closed(self, stream, address, request, receiver):
        connection = HTTP1Connection(stream, True, self._parameters)
        head = _HeadDelegate(connection)
        try:
            await stream.write(_encode_http_1_0(address, request))
            await connection.read_response(head)
        except StreamClosedError as error:
            raise ResponseLost(f"{address} closed the connection: {error}")
        if head.status == 0 or head.chunked:
            raise ResponseLost(f"{address} gave no response to HTTP/1.0")
        receiver.headers_received(head.status, head.headers)
        try:
            while True:
                chunk = await stream.read_bytes(MAX_READ_BYTES, partial=True)
                result = receiver.data_received(chunk)
                if result is not None:
                    await result
        except StreamClosedError:
            if stream.error is not None:
                raise ResponseLost(f"{address} broke the connection: {stream.error}")

    async def _exchange_keep_alive(self, address, request, receiver, *, fresh):
        """Send ``request`` by HTTP/1.1 on an idle connection, or on a new one."""
        stream = None if fresh else self._pop_idle(address)
        if stream is None:
            stream = await self._connect(address)
        delegate = _ResponseDelegate(receiver, stream)
        try:
            await self._transfer(stream, address, request, delegate)
        except ResponseLost:
            stream.close()
            lost = ResponseLost(f"{address} closed the connection")
            raise delegate.take_error() or lost from None
        except BaseException:
            stream.close()
            raise
        if not delegate.finished:
            stream.close()
            lost = ResponseLost(f"{address} closed the connection")
            raise delegate.take_error() or lost
        if fresh or not delegate.keep_alive or not stream.is_quiet():
            stream.close()
        else:
            self._store_idle(address, stream)

    def close(self):
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            for stream in idle:
                stream.close()
        self._idle_by_address.clear()

    async def _transfer(self, stream, address, request, delegate):
        connection = HTTP1Connection(stream, True, self._parameters)
        headers = HTTPHeaders(request.headers)
        headers["Host"] = address
        if request.body or request.method in ("POST", "PUT"):
            headers["Content-Length"] = str(len(request.body))
        line = RequestStartLine(request.method, request.path, "HTTP/1.1")
        try:
            await connection.write_headers(line, headers, request.body or None)
            connection.finish()
            await connection.read_response(delegate)
        except StreamClosedError as error:
            raise ResponseLost(f"{address} closed the connection: {error}")

    async def _connect(self, address):
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                stream = await connect(address)
        except (OSError, TimeoutError, StreamClosedError) as error:
            raise ConnectionFailed(f"no connection to {address}: {error!r}")
        self.connections_opened += 1
        return stream

    def _pop_idle(self, address):
        idle = self._idle_by_address.get(address)
        while idle:
            stream = idle.pop()
            stream.set_close_callback(None)
            if stream.is_quiet():
                return stream
            stream.close()
        return None

    def _store_idle(self, address, stream):
        idle = self._idle_by_address.setdefault(address, deque())
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            stream.close()
            return
        idle.append(stream)

        def remove_idle():
            try:
                idle.remove(stream)
            except ValueError:
                pass

        stream.set_close_callback(remove_idle)


def _encode_http_1_0(address, request):
    """Return ``request`` encoded as HTTP/1.0."""
    headers = {"Host": address, **request.headers}
    if request.body:
        headers["Content-Length"] = str(len(request.body))
    lines = [f"{request.method} {request.path} HTTP/1.0"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + request.body
