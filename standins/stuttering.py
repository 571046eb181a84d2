"""A server on sockets that repeats, breaks off and spoils the answers of a handler."""

import asyncio
import contextlib
import socket
import struct
import time
from dataclasses import dataclass, replace

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError
from tornado.tcpserver import TCPServer

from pimentogap.types import HttpRequest
from standins._network import AbandonConnection
from standins._stutter import (
    BeforeClose,
    BeforeNextAnswer,
    BrokenOff,
    CutInTwo,
    InOwnPacket,
    InSamePacket,
    Later,
    OnNextRequest,
    Spoiled,
    Whole,
    WithoutLength,
)

SEAL = "X-Pimentogap-Replica-Seal"
ATTEMPT_ID = "X-Pimentogap-Attempt-Id"
NOT_RUN = "X-Pimentogap-Not-Executed"
PLATFORM_PREFIX = "/api/"
SUCCESS_STATUS, FAILURE_STATUS = 200, 500
MAX_BODY_BYTES = 4 * 2**20
# A stream that breaks off does so after this much of its body.
MIN_STREAM_BYTES = 200
# SO_LINGER with a timeout of zero: closing the socket sends RST instead of FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SPOILED_BYTES = b"\x00\x9f no answer \xff" * 8


@dataclass(frozen=True, slots=True)
class SentAnswer:
    """The first answer to one request, as a replica sent it.

    ``seal`` is unique to the request. ``arrived_at`` is the request's time by the
    monotonic clock, ``connection`` the number of the server's connection. ``body`` is
    what was to be sent; ``is_whole`` tells whether all of it was.
    """

    seal: str
    attempt_id: str
    server: str
    connection: int
    arrived_at: float
    status: int
    body: bytes
    is_whole: bool


class StutteringServer(TCPServer):
    """Serves a handler's requests and sends each answer as a drawn `Plan` says."""

    def __init__(self, name, handler, stutter, answers):
        """Serve ``handler``, which has a coroutine function ``handle``.

        :param stutter: the `Stutter` that draws the plans.
        :param answers: a list that gets a `SentAnswer` for each request.
        """
        super().__init__(max_buffer_size=MAX_BODY_BYTES * 2)
        self.name = name
        self.handler = handler
        self.stutter = stutter
        self.answers = answers
        self._streams = set()
        self._connection_count = 0

    def listen_on(self, address):
        """Accept connections on ``address``, ``HOST:PORT``."""
        host, _, port = address.rpartition(":")
        self.listen(int(port), host)

    async def close(self):
        """Stop listening and end every connection."""
        self.stop()
        for stream in list(self._streams):
            stream.close()

    async def handle_stream(self, stream, address):
        """Serve the requests of one connection."""
        self._connection_count += 1
        stream.set_nodelay(True)
        self._streams.add(stream)
        connection = _Connection(self, stream, self._connection_count)
        task = asyncio.ensure_future(connection.serve())
        stream.set_close_callback(task.cancel)
        with contextlib.suppress(
            AbandonConnection, StreamClosedError, asyncio.CancelledError
        ):
            await task
        connection.end()
        self._streams.discard(stream)


class _Connection:
    """One connection, and the copies that wait for its next request or answer."""

    __slots__ = (
        "_server",
        "_stream",
        "_number",
        "_lock",
        "_before_answer",
        "_on_request",
        "_tasks",
    )

    def __init__(self, server, stream, number):
        self._server = server
        self._stream = stream
        self._number = number
        # Held while an answer is written, so that no copy comes between its parts.
        self._lock = asyncio.Lock()
        self._before_answer = b""
        self._on_request = b""
        self._tasks = set()

    async def serve(self):
        """Answer one request after the other."""
        while True:
            request = await self._read_request()
            if self._on_request:
                copy, self._on_request = self._on_request, b""
                await self._stream.write(copy)
            arrived_at = time.monotonic()
            reply = _Reply(self, self._draw_plan(request), self._next_seal())
            try:
                await self._server.handler.handle(request, reply)
                await reply.finish()
            except AbandonConnection:
                # An answer without a length that just closes would seem whole.
                self._close(BrokenOff(by_reset=True))
                raise
            finally:
                self._record(request, reply, arrived_at)
            if reply.ends_connection:
                self._close(reply.plan.form)
                return

    def end(self):
        """Cancel the copies that are still to be sent, and close."""
        for task in self._tasks:
            task.cancel()
        self._stream.close()

    async def begin_answer(self):
        """Write the copies that were held back; others wait until `end_answer`."""
        await self._lock.acquire()
        copies, self._before_answer = self._before_answer, b""
        return copies

    def end_answer(self):
        """Let copies be written again."""
        self._lock.release()

    async def write(self, data):
        """Write a part of an answer or of a copy."""
        await self._stream.write(data)

    async def send_copy(self, copy, data):
        """Send or hold back ``data``, the copy of the answer that is being written."""
        match copy:
            case InOwnPacket():
                await asyncio.sleep(0)
                await self.write(data)
            case BeforeClose():
                await self.write(data)
            case Later(delay_s):
                self._spawn(self._write_later(data, delay_s))
            case CutInTwo(delay_s):
                middle = len(data) // 2
                await self.write(data[:middle])
                await asyncio.sleep(delay_s)
                await self.write(data[middle:])
            case OnNextRequest():
                self._on_request += data
            case BeforeNextAnswer():
                self._before_answer += data

    def _draw_plan(self, request):
        plan = self._server.stutter.draw()
        if request.path.startswith(PLATFORM_PREFIX):
            return replace(plan, form=Whole())
        return plan

    def _next_seal(self):
        return f"{self._server.name}.{self._number}.{time.monotonic_ns()}"

    async def _read_request(self):
        head = (await self._stream.read_until(b"\r\n\r\n")).decode("latin-1")
        line, _, fields = head.partition("\r\n")
        method, path, _ = line.split(" ", 2)
        headers = HTTPHeaders.parse(fields)
        size = int(headers.get("Content-Length", "0"))
        body = await self._stream.read_bytes(size) if size else b""
        return HttpRequest(method, path, dict(headers.get_all()), body)

    async def _write_later(self, data, delay_s):
        await asyncio.sleep(delay_s)
        async with self._lock:
            await self.write(data)

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._forget)

    def _forget(self, task):
        self._tasks.discard(task)
        if not task.cancelled():
            # The copy of an answer whose connection has ended is never sent.
            task.exception()

    def _close(self, form):
        match form:
            case BrokenOff(by_reset=True) if not self._stream.closed():
                self._stream.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        self._stream.close()

    def _record(self, request, reply, arrived_at):
        headers = {name.lower(): value for name, value in request.headers.items()}
        self._server.answers.append(
            SentAnswer(
                seal=reply.seal,
                attempt_id=headers.get(ATTEMPT_ID.lower(), ""),
                server=self._server.name,
                connection=self._number,
                arrived_at=arrived_at,
                status=reply.status,
                body=bytes(reply.body),
                is_whole=reply.is_whole,
            )
        )


class _Reply:
    """The reply that a handler writes to, sent as its `Plan` says.

    An answer with a length is sent as a whole at the end, one without is a stream.
    """

    __slots__ = (
        "plan",
        "status",
        "body",
        "seal",
        "is_whole",
        "_connection",
        "_headers",
        "_is_stream",
        "_has_begun",
    )

    def __init__(self, connection, plan, seal):
        self.plan = plan
        self.status = 0
        self.body = bytearray()
        self.seal = seal
        self.is_whole = False
        self._connection = connection
        self._headers = {}
        self._is_stream = False
        self._has_begun = False

    @property
    def ends_connection(self):
        """Whether the connection ends after this answer."""
        is_framed = isinstance(self.plan.form, Whole)
        return not is_framed or isinstance(self.plan.copy, BeforeClose)

    def start(self, status, headers):
        """Set the status and the headers of the answer."""
        self.status = status
        self._headers = dict(headers)
        self._is_stream = "Content-Length" not in headers
        if SEAL in headers:
            self._headers[SEAL] = self.seal
        else:
            self.seal = ""
            # Only the answer to a request that ran is repeated with another status.
            self.plan = replace(self.plan, flips_status=False)

    async def data(self, chunk):
        """Send ``chunk`` of a stream, or keep it until the answer is whole."""
        self.body += chunk
        if not self._is_stream or isinstance(self.plan.form, Spoiled):
            return
        if not self._has_begun:
            self._has_begun = True
            copies = await self._connection.begin_answer()
            head = self._head(self.status, self._headers)
            await self._connection.write(copies + head)
        if isinstance(self.plan.form, BrokenOff) and len(self.body) > MIN_STREAM_BYTES:
            await self._connection.write(self._frame(chunk)[: len(chunk) // 2])
            raise AbandonConnection
        await self._connection.write(self._frame(chunk))

    async def finish(self):
        """Send what has not been sent yet, and the copy."""
        copies = b""
        if not self._has_begun:
            copies = await self._connection.begin_answer()
        data = copies + self._rest()
        # A copy would be a part of an answer that ends with its connection.
        may_repeat = isinstance(self.plan.form, Whole)
        if may_repeat and isinstance(self.plan.copy, InSamePacket):
            data += self._copy()
        if data:
            await self._connection.write(data)
        self.is_whole = isinstance(self.plan.form, Whole | WithoutLength)
        if may_repeat:
            await self._connection.send_copy(self.plan.copy, self._copy())
        self._connection.end_answer()

    def _rest(self):
        """Return the part of the answer that has not been written."""
        match self.plan.form:
            case Spoiled():
                return SPOILED_BYTES
            case BrokenOff() if self._has_begun:
                return b""
            case BrokenOff():
                whole = self._encoded(self.status, self._headers)
                return whole[: len(whole) * 2 // 3]
            case WithoutLength() if self._has_begun:
                return b""
            case WithoutLength():
                headers = dict(self._headers)
                headers.pop("Content-Length", None)
                return self._head(self.status, headers) + bytes(self.body)
        if self._has_begun:
            return _chunk(b"")
        return self._encoded(self.status, self._headers)

    def _copy(self):
        """Return the bytes of the answer's copy."""
        status, headers = self.status, dict(self._headers)
        if self.plan.flips_status:
            status = FAILURE_STATUS if status < 400 else SUCCESS_STATUS
        if not self.plan.copy_has_id:
            headers.pop(ATTEMPT_ID, None)
        return self._encoded(status, headers)

    def _encoded(self, status, headers):
        head = self._head(status, headers)
        if not self._is_stream:
            return head + bytes(self.body)
        content = _chunk(bytes(self.body)) if self.body else b""
        return head + content + _chunk(b"")

    def _head(self, status, headers):
        lines = [f"HTTP/1.1 {status} -"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if self._is_stream and not isinstance(self.plan.form, WithoutLength):
            lines.append("Transfer-Encoding: chunked")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _frame(self, chunk):
        if isinstance(self.plan.form, WithoutLength):
            return chunk
        return _chunk(chunk)


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)
