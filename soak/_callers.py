"""Callers that keep their connections, and what each of their attempts got."""

import asyncio
import time

from standins.emulator._documents import HOST, KEY

CONNECT_TIMEOUT_S = 1.0
CHUNK_END = b"\r\n"


class Attempt:
    """One request of a caller; times are of the host's steady clock."""

    __slots__ = (
        "id",
        "kind",
        "daemon",
        "life",
        "path",
        "sent_at",
        "ended_at",
        "status",
        "headers",
        "body",
        "whole",
        "error",
    )

    def __init__(self, id_, kind, daemon, path):
        self.id = id_
        self.kind = kind
        self.daemon = daemon
        self.life = daemon.lives
        self.path = path
        self.sent_at = time.monotonic()
        self.ended_at = None
        self.status = None
        self.headers = {}
        self.body = b""
        self.whole = False
        self.error = None

    def __repr__(self):
        took_s = (self.ended_at or time.monotonic()) - self.sent_at
        return (
            f"{self.id} {self.kind} {self.path} at {self.daemon.name}/{self.life}: "
            f"status {self.status}, whole {self.whole}, {took_s:.2f} s, {self.error}"
        )


class Connection:
    """One connection of a caller to a daemon, used for one request after another."""

    __slots__ = ("daemon", "life", "_reader", "_writer")

    def __init__(self, daemon, reader, writer):
        self.daemon = daemon
        self.life = daemon.lives
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, daemon, address):
        """Connect to ``daemon`` at ``address``.

        :raises OSError, TimeoutError: if there is no connection.
        """
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
        return cls(daemon, reader, writer)

    def close(self):
        """Close the connection."""
        self._writer.close()

    async def ask(self, attempt, method, headers, deadline_s):
        """Send ``attempt`` and note its answer; tell whether the connection lives."""
        try:
            async with asyncio.timeout(deadline_s):
                self._writer.write(_head(attempt, method, headers, deadline_s))
                await self._writer.drain()
                return await self._read(attempt)
        except (OSError, EOFError, ValueError) as error:
            attempt.error = repr(error)
            return False
        except TimeoutError:
            attempt.error = "no whole answer in time"
            return False
        finally:
            attempt.ended_at = time.monotonic()

    async def _read(self, attempt):
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *fields = head.strip().split("\r\n")
        pairs = (field.partition(":") for field in fields)
        attempt.headers = {name.lower(): value.strip() for name, _, value in pairs}
        attempt.status = int(line.split()[1])
        if "chunked" in attempt.headers.get("transfer-encoding", ""):
            await self._read_chunks(attempt)
        else:
            size = int(attempt.headers["content-length"])
            attempt.body = await self._reader.readexactly(size)
        attempt.whole = True
        return attempt.headers.get("connection", "").lower() != "close"

    async def _read_chunks(self, attempt):
        while True:
            size = int(await self._reader.readuntil(CHUNK_END), 16)
            attempt.body += await self._reader.readexactly(size)
            await self._reader.readexactly(len(CHUNK_END))
            if not size:
                return


def _head(attempt, method, headers, deadline_s):
    fields = {
        "Host": HOST,
        "X-Pimentogap-Attempt-Id": attempt.id,
        "X-Pimentogap-Deadline-Ms": str(int(deadline_s * 1000)),
        "Authorization": f"Bearer {KEY}",
        "Content-Length": "0",
        **headers,
    }
    lines = [f"{method} {attempt.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Callers:
    """Tasks that ask all the time, through the links, and keep every attempt."""

    __slots__ = ("attempts", "_daemons", "_links_by_daemon", "_random", "_ready")

    def __init__(self, daemons, links_by_daemon, rng):
        self.attempts = []
        self._daemons = daemons
        self._links_by_daemon = links_by_daemon
        self._random = rng
        self._ready = set()

    async def poll_readiness(self):
        """Ask each daemon every second whether it takes new connections."""
        misses_by_name = {daemon.name: 0 for daemon in self._daemons}
        while True:
            for daemon in self._daemons:
                if await _is_ready(daemon):
                    misses_by_name[daemon.name] = 0
                    self._ready.add(daemon.name)
                else:
                    misses_by_name[daemon.name] += 1
                    if misses_by_name[daemon.name] >= 2:
                        self._ready.discard(daemon.name)
            await asyncio.sleep(1.0)

    def all_ready(self):
        """Tell whether every daemon takes new connections."""
        return len(self._ready) == len(self._daemons)

    async def call_repeatedly(self, pause_s):
        """Be one caller, who keeps a connection until it ends."""
        connection = None
        while True:
            if connection is None:
                connection = await self._connect()
            if connection is not None:
                connection = await self._call(connection)
            await asyncio.sleep(self._random.uniform(0.2, 1.8) * pause_s)

    async def ask_once(self, daemon, kind, path=None):
        """Ask ``daemon`` on a connection of its own and return the `Attempt`."""
        address = self._links_by_daemon[daemon.name].address
        attempt, method, headers, deadline_s = self._make(daemon, kind, path)
        try:
            connection = await Connection.open(daemon, address)
        except (OSError, TimeoutError) as error:
            attempt.ended_at = time.monotonic()
            attempt.error = repr(error)
            return attempt
        await connection.ask(attempt, method, headers, deadline_s)
        connection.close()
        return attempt

    async def _connect(self):
        ready = [daemon for daemon in self._daemons if daemon.name in self._ready]
        daemon = self._random.choice(ready or self._daemons)
        try:
            return await Connection.open(
                daemon, self._links_by_daemon[daemon.name].address
            )
        except (OSError, TimeoutError):
            return None

    async def _call(self, connection):
        kind = self._random.choices(("large", "small", "look", "book"), (3, 5, 2, 3))[0]
        attempt, method, headers, deadline_s = self._make(connection.daemon, kind)
        if await connection.ask(attempt, method, headers, deadline_s):
            return connection
        connection.close()
        return None

    def _make(self, daemon, kind, path=None):
        """Return an `Attempt` with its method, headers and deadline."""
        id_ = f"{self._random.getrandbits(64):016x}"
        headers = {}
        method, deadline_s = "GET", 2.5
        match kind:
            case "large" | "small":
                method, deadline_s, path = "POST", 6.0, path or "/draft/x"
                headers["X-Pimentogap-Model"] = kind
                headers["X-Pimentogap-Token-Count"] = "700,135"
            case "book":
                method, path = "POST", path or "/book/x"
            case _:
                path = path or "/look/x"
        attempt = Attempt(id_, kind, daemon, path)
        self.attempts.append(attempt)
        return attempt, method, headers, deadline_s


async def _is_ready(daemon):
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(*daemon.readiness_address)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: d\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line
