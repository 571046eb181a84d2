"""Carries requests to the emulated platform within one process, with faults."""

import asyncio

from tornado.httputil import HTTPHeaders

from pimentogap.errors import (
    ConnectionFailed,
    PeerUnreachable,
    ResponseLost,
    ResponseTimeout,
)
from pimentogap.types import HttpRequest
from pimentogap.web import BodyBuffer
from standins._network import AbandonConnection

CONNECT_S = 0.002


class EmulatedNetwork:
    """Finds a handler by its address; ``cut_links`` has pairs of source and address."""

    __slots__ = ("handlers_by_address", "cut_links")

    def __init__(self):
        self.handlers_by_address = {}
        self.cut_links = set()

    def client(self, source):
        """Return what serves ``source`` as HTTP client and as pool of connections."""
        return EmulatedClient(self, source)


class EmulatedClient:
    """One daemon's view of the network.

    It has the interfaces of `pimentogap.web.HttpClient` and `BackendPool`.
    """

    __slots__ = ("_network", "_source")

    def __init__(self, network, source):
        self._network = network
        self._source = source

    async def fetch(self, address, request, *, timeout_s):
        """Send ``request`` and return the whole response."""
        buffer = BodyBuffer()
        try:
            async with asyncio.timeout(timeout_s):
                await self._carry(address, request, _Plain(buffer))
        except TimeoutError:
            raise ResponseTimeout(f"no answer from {address}")
        return buffer.response()

    async def exchange(
        self, address, method, path, headers, body, receiver, *, fresh, connect_s
    ):
        """Send a request and hand its answer to ``receiver``, as the pool does."""
        request = HttpRequest(method, path, dict(headers), body)
        if self._is_dark(address):
            await asyncio.sleep(connect_s)
            raise ConnectionFailed(f"no connection to {address}")
        await self._carry(address, request, receiver)

    def close_idle(self, address):
        """Do nothing; nothing is kept."""

    def close(self):
        """Do nothing; nothing is kept."""

    def _is_dark(self, address):
        handler = self._network.handlers_by_address.get(address)
        return getattr(handler, "dark", False)

    async def _carry(self, address, request, receiver):
        await asyncio.sleep(CONNECT_S)
        handler = self._network.handlers_by_address.get(address)
        if handler is None:
            raise ConnectionFailed(f"no connection to {address}")
        reply = _Reply(self._network, (self._source, address), receiver)
        try:
            await reply.wait_while_cut()
            await handler.handle(request, reply, self._source)
            await reply.finish()
        except AbandonConnection:
            raise ResponseLost(f"{address} closed the connection")


class LocalCalls:
    """Calls between daemons of one process, by address, as `GrpcTransport` has them."""

    __slots__ = ("_answers_by_address", "_own_address")

    def __init__(self, answers_by_address):
        """Share ``answers_by_address`` with the other daemons."""
        self._answers_by_address = answers_by_address
        self._own_address = None

    async def listen(self, address, accept_session, answer_call):
        """Answer calls to ``address``."""
        self._own_address = address
        self._answers_by_address[address] = answer_call

    async def close(self):
        """Stop answering."""
        self._answers_by_address.pop(self._own_address, None)

    async def call(self, address, service, body, *, timeout_s):
        """Have the daemon at ``address`` answer."""
        answer = self._answers_by_address.get(address)
        if answer is None:
            raise PeerUnreachable(address)
        return await answer(service, body)


class _Plain:
    """Lets a `BodyBuffer` take what a relay takes."""

    __slots__ = ("_buffer",)

    def __init__(self, buffer):
        self._buffer = buffer

    def is_own_answer(self, status, headers):
        return True

    async def headers_received(self, status, headers):
        self._buffer.headers_received(status, headers)

    async def data_received(self, chunk):
        self._buffer.data_received(chunk)


class _Reply:
    __slots__ = ("_network", "_link", "_receiver", "_head")

    def __init__(self, network, link, receiver):
        self._network = network
        self._link = link
        self._receiver = receiver
        self._head = None

    async def wait_while_cut(self):
        while self._link in self._network.cut_links:
            await asyncio.sleep(0.05)

    def start(self, status, headers):
        self._head = (status, HTTPHeaders(headers))
        self._receiver.is_own_answer(*self._head)

    async def data(self, chunk):
        await self.wait_while_cut()
        await self._pass_head()
        await self._receiver.data_received(chunk)

    async def finish(self):
        """Pass on a head that no data followed."""
        await self._pass_head()

    async def _pass_head(self):
        if self._head is not None:
            head, self._head = self._head, None
            await self._receiver.headers_received(*head)
