"""Steps for crowds of callers at a real front daemon, on loopback addresses."""

import asyncio
import contextlib
import os
import socket
import sys
import tempfile
import time
from pathlib import Path

import logbook
from behave import given, then, when

from soak._daemons import DaemonProcess
from standins._network import SocketServer
from standins.crowd import (
    Announced,
    Chunked,
    Crowd,
    Deaf,
    DrippingHead,
    Silent,
    Unannounced,
    ask,
)
from standins.emulator import (
    PLAIN_SERVICE,
    ObjectStore,
    PlainReplica,
    Records,
    configuration_document,
)
from standins.emulator._documents import route

# An address of this process alone, so that runs beside each other use the same ports.
IP = f"127.2.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250 + 1}"
FIRST_PORT = 26400
MIB = 2**20
MAX_BODY = 2 * MIB
FAR_OVER = 5 * MAX_BODY
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
START_TIMEOUT_S = 30.0
ANSWER_TIMEOUT_S = 20.0
SAMPLE_S = 0.05
LISTENING = "0A"
MAX_SHOWN_CHARS = 1000
LARGE_ANSWER_BYTES = 1_000_000
HABITS_BY_NAME = {
    "bodies that stop 7 bytes short": Announced(MAX_BODY, MAX_BODY - 7, MAX_BODY),
    "bodies in pieces that stop 7 bytes short": Announced(
        MAX_BODY, MAX_BODY - 7, 16 * 1024
    ),
    "large chunks that stop 7 bytes short": Chunked(64 * 1024, MAX_BODY - 7),
    "chunks of one byte": Chunked(1, MIB),
    "chunks far over the limit": Chunked(64 * 1024, FAR_OVER),
    "one chunk far over the limit": Chunked(2**30, FAR_OVER),
    "bodies announced far over the limit": Announced(2**30, FAR_OVER, 64 * 1024),
    "bodies far over the limit without notice": Unannounced(FAR_OVER),
    "heads that drip": DrippingHead(15_000),
    "nothing": Silent(),
    "requests without reading their answers": Deaf(20),
}


class Usage:
    """What a process has used at most; ``memory`` counts bytes received and not read.

    Memory is in bytes, ``sockets`` are all descriptors that are not files.
    """

    __slots__ = ("memory", "sockets")

    def __init__(self):
        self.memory = 0
        self.sockets = 0

    def sample(self, pid, port):
        """Take the present figures of the process ``pid``, which serves ``port``."""
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            memory = resident_bytes(pid, "VmRSS") + unread_bytes(port)
            self.memory = max(self.memory, memory, resident_bytes(pid, "VmHWM"))
            self.sockets = max(self.sockets, open_sockets(pid))


def resident_bytes(pid, field):
    """Return a field of the process's status, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1]) * 1024
    return 0


def open_sockets(pid):
    """Return how many sockets and pipes a process has open."""
    count = 0
    for entry in os.scandir(f"/proc/{pid}/fd"):
        with contextlib.suppress(FileNotFoundError):
            count += os.readlink(entry.path).startswith(("socket:", "pipe:"))
    return count


def unread_bytes(port):
    """Return what has been received on connections to ``port`` and was not read."""
    ip = int.from_bytes(socket.inet_aton(IP), sys.byteorder)
    local = f"{ip:08X}:{port:04X}"
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1] == local and fields[3] != LISTENING:
            total += int(fields[4].partition(":")[2], 16)
    return total


async def wait_until(serves, daemon):
    """Return whether ``await serves()`` is true before a start takes too long."""
    ends_at = time.monotonic() + START_TIMEOUT_S
    while not await serves():
        if time.monotonic() > ends_at or not daemon.is_running:
            return False
        await asyncio.sleep(SAMPLE_S)
    return True


def last_log(folder, daemon):
    """Return the end of what ``daemon`` has logged."""
    return (folder / f"{daemon.name}.log").read_text()[-MAX_SHOWN_CHARS:]


class CrowdedDaemon:
    """A front daemon as a process, a store and a plain replica on sockets."""

    __slots__ = (
        "daemon",
        "usage",
        "pid",
        "replica",
        "records",
        "_folder",
        "_servers",
        "_sampling",
    )

    def __init__(self, folder, limits):
        """Prepare the processes; ``limits`` are those of the daemon's VM."""
        self.usage = Usage()
        self.pid = None
        self._servers = []
        self._sampling = None
        self._folder = Path(folder)
        self.records = Records()
        store = ObjectStore(seed=1)
        document = configuration_document(
            1,
            routes=[route("look", "/look/", "idempotent", PLAIN_SERVICE, 15000, 150)],
            max_body_bytes=MAX_BODY,
        )
        store.put("config", "main", document)
        replica_address = f"{IP}:{FIRST_PORT + 5}"
        self.replica = PlainReplica(
            id_="p-0",
            service=PLAIN_SERVICE,
            address=replica_address,
            zone="z-a",
            store=store,
            records=self.records,
            seed=1,
        )
        self.replica.work_s = 0.0
        store_address = f"{IP}:{FIRST_PORT + 4}"
        for handler, address in (
            (store, store_address),
            (self.replica, replica_address),
        ):
            server = SocketServer(handler)
            server.listen(address)
            self._servers.append(server)
        self.daemon = DaemonProcess(
            "front-1",
            IP,
            folder,
            zone="z-a",
            first_port=FIRST_PORT,
            store=store_address,
            limits=limits,
        )

    async def __aenter__(self):
        self.daemon.start()
        self.pid = self.daemon.pid

        async def serves():
            address = self.daemon.caller_address
            return await ask(address, limit_s=ANSWER_TIMEOUT_S) == 200

        if not await wait_until(serves, self.daemon):
            await self.__aexit__()
            raise AssertionError(f"no start: {last_log(self._folder, self.daemon)}")
        self._sampling = asyncio.ensure_future(self._sample())
        return self

    async def __aexit__(self, *error):
        if self._sampling is not None:
            self._sampling.cancel()
        await self.daemon.kill()
        for server in self._servers:
            await server.close()

    async def _sample(self):
        while True:
            self.usage.sample(self.pid, self.daemon.caller_address[1])
            await asyncio.sleep(SAMPLE_S)


@given(
    "a front daemon with {memory:d} MB of memory, {descriptors:d} descriptors and"
    " bodies of up to {size:d} MiB"
)
def given_daemon(context, memory, descriptors, size):
    assert size * MIB == MAX_BODY
    context.limits = {"memoryMb": memory, "maxFds": descriptors}


async def play(context, meet):
    """Start the daemon, let ``meet(crowded)`` do its part and keep the figures."""
    with (
        tempfile.TemporaryDirectory() as folder,
        logbook.NullHandler().applicationbound(),
    ):
        async with CrowdedDaemon(folder, context.limits) as crowded:
            await meet(crowded)
            context.usage, context.pid = crowded.usage, crowded.pid
            context.pid_at_end = crowded.daemon.pid


@when("a crowd of {count:d} callers sends {what} and stays")
def when_crowd_sends(context, count, what):
    async def meet(crowded):
        crowd, habit = Crowd(), HABITS_BY_NAME[what]
        if isinstance(habit, Deaf):
            crowded.replica.answer_bytes = LARGE_ANSWER_BYTES
        crowd.open(crowded.daemon.caller_address, habit, count)
        await crowd.settle(lambda: len(crowded.records.runs))
        crowded.replica.answer_bytes = 0
        address = crowded.daemon.caller_address
        context.answers = [await ask(address, body=b"x", limit_s=ANSWER_TIMEOUT_S)]
        crowded.usage.sample(crowded.pid, address[1])
        await crowd.close()

    asyncio.run(play(context, meet))


@when("{count:d} callers send whole bodies of the largest size")
def when_largest(context, count):
    async def meet(crowded):
        address, body = crowded.daemon.caller_address, b"x" * MAX_BODY
        calls = [
            ask(address, body=body, limit_s=ANSWER_TIMEOUT_S) for _ in range(count)
        ]
        context.answers = await asyncio.gather(*calls)

    asyncio.run(play(context, meet))


@then("the daemon is the same process")
def then_same(context):
    assert context.pid_at_end == context.pid, "the daemon exited"


@then("its memory has stayed under the limit")
def then_memory(context):
    used = context.usage.memory / MIB
    assert used < context.limits["memoryMb"], f"{used:.0f} MB"


@then("its descriptors have stayed under the limit")
def then_descriptors(context):
    limit = context.limits["maxFds"] - FILE_DESCRIPTORS
    assert context.usage.sockets < limit, context.usage.sockets


@then("an ordinary request meanwhile is answered with {status:d}")
def then_ordinary(context, status):
    assert context.answers == [status], context.answers


@then("all of them are answered with {status:d}")
def then_all(context, status):
    assert set(context.answers) == {status}, context.answers
