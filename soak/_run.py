"""Plays one seed: starts everything, makes the faults, heals, and judges."""

import asyncio
import random
import time
from pathlib import Path

from soak._callers import Callers
from soak._checks import (
    VersionWatch,
    check_answer,
    check_drains,
    check_groups,
    check_logs,
    check_runs,
    check_stops,
    check_times,
)
from soak._daemons import DaemonProcess
from soak._faults import Injector, schedule
from soak._links import Link
from soak._platform import ZONES, Platform, pair

START_LIMIT_S = 30.0
HEAL_LIMIT_S = 40.0
# The part of the requests that must be served once everything has healed.
SERVED_AT_END = 0.75
LAG_INTERVAL_S = 0.05
# A later wake-up than this means that the machine itself was held up.
LAG_S = 0.25
CALLER_PAUSE_S = 0.15
STORE_LINK_PORT = 190
PORTS_FOR_EACH_DAEMON = 10


class Soak:
    """One deployment of real daemons on loopback, and what was seen of it."""

    __slots__ = (
        "platform",
        "daemons",
        "callers",
        "injector",
        "folder",
        "problems",
        "_links",
        "_random",
        "_tasks",
        "_faults",
    )

    def __init__(self, folder, *, seed, seconds, daemons, first_port):
        rng = self._random = random.Random(seed)
        host = f"127.0.{first_port // 100 % 200 + 1}.1"
        self.folder = Path(folder)
        self.platform = Platform(host, first_port, seed=seed)
        self.problems = []
        self._tasks = []
        callers = []
        self.daemons = []
        # Daemons take each other for one fleet by the store's address alone.
        store_address = (host, first_port + STORE_LINK_PORT)
        store = Link(store_address, pair(self.platform.store_address))
        for index in range(daemons):
            port = first_port + 200 + PORTS_FOR_EACH_DAEMON * index
            ip = host.rpartition(".")[0] + f".{10 + index}"
            daemon = DaemonProcess(
                f"front-{index}",
                ip,
                folder,
                zone=ZONES[index % len(ZONES)],
                first_port=port,
                store=f"{host}:{store_address[1]}",
            )
            self.daemons.append(daemon)
            callers.append(Link((host, port + 5), daemon.caller_address))
        self._links = {
            "callers": callers,
            "store": [store],
            "replica": list(self.platform.links_by_replica.values()),
        }
        names = [daemon.name for daemon in self.daemons]
        by_daemon = dict(zip(names, callers, strict=True))
        self.callers = Callers(self.daemons, by_daemon, random.Random(rng.random()))
        self.injector = Injector(self.platform, self.daemons, self._links, rng)
        models = len(self.platform.models)
        self._faults = schedule(rng, seconds, daemons=daemons, replicas=models)

    async def play(self, *, callers, seconds):
        """Run the soak; ``problems`` then has a line for each broken promise."""
        try:
            await self._start(callers)
            await self._make_faults(seconds)
            await self._heal()
        finally:
            await self._end()
        self._judge()

    async def _start(self, callers):
        await self.platform.open()
        for link in (*self._links["callers"], *self._links["store"]):
            await link.open()
        for daemon in self.daemons:
            daemon.start()
        self._spawn(self.callers.poll_readiness())
        self._spawn(self._watch_lag())
        await self._wait_for(self._stands, START_LIMIT_S, "nothing was ready")
        for _ in range(callers):
            self._spawn(self.callers.call_repeatedly(CALLER_PAUSE_S))
        self._spawn(self._watch_daemons())
        watch = VersionWatch(self.platform, self.callers, self.injector)
        self.problems = watch.problems
        self._spawn(self._watch_versions(watch))

    def _stands(self):
        heads = [m for m in self.platform.models.values() if m.place is not None]
        opened = {m.place.model for m in heads if m.place.state == "open"}
        return len(opened) == 2 and self.callers.all_ready()

    async def _make_faults(self, seconds):
        began_at = time.monotonic()
        for at, fault in self._faults:
            await asyncio.sleep(max(0.0, began_at + at - time.monotonic()))
            self.injector.begin(fault)
        await asyncio.sleep(max(0.0, began_at + seconds - time.monotonic()))

    async def _heal(self):
        """Let every fault end, and see whether everybody is served again."""
        await asyncio.gather(*self.injector.tasks)
        await self._wait_for(self._stands, HEAL_LIMIT_S, "not repaired")
        attempts = await asyncio.gather(
            *(
                self.callers.ask_once(daemon, kind)
                for daemon in self.daemons
                for kind in ("large", "small", "look", "book")
            )
        )
        served = sum(attempt.status == 200 and attempt.whole for attempt in attempts)
        if served < len(attempts) * SERVED_AT_END:
            self.problems.append(f"{served} of {len(attempts)} served at the end")

    async def _end(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for task in list(self.injector.tasks):
            task.cancel()
        for daemon in self.daemons:
            daemon.resume()
            await daemon.kill()
        for link in (*self._links["callers"], *self._links["store"]):
            await link.close()
        await self.platform.close()

    def _judge(self):
        attempts, records = self.callers.attempts, self.platform.records
        self.problems += [p for a in attempts if (p := check_answer(a))]
        self.problems += check_runs(attempts, records)
        self.problems += check_groups(records)
        self.problems += check_times(attempts, self.injector)
        self.problems += check_stops(attempts, records, self.injector)
        self.problems += check_drains(self.platform, self.injector, self.daemons)
        self.problems += check_logs(self.folder)

    async def _watch_daemons(self):
        """Note every process that ended though nobody had ended it."""
        while True:
            await asyncio.sleep(0.2)
            for daemon in self.daemons:
                now = time.monotonic()
                if not daemon.running and not self.injector.disturbed(daemon, now, now):
                    self.problems.append(f"{daemon.name} ended: {daemon.exit_code}")
                    daemon.start()

    async def _watch_versions(self, watch):
        while True:
            daemon = self._random.choice(self.daemons)
            if daemon.running:
                await watch.ask(daemon)
            await asyncio.sleep(0.1)

    async def _watch_lag(self):
        """Note when this process itself did not run, which harms everybody."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            if time.monotonic() - before > LAG_S:
                span = self.injector.span("the machine was held up")
                span.began_at = before
                span.end()

    async def _wait_for(self, holds, limit_s, problem):
        deadline = time.monotonic() + limit_s
        while not holds():
            if time.monotonic() > deadline:
                self.problems.append(problem)
                return
            await asyncio.sleep(0.1)

    def _spawn(self, coroutine):
        self._tasks.append(asyncio.ensure_future(coroutine))
