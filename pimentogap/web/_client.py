"""An HTTP client with kept connections, on tornado's HTTP/1.1 connection."""

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

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 32
MAX_BUFFERED_BODY_BYTES = 4 * 2**20
MAX_HEADER_BYTES = 65536
UNBOUNDED_BODY_BYTES = 2**60
MAX_PIECE_BYTES = 65536


class BodyBuffer:
    """Receives a response into memory, up to a limit."""

    __slots__ = ("status", "headers", "_chunks", "_size")

    def __init__(self):
        self.status = 0
        self.headers = None
        self._chunks = []
        self._size = 0

    def headers_received(self, status, headers):
        """Note the status and headers of the response."""
        self.status = status
        self.headers = headers

    def data_received(self, chunk):
        """Append a piece of the body.

        :raises ResponseLost: if the body is larger than the limit.
        """
        self._size += len(chunk)
        if self._size > MAX_BUFFERED_BODY_BYTES:
            raise ResponseLost("the body of the response is too large")
        self._chunks.append(chunk)

    def response(self):
        """Return the whole response."""
        return HttpResponse(self.status, self.headers, b"".join(self._chunks))


class _Delegate(HTTPMessageDelegate):
    """Hands a response to a receiver; an error of the receiver ends the connection."""

    __slots__ = ("receiver", "finished", "error", "keep", "_stream")

    def __init__(self, receiver, stream):
        self.receiver = receiver
        self.finished = False
        self.keep = True
        self.error = None
        self._stream = stream

    def headers_received(self, start_line, headers):
        if headers.get("Connection", "").lower() == "close":
            self.keep = False
        try:
            self.receiver.headers_received(start_line.code, headers)
        except Exception as error:
            self._end(error)

    async def data_received(self, chunk):
        if self.error is not None:
            return
        try:
            result = self.receiver.data_received(chunk)
            if result is not None:
                await result
        except Exception as error:
            self._end(error)

    def finish(self):
        self.finished = self.error is None

    def on_connection_close(self):
        self.finished = False

    def _end(self, error):
        self.error = error
        self._stream.close()


class _DetachingDelegate(HTTPMessageDelegate):
    """Reads the head of a response and leaves the rest of the stream alone."""

    __slots__ = ("status", "headers", "chunked", "_connection")

    def __init__(self, connection):
        self.status = 0
        self.headers = None
        self.chunked = False
        self._connection = connection

    def headers_received(self, start_line, headers):
        self.status = start_line.code
        self.headers = headers
        self.chunked = "Transfer-Encoding" in headers
        self._connection.detach()


class HttpClient:
    """Sends requests and keeps connections for later ones.

    A receiver is an object with ``headers_received(status, headers)`` and
    ``data_received(chunk)``; what the latter returns is awaited before more is
    read, which holds the sender back.
    """

    __slots__ = ("_idle_by_address", "_parameters", "connections_opened")

    def __init__(self):
        self._idle_by_address = {}
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=UNBOUNDED_BODY_BYTES,
        )
        self.connections_opened = 0

    async def fetch(self, address, request, *, timeout_s, fresh=False):
        """Send ``request`` to ``address`` and return the whole `HttpResponse`.

        :param timeout_s: seconds for the whole exchange.
        :param fresh: open a connection for this request alone.
        :raises ConnectionFailed: if nothing of the request was sent.
        :raises ResponseLost: if the response did not arrive whole.
        """
        buffer = BodyBuffer()
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange_kept(address, request, buffer, fresh=fresh)
        except TimeoutError:
            raise ResponseTimeout(f"no answer from {address} in {timeout_s:g} s")
        return buffer.response()

    async def exchange(self, address, request, receiver):
        """Send ``request`` and hand the response to ``receiver`` as it arrives.

        The request is made by HTTP/1.0 on a connection of its own: the body is
        then what follows until the connection ends, and each piece costs one
        read. Whether the body is whole is for the receiver to tell. Cancelling
        the call closes the connection, which tells the server that its answer
        is no longer wanted.

        :raises ConnectionFailed: if nothing of the request was sent.
        :raises ResponseLost: if no response began.
        """
        stream = await self._connect(address)
        try:
            await self._read_until_closed(stream, address, request, receiver)
        finally:
            stream.close()

    async def _read_until_closed(self, stream, address, request, receiver):
        connection = HTTP1Connection(stream, True, self._parameters)
        head = _DetachingDelegate(connection)
        try:
            await stream.write(_http_1_0(address, request))
            await connection.read_response(head)
        except StreamClosedError as error:
            raise ResponseLost(f"{address} closed the connection: {error}")
        if head.status == 0 or head.chunked:
            raise ResponseLost(f"{address} gave no response to HTTP/1.0")
        receiver.headers_received(head.status, head.headers)
        try:
            while True:
                chunk = await stream.read_bytes(MAX_PIECE_BYTES, partial=True)
                result = receiver.data_received(chunk)
                if result is not None:
                    await result
        except StreamClosedError:
            if stream.error is not None:
                raise ResponseLost(f"{address} broke the connection: {stream.error}")

    async def _exchange_kept(self, address, request, receiver, *, fresh):
        """Send ``request`` by HTTP/1.1 on a kept connection, or a fresh one."""
        stream = None if fresh else self._take_idle(address)
        if stream is None:
            stream = await self._connect(address)
        delegate = _Delegate(receiver, stream)
        try:
            await self._transfer(stream, address, request, delegate)
        except ResponseLost:
            stream.close()
            raise delegate.error or ResponseLost(f"{address} closed the connection")
        except BaseException:
            stream.close()
            raise
        if not delegate.finished:
            stream.close()
            raise delegate.error or ResponseLost(f"{address} closed the connection")
        if fresh or not delegate.keep or stream.closed():
            stream.close()
        else:
            self._keep(address, stream)

    def close(self):
        """Close every kept connection."""
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

    def _take_idle(self, address):
        idle = self._idle_by_address.get(address)
        while idle:
            stream = idle.pop()
            if not stream.closed():
                stream.set_close_callback(None)
                return stream
        return None

    def _keep(self, address, stream):
        idle = self._idle_by_address.setdefault(address, deque())
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            stream.close()
            return
        idle.append(stream)

        def forget():
            try:
                idle.remove(stream)
            except ValueError:
                pass

        stream.set_close_callback(forget)


def _http_1_0(address, request):
    """Return the bytes of ``request`` by HTTP/1.0."""
    headers = {"Host": address, **request.headers}
    if request.body:
        headers["Content-Length"] = str(len(request.body))
    lines = [f"{request.method} {request.path} HTTP/1.0"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + request.body
