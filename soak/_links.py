"""A TCP relay on loopback that delays, holds, silences and resets connections."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

CHUNK_BYTES = 65536
# Closes with a reset instead of an orderly end.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Clear:
    """Everything passes at once."""


@dataclass(frozen=True, slots=True)
class Delayed:
    """Every piece waits for ``seconds`` first."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Cut:
    """Bytes are held until the link heals, in one direction or in both."""

    towards_target: bool
    from_target: bool


class Pipe:
    """One connection through a link; once ``silent``, nothing passes any more."""

    __slots__ = ("client", "target", "silent")

    def __init__(self, client, target):
        self.client = client
        self.target = target
        self.silent = False

    def reset(self):
        """End both sides with a reset."""
        for writer in (self.client, self.target):
            raw = writer.get_extra_info("socket")
            with contextlib.suppress(OSError, AttributeError):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()


class Link:
    """Relays connections from ``address`` to ``target``, both ``(host, port)``."""

    __slots__ = (
        "address",
        "target",
        "_condition",
        "_changed",
        "_pipes",
        "_server",
        "_tasks",
    )

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self._condition = Clear()
        self._changed = asyncio.Event()
        self._pipes = set()
        self._server = None
        self._tasks = set()

    async def open(self):
        """Begin to accept connections."""
        self._server = await asyncio.start_server(self._accept, *self.address)

    async def close(self):
        """Stop accepting, and reset what is open."""
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set(self, condition):
        """Make `Clear`, `Delayed` or `Cut` hold from now on."""
        self._condition = condition
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self):
        """Reset every open connection."""
        for pipe in list(self._pipes):
            pipe.reset()

    def silence(self):
        """Let nothing pass on any open connection again; new ones work."""
        for pipe in self._pipes:
            pipe.silent = True

    def _accept(self, reader, writer):
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pipe = Pipe(writer, target_writer)
        self._pipes.add(pipe)
        pumps = [
            asyncio.ensure_future(self._pump(pipe, reader, target_writer, True)),
            asyncio.ensure_future(self._pump(pipe, target_reader, writer, False)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._pipes.discard(pipe)
            for pump in pumps:
                pump.cancel()
            target_writer.close()
            writer.close()

    async def _pump(self, pipe, reader, writer, towards_target):
        """Pass bytes on until either side ends; an end waits like any bytes."""
        with contextlib.suppress(OSError):
            while True:
                chunk = await reader.read(CHUNK_BYTES)
                await self._wait(pipe, towards_target)
                if not chunk:
                    return
                writer.write(chunk)
                await writer.drain()

    async def _wait(self, pipe, towards_target):
        if pipe.silent:
            await asyncio.Event().wait()
        while True:
            match self._condition:
                case Delayed(seconds):
                    await asyncio.sleep(seconds)
                    return
                case Cut(towards, back) if towards if towards_target else back:
                    await self._changed.wait()
                case _:
                    return
