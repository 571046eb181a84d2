"""A network within one process that carries requests to the emulated platform."""

import asyncio

from tornado.httputil import HTTPHeaders

from pimentogap.calls import PersonalAnswer, SharedAnswer, decode_answer
from pimentogap.errors import (
    ConnectionFailed,
    PeerUnreachable,
    ResponseLost,
    ResponseTimeout,
    SendWithheld,
)
from pimentogap.types import HttpRequest
from pimentogap.web import BodyBuffer
from standins._network import AbandonConnection
from standins._wire import read_fields

CONNECT_DELAY_S = 0.002
MAX_BODY_BYTES = 4 * 2**20


class EmulatedNetwork:
    """Delivers requests to handlers by address.

    Requests and answers between a pair of source and address in ``cut_links`` are
    held back until the pair is removed. ``connect_delays_s_by_address`` has the times
    that connections take that do not open at once.
    """

    __slots__ = ("handlers_by_address", "cut_links", "connect_delays_s_by_address")

    def __init__(self):
        self.handlers_by_address = {}
        self.cut_links = set()
        self.connect_delays_s_by_address = {}

    def client(self, source):
        """Return the HTTP client of ``source``, which is its connection pool too."""
        return EmulatedClient(self, source)


class EmulatedClient:
    """The network as one daemon sees it.

    It has the interfaces of `pimentogap.web.HttpClient` and `BackendPool`.
    """

    __slots__ = ("_network", "_source")

    def __init__(self, network, source):
        self._network = network
        self._source = source

    async def fetch(
        self,
        address,
        request,
        *,
        timeout_s,
        fresh=False,
        transfer=None,
        max_bytes=MAX_BODY_BYTES,
    ):
        """Send ``request`` and return the complete response, on any connection.

        :raises ConnectionFailed: if nothing listens on ``address``.
        :raises ResponseLost: if the connection was closed before the end.
        :raises ResponseTimeout: if the response did not begin within ``timeout_s``,
            or exceeded ``transfer``, the `TransferLimits`, afterwards.
        """
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                buffer = BodyBuffer(timeout, transfer, max_bytes=max_bytes)
                await self._deliver(address, request, _BufferReceiver(buffer))
        except TimeoutError:
            raise ResponseTimeout(buffer.timeout_message(address, timeout_s))
        return buffer.response()

    async def exchange(
        self,
        address,
        method,
        path,
        headers,
        body,
        receiver,
        *,
        fresh,
        connect_s,
        may_send=lambda: True,
    ):
        """Send a request and pass its answer to ``receiver``, as `BackendPool` does.

        :raises ConnectionFailed: if nothing listens on ``address``, or the handler
            is silent, which takes ``connect_s`` seconds.
        :raises SendWithheld: if ``may_send()`` was false once the connection was open.
        :raises ResponseLost: if the connection was closed before the end.
        """
        request = HttpRequest(method, path, read_fields(headers), body)
        if self._is_silent(address):
            await asyncio.sleep(connect_s)
            raise ConnectionFailed(f"no connection to {address}")
        delays_s_by_address = self._network.connect_delays_s_by_address
        await asyncio.sleep(delays_s_by_address.get(address, 0.0))
        if not may_send():
            raise SendWithheld(f"{address} no longer takes requests")
        await self._deliver(address, request, receiver)

    def close_idle(self, address):
        """Do nothing: connections are not reused."""

    def close(self):
        """Do nothing: connections are not reused."""

    def _is_silent(self, address):
        handler = self._network.handlers_by_address.get(address)
        return getattr(handler, "is_silent", False)

    async def _deliver(self, address, request, receiver):
        await asyncio.sleep(CONNECT_DELAY_S)
        handler = self._network.handlers_by_address.get(address)
        if handler is None or getattr(handler, "is_down", False):
            raise ConnectionFailed(f"no connection to {address}")
        reply = _Reply(self._network, (self._source, address), receiver)
        try:
            await reply.wait_while_cut()
            await handler.handle(request, reply, self._source)
            await reply.finish()
        except AbandonConnection:
            raise ResponseLost(f"{address} closed the connection")


class LocalCallTransport:
    """Calls between daemons of one process, with the interface of `GrpcTransport`."""

    __slots__ = (
        "_call_handlers_by_address",
        "_cut_calls",
        "_frozen_addresses",
        "_own_address",
    )

    def __init__(self, call_handlers_by_address, cut_calls, frozen_addresses):
        """Create a transport; all daemons share the arguments.

        :param cut_calls: pairs of a caller's and a callee's address whose calls fail.
        :param frozen_addresses: addresses at which calls get no answer, those in
            progress too.
        """
        self._call_handlers_by_address = call_handlers_by_address
        self._cut_calls = cut_calls
        self._frozen_addresses = frozen_addresses
        self._own_address = None

    async def listen(self, address, accept_session, answer_call):
        """Have ``answer_call`` answer the calls to ``address``."""
        self._own_address = address
        self._call_handlers_by_address[address] = answer_call

    async def close(self):
        """Stop answering calls."""
        self._call_handlers_by_address.pop(self._own_address, None)

    async def call(self, address, service, body, *, timeout_s):
        """Call ``service`` of the daemon at ``address`` and return its answer.

        :raises PeerUnreachable: if no daemon listens on ``address``.
        :raises ResponseLost: if it was cut off before it answered, or if it is frozen,
            after ``timeout_s``.
        """
        began_at = asyncio.get_running_loop().time()
        handler = self._call_handlers_by_address.get(address)
        link = (self._own_address, address)
        if handler is None or link in self._cut_calls:
            raise PeerUnreachable(address)
        await asyncio.sleep(CONNECT_DELAY_S)
        answer = await handler(service, body)
        if address in self._frozen_addresses:
            passed_s = asyncio.get_running_loop().time() - began_at
            await asyncio.sleep(max(0.0, timeout_s - passed_s))
            raise ResponseLost(f"{address} did not answer {service} in {timeout_s} s")
        if link in self._cut_calls:
            raise ResponseLost(f"{address} was cut off during a call")
        if not isinstance(answer, SharedAnswer | PersonalAnswer):
            answer = SharedAnswer(answer)
        # Encoded as on the wire, so that the caller gets a copy of its own.
        return decode_answer(answer.encode(compressed=True))


class _BufferReceiver:
    """Gives a `BodyBuffer` the interface of a receiver of `BackendPool`."""

    __slots__ = ("_buffer",)

    def __init__(self, buffer):
        self._buffer = buffer

    def is_own_answer(self, status, headers, *, is_first):
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
        self._receiver.is_own_answer(*self._head, is_first=True)

    async def data(self, chunk):
        await self.wait_while_cut()
        await self._forward_head()
        await self._receiver.data_received(chunk)

    async def finish(self):
        """Forward the head of an answer without a body."""
        await self._forward_head()

    async def _forward_head(self):
        if self._head is not None:
            head, self._head = self._head, None
            await self._receiver.headers_received(*head)
