"""Callers with persistent connections, and the results of their requests."""

import asyncio
import time

from standins.emulator._documents import HOST, KEY

CONNECT_TIMEOUT_S = 1.0
CHUNK_END = b"\r\n"


class Attempt:
    """One request of a caller and its response; times are of the monotonic clock.

    ``incarnation`` tells which process of ``daemon`` was running when the request
    was made; ``is_complete`` tells whether the whole response was received.
    """

    __slots__ = (
        "id",
        "kind",
        "daemon",
        "incarnation",
        "path",
        "sent_at",
        "ended_at",
        "status",
        "headers",
        "body",
        "is_complete",
        "error",
    )

    def __init__(self, id_, kind, daemon, path):
        self.id = id_
        self.kind = kind
        self.daemon = daemon
        self.incarnation = daemon.start_count
        self.path = path
        self.sent_at = time.monotonic()
        self.ended_at = None
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = None

    def __repr__(self):
        took_s = (self.ended_at or time.monotonic()) - self.sent_at
        return (
            f"{self.id} {self.kind} {self.path} at "
            f"{self.daemon.name}/{self.incarnation}: status {self.status}, "
            f"complete {self.is_complete}, {took_s:.2f} s, {self.error}"
        )


class Connection:
    """A persistent connection of a caller to a daemon, for one request at a time."""

    __slots__ = ("daemon", "incarnation", "_reader", "_writer")

    def __init__(self, daemon, reader, writer):
        self.daemon = daemon
        self.incarnation = daemon.start_count
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, daemon, address):
        """Connect to ``daemon`` at ``address``.

        :raises OSError, TimeoutError: if the connection fails or takes too long.
        """
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
        return cls(daemon, reader, writer)

    def close(self):
        """Close the connection without waiting for the peer."""
        self._writer.close()

    async def send(self, attempt, method, headers, deadline_s):
        """Send ``attempt`` and record its response or its error in it.

        :return: whether the connection can be used for another request.
        """
        try:
            async with asyncio.timeout(deadline_s):
                self._writer.write(_head(attempt, method, headers, deadline_s))
                await self._writer.drain()
                return await self._read(attempt)
        except (OSError, EOFError, ValueError) as error:
            attempt.error = repr(error)
            return False
        except TimeoutError:
            attempt.error = "no complete answer by the deadline"
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
        attempt.is_complete = True
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
    """Callers that send requests through the links and record each as an `Attempt`."""

    __slots__ = ("attempts", "_daemons", "_links_by_daemon", "_random", "_ready")

    def __init__(self, daemons, links_by_daemon, rng):
        self.attempts = []
        self._daemons = daemons
        self._links_by_daemon = links_by_daemon
        self._random = rng
        self._ready = set()

    async def poll_readiness(self):
        """Check each daemon's readiness every second, as the platform does.

        A daemon gets no new connections after two failed checks in a row.
        """
        failures_by_name = {daemon.name: 0 for daemon in self._daemons}
        while True:
            for daemon in self._daemons:
                if await _is_ready(daemon):
                    failures_by_name[daemon.name] = 0
                    self._ready.add(daemon.name)
                else:
                    failures_by_name[daemon.name] += 1
                    if failures_by_name[daemon.name] >= 2:
                        self._ready.discard(daemon.name)
            await asyncio.sleep(1.0)

    def all_ready(self):
        """Return whether every daemon is ready for new connections."""
        return len(self._ready) == len(self._daemons)

    async def call_repeatedly(self, pause_s):
        """Send requests until cancelled, on one connection for as long as it lasts."""
        connection = None
        while True:
            if connection is None:
                connection = await self._connect()
            if connection is not None:
                connection = await self._call(connection)
            await asyncio.sleep(self._random.uniform(0.2, 1.8) * pause_s)

    async def request_once(self, daemon, kind, path=None):
        """Send one request to ``daemon`` on a new connection; return its `Attempt`."""
        address = self._links_by_daemon[daemon.name].address
        attempt, method, headers, deadline_s = self._prepare(daemon, kind, path)
        try:
            connection = await Connection.open(daemon, address)
        except (OSError, TimeoutError) as error:
            attempt.ended_at = time.monotonic()
            attempt.error = repr(error)
            return attempt
        await connection.send(attempt, method, headers, deadline_s)
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
        attempt, method, headers, deadline_s = self._prepare(connection.daemon, kind)
        if await connection.send(attempt, method, headers, deadline_s):
            return connection
        connection.close()
        return None

    def _prepare(self, daemon, kind, path=None):
        """Record and return a new `Attempt`, with its method, headers and deadline."""
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
