"""Callers outside anybody's control: what they send, and the crowd that sends it."""

import asyncio
import contextlib
from dataclasses import dataclass

from standins.emulator._documents import HOST, KEY

SETTLE_S = 1.0
MAX_SETTLE_S = 15.0
POLL_S = 0.05
DRIP_S = 0.2
PART_BYTES = 64 * 1024
REQUEST_LINE = "POST /look/x HTTP/1.1\r\n"
FIELDS = f"Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"


@dataclass(frozen=True, slots=True)
class Announced:
    """A body of ``length`` bytes by its head, of which ``sent`` are sent in pieces."""

    length: int
    sent: int
    piece: int


@dataclass(frozen=True, slots=True)
class Chunked:
    """A chunked body without an end, ``sent`` bytes in chunks of ``chunk`` bytes."""

    chunk: int
    sent: int


@dataclass(frozen=True, slots=True)
class Unannounced:
    """A request whose head names no body, and ``sent`` bytes after it."""

    sent: int


@dataclass(frozen=True, slots=True)
class DrippingHead:
    """A head that stops after ``sent`` bytes and goes on byte by byte."""

    sent: int


@dataclass(frozen=True, slots=True)
class Silent:
    """A connection on which nothing is sent."""


@dataclass(frozen=True, slots=True)
class Deaf:
    """So many whole requests, one after the other, whose answers are never read."""

    requests: int


def parts(habit):
    """Yield the bytes that a caller with ``habit`` sends, part by part."""
    head = REQUEST_LINE + FIELDS
    match habit:
        case Announced(length, sent, piece):
            yield f"{head}Content-Length: {length}\r\n\r\n".encode()
            for begin in range(0, sent, piece):
                yield b"x" * min(piece, sent - begin)
        case Chunked(chunk, sent):
            yield f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()
            yield from _chunks(chunk, sent)
        case Unannounced(sent):
            yield f"{head}\r\n".encode()
            for begin in range(0, sent, PART_BYTES):
                yield b"x" * min(PART_BYTES, sent - begin)
        case DrippingHead(sent):
            yield f"{head}Long: ".encode().ljust(sent, b"x")
        case Deaf(requests):
            for index in range(requests):
                id_ = f"X-Pimentogap-Attempt-Id: deaf-{index}\r\n"
                yield f"{head}{id_}Content-Length: 0\r\n\r\n".encode()
        case Silent():
            return


def _chunks(chunk, sent):
    """Yield whole chunks while they fit into ``sent``, then the begin of one more."""
    line = f"{chunk:x}\r\n".encode()
    whole = line + b"x" * chunk + b"\r\n" if chunk <= sent else b""
    in_part = max(1, PART_BYTES // len(whole)) if whole else 0
    left = sent // chunk
    while left:
        count = min(left, in_part)
        yield whole * count
        left -= count
    yield line
    for begin in range(0, sent % chunk, PART_BYTES):
        yield b"x" * min(PART_BYTES, sent % chunk - begin)


class Crowd:
    """Many callers with one habit, each on a connection of its own that stays open.

    None of them reads. A caller whose connection is closed does not come again.
    """

    __slots__ = ("_tasks", "_sent_bytes", "_busy", "closed")

    def __init__(self):
        self._tasks = []
        self._sent_bytes = 0
        self._busy = 0
        self.closed = 0

    def open(self, address, habit, count):
        """Let ``count`` callers connect to ``address``, a pair of host and port."""
        self._busy += count
        for _ in range(count):
            self._tasks.append(asyncio.ensure_future(self._call(address, habit)))

    async def settle(self, count_runs):
        """Wait until no caller gets on and ``count_runs()`` no longer changes."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + MAX_SETTLE_S
        seen, since = None, loop.time()
        while loop.time() < min(ends_at, since + SETTLE_S):
            await asyncio.sleep(POLL_S)
            state = (self._sent_bytes, self._busy, count_runs())
            if state != seen:
                seen, since = state, loop.time()

    async def close(self):
        """Let every caller leave."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call(self, address, habit):
        writer = None
        try:
            _, writer = await asyncio.open_connection(*address)
            writer.transport.pause_reading()
            try:
                await self._send(writer, habit)
            finally:
                self._busy -= 1
            await self._stay(writer, habit)
        except OSError:
            self.closed += 1
        finally:
            if writer is not None:
                writer.transport.abort()

    async def _send(self, writer, habit):
        for part in parts(habit):
            writer.write(part)
            await writer.drain()
            self._sent_bytes += len(part)

    async def _stay(self, writer, habit):
        while True:
            await asyncio.sleep(DRIP_S)
            if isinstance(habit, DrippingHead):
                writer.write(b"x")
                await writer.drain()


async def ask(address, *, body=b"", limit_s):
    """Send a whole request on a new connection; return the answer's status or error."""
    head = f"{REQUEST_LINE}{FIELDS}X-Pimentogap-Attempt-Id: ordinary\r\n"
    head += f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(head.encode() + body)
            answer = await reader.read()
        return int(answer.split(b" ", 2)[1]) if answer else "closed"
    except (OSError, TimeoutError) as error:
        return repr(error)
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
