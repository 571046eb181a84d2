"""Runs one seed: starts the fleet, injects faults, awaits recovery, and checks."""

import asyncio
import random
import time
from pathlib import Path

from soak._answers import check_sent_answers
from soak._callers import STAYING, Callers
from soak._checks import (
    SETTLE_S,
    VersionWatch,
    check_answer,
    check_groups,
    check_logs,
    check_runs,
    check_stops,
    check_times,
)
from soak._daemons import ROOT, DaemonProcess
from soak._faults import Injector, schedule
from soak._leaving import check_leaving, schedule_leaves
from soak._links import Link
from soak._owners import owner_of
from soak._platform import ZONES, Platform, host_port
from soak._spans import Scope

START_TIMEOUT_S = 30.0
RECOVERY_TIMEOUT_S = 40.0
# The share of requests that must be served after recovery.
MIN_SERVED_SHARE = 0.75
LAG_INTERVAL_S = 0.05
# A wake-up later than this counts as a stall of the whole machine.
LAG_THRESHOLD_S = 0.25
CALLER_PAUSE_S = 0.15
# Plain replicas that stutter also fail this share of their requests.
STUTTERING_ERROR_SHARE = 0.3
STORE_LINK_PORT_OFFSET = 190
PORTS_PER_DAEMON = 10


class Soak:
    """One deployment of daemons on loopback, its faults, and the ``problems`` found."""

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
        "_stutter_span",
    )

    def __init__(
        self,
        folder,
        *,
        seed,
        seconds,
        daemons,
        first_port,
        stuttering=None,
        habits=STAYING,
        code=ROOT,
    ):
        """Prepare the soak of ``seed``.

        :param stuttering: the options of the replicas' `Stutter`; by default, none
            stutters.
        :param habits: the `Habits` of the callers.
        :param code: the folder of the checkout that the daemons run.
        """
        rng = self._random = random.Random(seed)
        host = f"127.0.{first_port // 100 % 200 + 1}.1"
        self.folder = Path(folder)
        self.platform = Platform(host, first_port, seed=seed, stuttering=stuttering)
        self.problems = []
        self._tasks = []
        caller_links = []
        self.daemons = []
        # Only daemons with the same store address form a fleet, so they share a link.
        store_address = (host, first_port + STORE_LINK_PORT_OFFSET)
        store_link = Link(
            store_address,
            host_port(self.platform.store_address),
            find_owner=self._owner_of,
        )
        for index in range(daemons):
            port = first_port + 200 + PORTS_PER_DAEMON * index
            ip = host.rpartition(".")[0] + f".{10 + index}"
            daemon = DaemonProcess(
                f"front-{index}",
                ip,
                folder,
                zone=ZONES[index % len(ZONES)],
                first_port=port,
                store=f"{host}:{store_address[1]}",
                code=code,
            )
            self.daemons.append(daemon)
            caller_links.append(Link((host, port + 5), daemon.caller_address))
        self._links = {
            "callers": caller_links,
            "store": [store_link],
            "replica": list(self.platform.links_by_replica_id.values()),
        }
        names = [daemon.name for daemon in self.daemons]
        links_by_name = dict(zip(names, caller_links, strict=True))
        self.callers = Callers(
            self.daemons, links_by_name, random.Random(rng.random()), habits
        )
        self.injector = Injector(self.platform, self.daemons, self._links, rng)
        self._stutter_span = None
        if stuttering is not None:
            self._stutter_span = self.injector.begin_span(
                "stuttering replicas", scope=Scope.REPLICA
            )
            self.platform.set_error_share(STUTTERING_ERROR_SHARE)
        replica_count = len(self.platform.model_replicas)
        faults = schedule(rng, seconds, daemons=daemons, replicas=replica_count)
        leaves = schedule_leaves(
            seed,
            seconds,
            plain=self.platform.plain_replicas,
            models=self.platform.model_replicas,
            daemons=daemons,
        )
        self._faults = sorted((*faults, *leaves), key=lambda item: item[0])

    def _owner_of(self, writer):
        """Return the name of the daemon that opened a connection to the store."""
        names_by_pid = {daemon.pid: daemon.name for daemon in self.daemons}
        names_by_pid.pop(None, None)
        return names_by_pid.get(owner_of(writer, names_by_pid))

    async def play(self, *, callers, seconds):
        """Run the soak; afterwards ``problems`` has a line for each failed check."""
        try:
            await self._start(callers)
            await self._inject_faults(seconds)
            await self._check_recovery()
        finally:
            await self._shut_down()
        self._run_checks()

    async def _start(self, callers):
        await self.platform.open()
        for link in (*self._links["callers"], *self._links["store"]):
            await link.open()
        for daemon in self.daemons:
            daemon.start()
        self._spawn(self.callers.poll_readiness())
        self._spawn(self._watch_lag())
        await self._wait_for(self._is_ready, START_TIMEOUT_S, "fleet did not start")
        for _ in range(callers):
            self._spawn(self.callers.call_repeatedly(CALLER_PAUSE_S))
        self._spawn(self._watch_daemons())
        watch = VersionWatch(self.platform, self.callers, self.injector)
        self.problems = watch.problems
        self._spawn(self._watch_versions(watch))

    def _is_ready(self):
        members = [
            m for m in self.platform.model_replicas.values() if m.place is not None
        ]
        open_models = {m.place.model for m in members if m.place.state == "open"}
        return len(open_models) == 2 and self.callers.all_ready()

    async def _inject_faults(self, seconds):
        started_at = time.monotonic()
        for at, fault in self._faults:
            await asyncio.sleep(max(0.0, started_at + at - time.monotonic()))
            self.injector.inject(fault)
        await asyncio.sleep(max(0.0, started_at + seconds - time.monotonic()))

    async def _check_recovery(self):
        """Wait until every fault has ended and check that daemons serve again."""
        await asyncio.gather(*self.injector.tasks)
        if self._stutter_span is not None:
            self.platform.end_stutter()
            self._stutter_span.end()
        # The callers' last requests, which end with the soak, are to follow no fault.
        await asyncio.sleep(SETTLE_S)
        await self._wait_for(
            self._is_ready, RECOVERY_TIMEOUT_S, "fleet did not recover"
        )
        attempts = await asyncio.gather(
            *(
                self.callers.request_once(daemon, kind)
                for daemon in self.daemons
                for kind in ("large", "small", "look", "book")
            )
        )
        served = sum(
            attempt.status == 200 and attempt.is_complete for attempt in attempts
        )
        if served < len(attempts) * MIN_SERVED_SHARE:
            self.problems.append(f"{served} of {len(attempts)} served after recovery")

    async def _shut_down(self):
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

    def _run_checks(self):
        attempts, records = self.callers.attempts, self.platform.records
        self.problems += [p for a in attempts if (p := check_answer(a))]
        if self.platform.answers:
            self.problems += check_sent_answers(attempts, self.platform.answers)
        self.problems += check_runs(attempts, records)
        self.problems += check_groups(records)
        self.problems += check_times(attempts, self.injector)
        self.problems += check_stops(
            attempts, records, self.injector, self.platform.leavings
        )
        self.problems += check_leaving(
            self.platform, attempts, self.injector, self.daemons
        )
        self.problems += check_logs(self.folder)

    async def _watch_daemons(self):
        """Record and restart daemons that exited without a fault."""
        while True:
            await asyncio.sleep(0.2)
            for daemon in self.daemons:
                now = time.monotonic()
                if not daemon.is_running and not self.injector.was_disturbed(
                    daemon, now, now
                ):
                    self.problems.append(f"{daemon.name} exited: {daemon.exit_code}")
                    daemon.start()

    async def _watch_versions(self, watch):
        while True:
            daemon = self._random.choice(self.daemons)
            if daemon.is_running:
                await watch.probe(daemon)
            await asyncio.sleep(0.1)

    async def _watch_lag(self):
        """Record stalls of this process as faults of all daemons."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            if time.monotonic() - before > LAG_THRESHOLD_S:
                span = self.injector.begin_span("stall of the machine")
                span.started_at = before
                span.end()

    async def _wait_for(self, condition, limit_s, problem):
        deadline = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > deadline:
                self.problems.append(problem)
                return
            await asyncio.sleep(0.1)

    def _spawn(self, coroutine):
        self._tasks.append(asyncio.ensure_future(coroutine))
