"""A TCP relay on loopback that delays, blocks, silences and resets connections."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

CHUNK_BYTES = 65536
# SO_LINGER with a timeout of zero: closing the socket sends RST instead of FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Clear:
    """A link condition: data is forwarded at once."""


@dataclass(frozen=True, slots=True)
class Delayed:
    """A link condition: each chunk is forwarded after ``delay_s`` seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class Blocked:
    """A link condition: data is held until it ends, in each direction that is true."""

    towards_target: bool
    from_target: bool


class RelayedConnection:
    """One connection through a link; if ``is_silent``, no more data is forwarded.

    ``owner`` names who opened it, if the link knows.
    """

    __slots__ = ("client", "target", "owner", "is_silent")

    def __init__(self, client, target, owner):
        self.client = client
        self.target = target
        self.owner = owner
        self.is_silent = False

    def reset(self):
        """Reset the connections to the client and to the target."""
        for writer in (self.client, self.target):
            raw = writer.get_extra_info("socket")
            with contextlib.suppress(OSError, AttributeError):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()


class Link:
    """Relays connections from ``address`` to ``target``, both ``(host, port)``.

    ``find_owner`` returns the name of who opened a connection, by its writer.
    """

    __slots__ = (
        "address",
        "target",
        "_find_owner",
        "_condition",
        "_conditions_by_owner",
        "_condition_changed",
        "_connections",
        "_server",
        "_tasks",
    )

    def __init__(self, address, target, *, find_owner=lambda writer: None):
        self.address = address
        self.target = target
        self._find_owner = find_owner
        self._condition = Clear()
        self._conditions_by_owner = {}
        self._condition_changed = asyncio.Event()
        self._connections = set()
        self._server = None
        self._tasks = set()

    async def open(self):
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._accept, *self.address)

    async def close(self):
        """Stop accepting connections and reset the open ones."""
        self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_condition(self, condition, *, owner=None):
        """Apply `Clear`, `Delayed` or `Blocked` to open and later connections.

        :param owner: apply it to the connections of this owner alone.
        """
        if owner is None:
            self._condition = condition
        else:
            self._conditions_by_owner[owner] = condition
        self._condition_changed.set()
        self._condition_changed = asyncio.Event()

    def reset(self):
        """Reset every open connection."""
        for connection in list(self._connections):
            connection.reset()

    def silence(self):
        """Stop forwarding on the open connections for good; new ones work."""
        for connection in self._connections:
            connection.is_silent = True

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
        owner = self._find_owner(writer)
        connection = RelayedConnection(writer, target_writer, owner)
        self._connections.add(connection)
        pumps = [
            asyncio.ensure_future(self._pump(connection, reader, target_writer, True)),
            asyncio.ensure_future(self._pump(connection, target_reader, writer, False)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._connections.discard(connection)
            for pump in pumps:
                pump.cancel()
            target_writer.close()
            writer.close()

    async def _pump(self, connection, reader, writer, towards_target):
        """Forward data until either side closes; a close is delayed like data.

        A reset of one side resets the other.
        """
        try:
            while True:
                chunk = await reader.read(CHUNK_BYTES)
                await self._wait_to_forward(connection, towards_target)
                if not chunk:
                    return
                writer.write(chunk)
                await writer.drain()
        except ConnectionResetError:
            connection.reset()
        except OSError:
            return

    async def _wait_to_forward(self, connection, towards_target):
        if connection.is_silent:
            await asyncio.Event().wait()
        while self._blocks(connection, towards_target):
            await self._condition_changed.wait()
        match self._condition:
            case Delayed(delay_s):
                await asyncio.sleep(delay_s)

    def _blocks(self, connection, towards_target):
        own = self._conditions_by_owner.get(connection.owner, Clear())
        for condition in (self._condition, own):
            match condition:
                case Blocked(blocks_towards, blocks_from) if (
                    blocks_towards if towards_target else blocks_from
                ):
                    return True
        return False
