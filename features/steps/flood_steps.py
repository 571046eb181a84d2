"""Steps for backend servers that flood a real front daemon, on loopback addresses."""

import asyncio
import contextlib
import os
import tempfile
from pathlib import Path

import logbook
from behave import given, then, when

from features.steps.crowd_steps import (
    MIB,
    SAMPLE_S,
    last_log,
    resident_bytes,
    wait_until,
)
from soak._daemons import DaemonProcess
from standins._network import SocketServer
from standins.emulator import (
    PLAIN_SERVICE,
    ObjectStore,
    PlainReplica,
    Records,
    configuration_document,
)
from standins.emulator._documents import HOST, KEY, route
from standins.flood import FloodProcess

IP = f"127.4.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}"
FIRST_PORT = 26500
STORE = f"{IP}:{FIRST_PORT + 4}"
FLOODING = f"{IP}:{FIRST_PORT + 5}"
CALM = f"{IP}:{FIRST_PORT + 6}"
CALM_SERVICE = "calm"
CALM_WORK_S = 1.5
CALM_ANSWER_BYTES = 40_000
ROUTE_TIMEOUT_MS = 3000
# Longer than two attempts at the flooding server.
CALLER_LIMIT_S = 8.0
STREAM_KINDS = ("an event", "comments", "events without ids")
# The answer is whole; what follows belongs to no request.
WHOLE_KINDS = ("bytes after a whole answer",)


class FloodedDaemon:
    """A front daemon as a process, a store and a sound replica in this one."""

    __slots__ = ("daemon", "memory", "pid", "replica", "_folder", "_servers", "_task")

    def __init__(self, folder, limits):
        self.memory = 0
        self.pid = None
        self._folder = Path(folder)
        self._task = None
        store = ObjectStore(seed=1)
        store.put("config", "main", flood_configuration())
        store.put("servers", "p-flood", flooding_entry())
        self.replica = PlainReplica(
            id_="p-calm",
            service=CALM_SERVICE,
            address=CALM,
            zone="z-a",
            store=store,
            records=Records(),
            seed=1,
        )
        self.replica.work_s = CALM_WORK_S
        self.replica.answer_bytes = CALM_ANSWER_BYTES
        self._servers = []
        for handler, address in ((store, STORE), (self.replica, CALM)):
            server = SocketServer(handler)
            server.listen(address)
            self._servers.append(server)
        self.daemon = DaemonProcess(
            "front-1",
            IP,
            folder,
            zone="z-a",
            first_port=FIRST_PORT,
            store=STORE,
            limits=limits,
        )

    async def __aenter__(self):
        self.daemon.start()
        self.pid = self.daemon.pid

        async def serves():
            return (await self.ask("/calm/x"))[0] == 200

        if not await wait_until(serves, self.daemon):
            await self.__aexit__()
            raise AssertionError(f"no start: {last_log(self._folder, self.daemon)}")
        self._task = asyncio.ensure_future(self._sample())
        return self

    async def __aexit__(self, *error):
        if self._task is not None:
            self._task.cancel()
        await self.daemon.kill()
        for server in self._servers:
            await server.close()

    async def _sample(self):
        while True:
            with contextlib.suppress(FileNotFoundError, ProcessLookupError):
                peak = resident_bytes(self.pid, "VmHWM")
                self.memory = max(self.memory, peak)
            await asyncio.sleep(SAMPLE_S)

    async def ask(self, path, *, reads=True):
        """Send one request; return its status and whether its answer was whole.

        :param reads: whether the answer is read; if not, the connection stays open
            for the time that a caller waits.
        """
        host, port = self.daemon.caller_address
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Authorization: Bearer {KEY}",
            f"X-Pimentogap-Attempt-Id: a-{os.urandom(8).hex()}",
            "X-Pimentogap-Deadline-Ms: 6000",
            "Content-Length: 0",
        ]
        writer = None
        try:
            async with asyncio.timeout(CALLER_LIMIT_S):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write("\r\n".join([*lines, "", ""]).encode())
                if reads:
                    return await read_answer(reader)
                writer.transport.pause_reading()
                await asyncio.sleep(CALLER_LIMIT_S)
        except TimeoutError:
            return "open", False
        except (OSError, asyncio.IncompleteReadError):
            return "closed", False
        finally:
            if writer is not None:
                writer.transport.abort()


async def read_answer(reader):
    """Read one answer and discard its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    status = int(head.split(b" ", 2)[1])
    fields = head.decode("latin-1").lower()
    if "content-length: " in fields:
        left = int(fields.partition("content-length: ")[2].partition("\r\n")[0])
        while left:
            part = await reader.read(min(left, MIB))
            if not part:
                return status, False
            left -= len(part)
        return status, True
    while (line := await reader.readline()).strip():
        size = int(line, 16)
        await reader.readexactly(size + 2)
        if not size:
            return status, True
    return status, False


def flood_configuration():
    routes = [
        route("look", "/look/", "idempotent", PLAIN_SERVICE, ROUTE_TIMEOUT_MS, 150),
        route("calm", "/calm/", "idempotent", CALM_SERVICE, 6000, 2000),
        {
            **route("events", "/events/", "streaming", PLAIN_SERVICE, 3000, 500),
            "sticky": False,
        },
    ]
    services = [
        {"name": PLAIN_SERVICE, "maxConns": 1000},
        {"name": CALM_SERVICE, "maxConns": 100},
    ]
    return configuration_document(1, routes=routes, services=services)


def flooding_entry():
    return {
        "service": PLAIN_SERVICE,
        "addr": FLOODING,
        "zone": "z-a",
        "version": "v1",
        "slots": 300,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        "born": 1,
    }


@given(
    "a front daemon with {memory:d} MB of memory, and a server with 300 places that"
    " floods"
)
def given_flooded(context, memory):
    context.limits = {"memoryMb": memory, "maxFds": 4200}


@when(
    "{count:d} callers that {do} are sent {kind} without end, while {others:d} others"
    " have requests under way"
)
def when_flooded(context, count, do, kind, others):
    context.kind = kind
    path = "/events/x" if kind in STREAM_KINDS else "/look/x"

    async def meet(flooded):
        calm = [asyncio.ensure_future(flooded.ask("/calm/x")) for _ in range(others)]
        callers = [
            asyncio.ensure_future(flooded.ask(path, reads=do == "read"))
            for _ in range(count)
        ]
        await asyncio.sleep(CALM_WORK_S)
        calm += [asyncio.ensure_future(flooded.ask("/calm/x")) for _ in range(others)]
        context.flood_answers = await asyncio.gather(*callers)
        context.calm_answers = await asyncio.gather(*calm)
        context.ordinary = await flooded.ask("/calm/x")
        context.pid_at_end = flooded.daemon.pid

    async def play():
        async with FloodedDaemon(folder, context.limits) as flooded:
            context.pid = flooded.pid
            await meet(flooded)
        context.memory = flooded.memory

    with (
        tempfile.TemporaryDirectory() as folder,
        logbook.NullHandler().applicationbound(),
        FloodProcess(FLOODING, kind),
    ):
        asyncio.run(play())


@then("the flooded daemon is the same process")
def then_same(context):
    assert context.pid is not None and context.pid_at_end == context.pid


@then("the memory of the flooded daemon has stayed under the limit")
def then_memory(context):
    used = context.memory / MIB
    assert used < context.limits["memoryMb"], f"{used:.0f} MB"


@then("all requests of the others were answered whole")
def then_others(context):
    assert set(context.calm_answers) == {(200, True)}, context.calm_answers


@then("an ordinary request afterwards is answered with {status:d}")
def then_ordinary(context, status):
    assert context.ordinary == (status, True), context.ordinary


@then("callers got a whole answer from the flood only if there was one")
def then_none_whole(context):
    whole = [item for item in context.flood_answers if item == (200, True)]
    assert bool(whole) == (context.kind in WHOLE_KINDS), len(whole)
