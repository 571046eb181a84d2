"""HTTP servers and clients of the stand-ins, on sockets or within one process."""

import asyncio
from urllib.parse import parse_qs, urlsplit

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from pimentogap.errors import ConnectionFailed, ResponseLost, ResponseTimeout
from pimentogap.types import HttpRequest
from pimentogap.web import BodyBuffer

REASONS_BY_STATUS = {200: "OK", 404: "Not Found", 409: "Conflict"}


class AbandonConnection(Exception):
    """Ends the connection without a complete answer; raised by handlers."""


class LocalNetwork:
    """Delivers requests to handlers by address, within one process.

    Its clients have the interface of `pimentogap.web.HttpClient`. ``cut_links`` has
    pairs of the name of a client and an address between which nothing passes.
    """

    __slots__ = ("handlers_by_address", "cut_links", "requests_sent")

    def __init__(self):
        self.handlers_by_address = {}
        self.cut_links = set()
        self.requests_sent = 0

    def client(self, source):
        """Return a client named ``source``; each of its links can be cut by itself."""
        return LocalClient(self, source)


class LocalClient:
    """The client of one source in a `LocalNetwork`."""

    __slots__ = ("_network", "_source")

    def __init__(self, network, source):
        self._network = network
        self._source = source

    async def fetch(self, address, request, *, timeout_s, fresh=False):
        """Send ``request`` and return the complete response, as `HttpClient` does.

        :raises ConnectionFailed: if nothing listens on ``address`` or the link is cut.
        :raises ResponseLost: if the connection was closed before the end.
        :raises ResponseTimeout: if the response took longer than ``timeout_s``.
        """
        buffer = BodyBuffer()
        try:
            async with asyncio.timeout(timeout_s):
                await self.exchange(address, request, buffer)
        except TimeoutError:
            raise ResponseTimeout(f"no answer from {address}")
        return buffer.response()

    async def exchange(self, address, request, receiver):
        """Send ``request`` and pass its response to ``receiver``, as `HttpClient` does.

        :raises ConnectionFailed: if nothing listens on ``address`` or the link is cut.
        :raises ResponseLost: if the connection was closed before the end.
        """
        network = self._network
        handler = network.handlers_by_address.get(address)
        if handler is None or self._is_cut(address):
            raise ConnectionFailed(f"no connection to {address}")
        network.requests_sent += 1
        reply = _LocalReply(receiver, self._is_cut, address)
        task = asyncio.ensure_future(handler.handle(request, reply))
        try:
            await asyncio.shield(task)
        except AbandonConnection:
            raise ResponseLost(f"{address} closed the connection")
        finally:
            # A server keeps running a request whose client has left until it writes.
            reply.closed = True
            task.add_done_callback(_retrieve_exception)

    def close(self):
        """Do nothing: connections are not reused."""

    def _is_cut(self, address):
        return (self._source, address) in self._network.cut_links


def _retrieve_exception(task):
    if not task.cancelled():
        task.exception()


class _LocalReply:
    __slots__ = ("closed", "_receiver", "_is_cut", "_address")

    def __init__(self, receiver, is_cut, address):
        self.closed = False
        self._receiver = receiver
        self._is_cut = is_cut
        self._address = address

    def start(self, status, headers):
        if self.closed or self._is_cut(self._address):
            raise AbandonConnection
        self._receiver.headers_received(status, HTTPHeaders(headers))

    async def data(self, chunk):
        if self.closed or self._is_cut(self._address):
            raise AbandonConnection
        result = self._receiver.data_received(chunk)
        if result is not None:
            await result


class SocketServer:
    """Serves a handler's requests on one address, with a task for each request."""

    __slots__ = ("_handler", "_server", "_tasks")

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._tasks = set()

    def listen(self, address):
        """Accept connections on ``address``."""
        host, _, port = address.rpartition(":")
        self._server = HTTPServer(self._accept, max_body_size=4 * 2**20)
        self._server.listen(int(port), host.strip("[]"))

    async def close(self):
        """Stop listening and end every connection."""
        self._server.stop()
        for task in list(self._tasks):
            task.cancel()
        await self._server.close_all_connections()

    def _accept(self, request):
        task = asyncio.ensure_future(self._serve(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        request.connection.set_close_callback(task.cancel)

    async def _serve(self, request):
        headers = dict(request.headers.get_all())
        http_request = HttpRequest(request.method, request.uri, headers, request.body)
        connection = request.connection
        try:
            connection.stream.set_nodelay(True)
            await self._handler.handle(http_request, _SocketReply(connection))
            connection.set_close_callback(None)
            connection.finish()
        except (AbandonConnection, StreamClosedError, asyncio.CancelledError):
            stream = getattr(connection, "stream", None)
            if stream is not None:
                stream.close()


class _SocketReply:
    __slots__ = ("_connection",)

    def __init__(self, connection):
        self._connection = connection

    def start(self, status, headers):
        line = ResponseStartLine("HTTP/1.1", status, REASONS_BY_STATUS.get(status, "-"))
        self._connection.write_headers(line, HTTPHeaders(headers))

    async def data(self, chunk):
        await self._connection.write(chunk)


def split_path(request):
    """Return the path of ``request`` and its query as a mapping."""
    parts = urlsplit(request.path)
    return parts.path, {key: values[0] for key, values in parse_qs(parts.query).items()}
