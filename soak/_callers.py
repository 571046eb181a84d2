"""Callers with persistent connections, and the results of their requests."""

import asyncio
import time
from dataclasses import dataclass

from standins.emulator._documents import HOST, KEY

CONNECT_TIMEOUT_S = 1.0
CHUNK_END = b"\r\n"
STRAY_WAIT_S = 0.001
MAX_STRAY_BYTES = 200
LEAVING_RANGE_S = (0.005, 0.15)


@dataclass(frozen=True, slots=True)
class Habits:
    """What callers do besides waiting for their answers; shares are from 0 to 1.

    ``repeat_share`` of the requests that may run again are sent again with the same
    id, to the same daemon or to another one. ``leave_share`` of the requests are given
    up early, by closing the connection.
    """

    repeat_share: float = 0.0
    leave_share: float = 0.0


STAYING = Habits()


class Attempt:
    """One request of a caller and its response; times are of the monotonic clock.

    ``incarnation`` tells which process of ``daemon`` was running when the request
    was made; ``is_complete`` tells whether the whole response was received,
    ``has_left`` whether the caller gave it up early. ``stray`` is what had arrived
    on the connection before the request was sent.
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
        "has_left",
        "stray",
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
        self.has_left = False
        self.stray = b""

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

    async def send(self, attempt, method, headers, deadline_s, *, leaves_after_s=None):
        """Send ``attempt`` and record its response or its error in it.

        :param leaves_after_s: gives the response up after this time.
        :return: whether the connection can be used for another request.
        """
        attempt.stray = await self._read_stray()
        try:
            async with asyncio.timeout(leaves_after_s or deadline_s):
                self._writer.write(_head(attempt, method, headers, deadline_s))
                await self._writer.drain()
                return await self._read(attempt)
        except (OSError, EOFError, ValueError) as error:
            attempt.error = repr(error)
            return False
        except TimeoutError:
            attempt.has_left = leaves_after_s is not None
            attempt.error = "no complete answer by the deadline"
            return False
        finally:
            attempt.ended_at = time.monotonic()

    async def _read_stray(self):
        """Return what has arrived though no request waits for an answer."""
        try:
            async with asyncio.timeout(STRAY_WAIT_S):
                return await self._reader.read(MAX_STRAY_BYTES)
        except (OSError, TimeoutError):
            return b""

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

    __slots__ = (
        "attempts",
        "_daemons",
        "_links_by_daemon",
        "_random",
        "_ready",
        "_habits",
    )

    def __init__(self, daemons, links_by_daemon, rng, habits):
        self.attempts = []
        self._habits = habits
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
                if await is_ready(daemon):
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
        try:
            while True:
                if connection is None:
                    connection = await self._connect()
                if connection is not None:
                    connection = await self._call(connection)
                await asyncio.sleep(self._random.uniform(0.2, 1.8) * pause_s)
        finally:
            if connection is not None:
                connection.close()

    async def request_once(self, daemon, kind, path=None, *, id_=None):
        """Send one request to ``daemon`` on a new connection; return its `Attempt`.

        :param id_: the id of the request that is sent again.
        """
        address = self._links_by_daemon[daemon.name].address
        attempt, method, headers, deadline_s = self._prepare(
            daemon, kind, path, id_=id_
        )
        try:
            connection = await Connection.open(daemon, address)
        except (OSError, TimeoutError) as error:
            attempt.ended_at = time.monotonic()
            attempt.error = repr(error)
            return attempt
        try:
            await connection.send(attempt, method, headers, deadline_s)
        finally:
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
        is_usable = await connection.send(
            attempt, method, headers, deadline_s, leaves_after_s=self._leaving_s()
        )
        if kind != "book" and self._occurs(self._habits.repeat_share):
            if not is_usable or self._occurs(0.5):
                daemon = self._random.choice(self._daemons)
                await self.request_once(daemon, kind, attempt.path, id_=attempt.id)
            else:
                again, *rest = self._prepare(connection.daemon, kind, id_=attempt.id)
                is_usable = await connection.send(again, *rest)
        if is_usable:
            return connection
        connection.close()
        return None

    def _leaving_s(self):
        """Return the seconds after which the caller leaves, ``None`` if it stays."""
        if self._occurs(self._habits.leave_share):
            return self._random.uniform(*LEAVING_RANGE_S)
        return None

    def _occurs(self, share):
        return share > 0 and self._random.random() < share

    def _prepare(self, daemon, kind, path=None, *, id_=None):
        """Record and return a new `Attempt`, with its method, headers and deadline."""
        id_ = id_ or f"{self._random.getrandbits(64):016x}"
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


async def is_ready(daemon):
    """Return whether ``daemon`` answers its readiness check with 200."""
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(*daemon.readiness_address)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: d\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line
