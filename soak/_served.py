"""Plays a shape with one trouble as real processes and measures what is served."""

import asyncio
import json
import random
import subprocess
import sys
import time
from pathlib import Path

from soak._callers import is_ready
from soak._daemons import ROOT, DaemonProcess
from soak._faults import Injector
from soak._platform import ZONES
from soak._served_platform import ShapedPlatform
from soak._served_report import read_results
from soak._served_troubles import TroubleInjector, troubles

CALLER_PROCESSES = 2
PORTS_PER_DAEMON = 4
DAEMON_PORT_OFFSET = 200
# Requests that begin this long before a daemon's disturbance may run into it.
EXCUSE_BEFORE_S = 8.0
CALLERS_TIMEOUT_S = 30.0
LAG_INTERVAL_S = 0.02
SPIN = "while True: pass"


class ServedRun:
    """One play: its `requests`, the lag of the rig, and when the trouble was.

    ``trouble_began_s`` and ``trouble_ended_s`` count from the start of the traffic.
    """

    __slots__ = (
        "requests",
        "lag_ms_by_second",
        "trouble_began_s",
        "trouble_ended_s",
        "ready_s_by_daemon",
        "first_group_s",
        "platform_lag_ms_by_second",
        "injector",
        "_shape_name",
        "_shape",
        "_folder",
        "_seed",
        "_host",
        "_first_port",
        "_begins_at",
        "_platform",
        "_daemons",
        "_processes",
    )

    def __init__(self, shape_name, shape, folder, *, seed, first_port):
        self.requests = []
        self.lag_ms_by_second = {}
        self.platform_lag_ms_by_second = {}
        self.trouble_began_s = self.trouble_ended_s = 0.0
        self.ready_s_by_daemon = {}
        self.first_group_s = None
        self.injector = None
        self._shape_name = shape_name
        self._shape = shape
        self._folder = Path(folder)
        self._seed = seed
        self._host = f"127.0.{first_port // 100 % 200 + 1}.1"
        self._first_port = first_port
        self._begins_at = 0.0
        self._platform = None
        self._daemons = []
        self._processes = []

    async def play(self, names, *, seconds, trouble_at_s, busy, rate):
        """Run the fleet, the callers and the troubles called ``names``.

        :param seconds: how long requests are sent.
        :param trouble_at_s: when the troubles begin, in seconds of the traffic.
        :param busy: how many processes spin beside the fleet.
        :param rate: multiplies the requests a second of the shape.
        """
        watches = []
        try:
            self._platform = ShapedPlatform(
                self._shape, self._host, self._first_port, seed=self._seed
            )
            self._start_daemons()
            self._spin(busy)
            self._begins_at = time.monotonic() + self._shape.start_lead
            outputs = self._start_callers(seconds, rate)
            watches = [
                asyncio.ensure_future(self._watch_start()),
                asyncio.ensure_future(self._watch_lag()),
            ]
            rng = random.Random(self._seed)
            injector = Injector(self._platform, self._daemons, {}, rng)
            self.injector = TroubleInjector(injector, self._platform, self._daemons)
            await self._inject(names, trouble_at_s)
            await self._wait_for_callers(seconds)
        finally:
            for task in watches:
                task.cancel()
            await asyncio.gather(*watches, return_exceptions=True)
            await self._shut_down()
        self.requests, self.lag_ms_by_second = read_results(outputs)
        return injector

    def excused_numbers(self, injector):
        """Return the requests that a killed or paused daemon may have lost."""
        numbers = set()
        for request in self.requests:
            for attempt in request["attempts"]:
                if self._was_lost(injector, attempt):
                    numbers.add(request["number"])
        return numbers

    def _was_lost(self, injector, attempt):
        sent_at = attempt["at_s"] + self._begins_at
        ended_at = attempt["ended_s"] + self._begins_at
        return any(
            span.daemon == attempt["daemon"]
            and span.cause in ("kill", "pause")
            and span.started_at <= ended_at
            and span.ended_at >= sent_at
            for span in injector.spans
        )

    def _start_daemons(self):
        for index in range(self._shape.daemons):
            ip = f"{self._host.rpartition('.')[0]}.{10 + index}"
            first_port = self._first_port + DAEMON_PORT_OFFSET
            daemon = DaemonProcess(
                f"front-{index}",
                ip,
                self._folder,
                zone=ZONES[index % len(ZONES)],
                first_port=first_port + PORTS_PER_DAEMON * index,
                store=self._platform.store_address,
            )
            daemon.start()
            self._daemons.append(daemon)

    def _spin(self, busy):
        for _ in range(busy):
            self._processes.append(subprocess.Popen([sys.executable, "-c", SPIN]))

    def _start_callers(self, seconds, rate):
        outputs = []
        for index in range(CALLER_PROCESSES):
            plan_path = self._folder / f"callers-{index}.plan.json"
            outputs.append(self._folder / f"callers-{index}.jsonl")
            plan = {
                "shape": self._shape_name,
                "seed": self._seed,
                "seconds": seconds,
                "rate": rate,
                "begins_at": self._begins_at,
                "processes": CALLER_PROCESSES,
                "index": index,
                "output": str(outputs[-1]),
                "daemons": [
                    {
                        "name": daemon.name,
                        "zone": ZONES[number % len(ZONES)],
                        "address": daemon.caller_address,
                        "readiness": daemon.readiness_address,
                    }
                    for number, daemon in enumerate(self._daemons)
                ],
            }
            plan_path.write_text(json.dumps(plan), encoding="utf-8")
            command = [sys.executable, "-m", "soak._served_callers", str(plan_path)]
            self._processes.append(subprocess.Popen(command, cwd=ROOT))
        return outputs

    async def _inject(self, names, trouble_at_s):
        by_name = troubles(self._shape)
        faults = sorted(
            (pair for name in names for pair in by_name[name]), key=lambda pair: pair[0]
        )
        self.trouble_began_s = trouble_at_s
        for at_s, fault in faults:
            due = self._begins_at + trouble_at_s + at_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.injector.inject(fault)
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        await self.injector.wait()
        self.trouble_ended_s = max(
            trouble_at_s, time.monotonic() - self._begins_at if faults else trouble_at_s
        )

    async def _wait_for_callers(self, seconds):
        limit = self._begins_at + seconds + CALLERS_TIMEOUT_S
        while any(p.poll() is None for p in self._processes[-CALLER_PROCESSES:]):
            if time.monotonic() > limit:
                raise TimeoutError("the callers did not end")
            await asyncio.sleep(0.1)

    async def _watch_start(self):
        """Record when each daemon is first ready and when the first group is open."""
        began_at = time.monotonic()
        while len(self.ready_s_by_daemon) < len(self._daemons) or (
            self.first_group_s is None
        ):
            now_s = round(time.monotonic() - began_at, 2)
            for daemon in self._daemons:
                if daemon.name not in self.ready_s_by_daemon and await is_ready(daemon):
                    self.ready_s_by_daemon[daemon.name] = now_s
            if self.first_group_s is None and self._platform.open_group_count():
                self.first_group_s = now_s
            await asyncio.sleep(0.1)

    async def _watch_lag(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            late_ms = (time.monotonic() - before - LAG_INTERVAL_S) * 1000
            second = int(before - self._begins_at)
            known_ms = self.platform_lag_ms_by_second.get(second, 0.0)
            self.platform_lag_ms_by_second[second] = max(known_ms, late_ms)

    async def _shut_down(self):
        for process in self._processes:
            process.kill()
            process.wait()
        for daemon in self._daemons:
            daemon.resume()
            await daemon.kill()
        if self._platform is not None:
            await self._platform.close()
