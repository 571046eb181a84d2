"""Measures serving under open-loop load and faults, with baselines for placement."""

import asyncio
import random

import logbook
from hdrh.histogram import HdrHistogram

from benchmarks._figures import figure
from pimentogap.errors import Refused
from pimentogap.routing import Forward, Refuse
from pimentogap.streams import CompletionRequest, Finished
from pimentogap.tickets import Accepted, parse_ticket
from pimentogap.types import RefusalCode, not_run
from standins._engines import EngineTiming
from standins._tokens import answer
from standins.local_fleet import LocalFleet
from standins.paused import run_paused

DAEMONS = 6
GROUPS = 8
SLOTS = 8
STEP_S = 0.025
TOKENS = 8
CONVERSATIONS = 48
CONVERSATION_CHARACTERS = (1500, 6000)
TIMING = EngineTiming(
    step_s=STEP_S,
    max_running=SLOTS,
    cached_blocks=600,
    prefill_characters_per_s=40000.0,
)
CAPACITY_PER_S = GROUPS * SLOTS / (TOKENS * STEP_S + 0.09)
LOAD_S = 12.0
WARM_UP_S = 20.0
DEADLINE_S = 2.0
LONG_DEADLINE_S = 30.0
LOAD_FACTORS = (0.5, 1.0, 1.5, 2.0, 3.0)
SMALL_WORKSPACES = 4
MAX_LATENCY_US = 60_000_000


class RoundRobin:
    """Baseline: each daemon chooses the replicas in turn."""

    __slots__ = ("_next",)

    def __init__(self, first_index):
        self._next = first_index

    def decide(self, replicas, *, blocks, now, excluded=(), daemons_per_server=1.0):
        """Return the next permitted replica."""
        usable = _usable(replicas, now, excluded)
        if not usable:
            return _refuse()
        self._next += 1
        return Forward(usable[self._next % len(usable)], ())


class LeastLoad:
    """Baseline: the replica with the least reported load."""

    __slots__ = ()

    def decide(self, replicas, *, blocks, now, excluded=(), daemons_per_server=1.0):
        """Return the permitted replica that last reported the least load."""
        usable = _usable(replicas, now, excluded)
        if not usable:
            return _refuse()
        return Forward(min(usable, key=lambda r: r.running + r.waiting), ())


class TwoChoices:
    """Baseline: the less loaded of two replicas chosen at random."""

    __slots__ = ("_random",)

    def __init__(self, seed):
        self._random = random.Random(seed)

    def decide(self, replicas, *, blocks, now, excluded=(), daemons_per_server=1.0):
        """Return the less loaded of two permitted replicas."""
        usable = _usable(replicas, now, excluded)
        if not usable:
            return _refuse()
        chosen = self._random.sample(usable, min(2, len(usable)))
        return Forward(min(chosen, key=_known_load), ())


class Sink:
    """Receives one streamed answer and records when its tokens arrive.

    :param began_at: the loop's time at which the request was made, in seconds.
    """

    __slots__ = (
        "began_at",
        "first_s",
        "gaps_s",
        "text",
        "done",
        "_last_at",
        "workspace",
    )

    def __init__(self, began_at, workspace):
        self.began_at = began_at
        self.workspace = workspace
        self.first_s = None
        self.gaps_s = []
        self.text = ""
        self.done = False
        self._last_at = None

    async def write_events(self, data):
        """Record the arrival of ``data`` and append its text."""
        now = asyncio.get_running_loop().time()
        if self._last_at is None:
            self.first_s = now - self.began_at
        elif b"finish_reason" not in data:
            self.gaps_s.append(now - self._last_at)
        self._last_at = now
        for line in data.decode().splitlines():
            if line == "data: [DONE]":
                self.done = True
            elif line.startswith("data: "):
                self.text += line.partition('"text": "')[2].partition('"')[0]


class Load:
    """Generates open-loop load on a fleet and counts the outcomes.

    ``good`` counts complete answers, ``broken`` broken or wrong ones, and
    ``counts_by_code`` refusals and broken answers by `RefusalCode`. ``first_token_us``
    and ``token_gaps_us`` are histograms, in microseconds, of the time to the first
    token and between tokens.
    """

    __slots__ = (
        "fleet",
        "refused",
        "counts_by_code",
        "broken",
        "good",
        "first_token_us",
        "token_gaps_us",
    )
    __slots__ += ("good_by_workspace", "_random", "_number", "_prompts")

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.refused = 0
        self.counts_by_code = {}
        self.broken = 0
        self.good = 0
        self.good_by_workspace = {}
        self.first_token_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.token_gaps_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self._random = random.Random(seed)
        self._number = 0
        self._prompts = [
            f"conversation {i} "
            + chr(97 + i % 26) * self._random.randint(*CONVERSATION_CHARACTERS)
            for i in range(CONVERSATIONS)
        ]

    async def run(self, rates_by_workspace, seconds, *, deadline_s, tokens=TOKENS):
        """Send requests at random times, then wait until all of them have ended.

        :param rates_by_workspace: mean arrivals, in requests a second.
        :param seconds: for how long requests arrive.
        :param deadline_s: the deadline of each request after its arrival.
        """
        arrivals = [
            asyncio.ensure_future(
                self._send_at_rate(name, rate, seconds, deadline_s, tokens)
            )
            for name, rate in rates_by_workspace.items()
        ]
        await asyncio.gather(*arrivals)

    async def _send_at_rate(self, workspace, rate, seconds, deadline_s, tokens):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        tasks = []
        while loop.time() < deadline:
            await asyncio.sleep(self._random.expovariate(rate))
            request = self._send_request(workspace, deadline_s, tokens)
            tasks.append(asyncio.ensure_future(request))
        await asyncio.gather(*tasks)

    async def _send_request(self, workspace_name, deadline_s, tokens):
        daemons = [d for d in self.fleet.daemons_by_index.values() if d.index >= 0]
        daemon = self._random.choice(daemons)
        configuration = daemon.get("configuration").current
        workspace = configuration.get("workspace", workspace_name)
        self._number += 1
        prompt = f"{self._random.choice(self._prompts)} question {self._number}"
        now = asyncio.get_running_loop().time()
        sink = Sink(now, workspace_name)
        request = CompletionRequest(
            id=str(self._number),
            service="m",
            path="/v1/completions",
            body={"prompt": prompt, "max_tokens": tokens},
            priority=workspace.priority,
            deadline=now + deadline_s,
        )
        trace = daemon.get("traces").start_trace(
            request.id, workspace=workspace_name, service="m"
        )
        limits = daemon.get("limits")
        try:
            place = limits.place(
                workspace, "m", deadline=request.deadline, priority=request.priority
            )
            async with place:
                outcome = await daemon.get("streams").relay(request, sink, trace)
        except Refused as error:
            self.refused += 1
            code = error.refusal.code
            self.counts_by_code[code] = self.counts_by_code.get(code, 0) + 1
            return
        if not isinstance(outcome, Finished) or sink.text != answer(prompt, tokens):
            self.broken += 1
            if not isinstance(outcome, Finished):
                code = outcome.refusal.code
                self.counts_by_code[code] = self.counts_by_code.get(code, 0) + 1
            return
        self._record_answer(sink)

    def _record_answer(self, sink):
        self.good += 1
        by_workspace = self.good_by_workspace
        by_workspace[sink.workspace] = by_workspace.get(sink.workspace, 0) + 1
        self.first_token_us.record_value(max(1, int(sink.first_s * 1e6)))
        for gap_s in sink.gaps_s:
            self.token_gaps_us.record_value(max(1, int(gap_s * 1e6)))


def run(seed):
    """Run the benchmark."""
    logbook.NullHandler().push_application()
    print(
        f"{DAEMONS} daemons, {GROUPS} groups with {SLOTS} places, about "
        f"{CAPACITY_PER_S:.0f} requests/s; times of the paused clock"
    )
    first_p95_s = _compare_policies(seed)
    _measure_overload(seed)
    figure("fairness_jain", run_paused(_measure_fairness(seed)), "index")
    broken, late_arrivals = run_paused(_measure_faults(seed))
    figure("broken_streams", broken, "count")
    figure("late_new_work", late_arrivals, "count")
    figure(
        "first_token_p95_ratio_to_two_choices",
        first_p95_s["ours"] / first_p95_s["two"],
        "ratio",
    )


def _compare_policies(seed):
    print(
        f"{'policy':14}{'first p50 ms':>14}{'first p95 ms':>14}{'between p95 ms':>16}"
    )
    first_p95_s = {}
    for name in ("round robin", "least load", "two", "ours"):
        load = run_paused(_measure_policy(name, seed))
        first_p95_s[name] = load.first_token_us.get_value_at_percentile(95) / 1e6
        gap_p95_ms = load.token_gaps_us.get_value_at_percentile(95) / 1e3
        print(
            f"{name:14}{load.first_token_us.get_value_at_percentile(50) / 1e3:14.1f}"
            f"{1e3 * first_p95_s[name]:14.1f}{gap_p95_ms:16.1f}"
        )
        if name == "ours":
            figure("first_token_p95_s", first_p95_s[name], "s")
            figure("between_tokens_p95_ms", gap_p95_ms, "ms")
    return first_p95_s


async def _measure_policy(name, seed):
    fleet = await _start_fleet(seed)
    for index, daemon in fleet.daemons_by_index.items():
        policies = {
            "round robin": RoundRobin(index),
            "least load": LeastLoad(),
            "two": TwoChoices(seed + index),
        }
        if name in policies:
            daemon.get("routing").policy = policies[name]
    load = Load(fleet, seed)
    rates = {"w-0": 0.7 * CAPACITY_PER_S}
    await load.run(rates, LOAD_S, deadline_s=LONG_DEADLINE_S)
    load = Load(fleet, seed + 1)
    await load.run(rates, LOAD_S, deadline_s=LONG_DEADLINE_S)
    await fleet.close()
    return load


def _measure_overload(seed):
    print(f"{'offered':>8}{'goodput/s':>11}{'refused/s':>11}{'broken/s':>10}")
    goodputs = []
    for load_factor in LOAD_FACTORS:
        load = run_paused(_measure_offered(load_factor, seed))
        goodputs.append(load.good / LOAD_S)
        print(
            f"{load_factor:8.1f}{goodputs[-1]:11.1f}{load.refused / LOAD_S:11.1f}"
            f"{load.broken / LOAD_S:10.1f}"
        )
    figure("goodput_ratio_at_3x", goodputs[-1] / max(goodputs), "ratio")


async def _measure_offered(load_factor, seed):
    fleet = await _start_fleet(seed)
    rates = {"w-0": load_factor * CAPACITY_PER_S}
    warm_up = Load(fleet, seed)
    await warm_up.run(rates, LOAD_S / 2, deadline_s=DEADLINE_S)
    load = Load(fleet, seed + 1)
    await load.run(rates, LOAD_S, deadline_s=DEADLINE_S)
    await fleet.close()
    return load


async def _measure_fairness(seed):
    """Return Jain's fairness index of completed requests over max-min fair shares."""
    fleet = await _start_fleet(seed)
    small_rate_per_s = 0.15 * CAPACITY_PER_S
    rates = {f"w-{i}": small_rate_per_s for i in range(1, SMALL_WORKSPACES + 1)}
    rates["w-0"] = 2.0 * CAPACITY_PER_S
    await Load(fleet, seed).run(rates, LOAD_S / 2, deadline_s=DEADLINE_S)
    load = Load(fleet, seed + 1)
    await load.run(rates, LOAD_S, deadline_s=DEADLINE_S)
    await fleet.close()
    total = sum(load.good_by_workspace.values())
    shares = []
    for name in rates:
        fair_share = small_rate_per_s * LOAD_S
        if name == "w-0":
            fair_share = max(1.0, total - SMALL_WORKSPACES * small_rate_per_s * LOAD_S)
        shares.append(load.good_by_workspace.get(name, 0) / fair_share)
    print(
        "completed requests over the fair share, by workspace: "
        + ", ".join(
            f"{name} {share:.2f}" for name, share in zip(rates, shares, strict=True)
        )
    )
    return sum(shares) ** 2 / (len(shares) * sum(share**2 for share in shares))


async def _measure_faults(seed):
    """Kill and drain VMs and replace daemons under load.

    Return how many streams broke and how many requests reached the leaving VM more
    than 3 s after it began to leave.
    """
    fleet = await _start_fleet(seed, spares=True)
    load = Load(fleet, seed)
    rates = {"w-0": 0.2 * CAPACITY_PER_S}
    load_task = asyncio.ensure_future(
        load.run(rates, 3 * LOAD_S, deadline_s=LONG_DEADLINE_S, tokens=40)
    )
    await asyncio.sleep(4)
    fleet.engines.kill("z-a-f0-0")
    await asyncio.sleep(6)
    leaving_at = asyncio.get_running_loop().time()
    fleet.engines.leave("z-b-f0-0")
    await asyncio.sleep(8)
    for index in range(2):
        daemon = fleet.daemons_by_index.pop(index)
        daemon.get("peers").announce_stopping()
        while daemon.get("streams").open_count:
            await asyncio.sleep(0.1)
        await daemon.kernel.stop()
        await asyncio.sleep(1)
        await fleet.start_daemon(index)
        fleet.daemons_by_index[index].index = -1
    await load_task
    late_arrivals = sum(
        s.event == "arrive" and s.vm == "z-b-f0-0" and s.at_s > leaving_at + 3
        for s in fleet.engines.request_events
    )
    print(
        f"faults under load: {load.good} complete, {load.broken} broken, "
        f"{load.refused} refused {load.counts_by_code}"
    )
    await fleet.close()
    return load.broken, late_arrivals


async def _start_fleet(seed, *, spares=False):
    fleet = LocalFleet(
        daemons=DAEMONS,
        zones=("z-a", "z-b"),
        seed=seed,
        vms_per_domain=GROUPS // 2 + (2 if spares else 0),
        timing=TIMING,
    )
    await fleet.start()
    await asyncio.sleep(3)
    configuration = fleet.daemons_by_index[0].get("configuration")
    outcome = await configuration.submit(_ticket())
    assert isinstance(outcome, Accepted), outcome
    await asyncio.sleep(WARM_UP_S)
    return fleet


def _ticket():
    service = {
        "kind": "model_service",
        "name": "m",
        "model": "m",
        "vms_per_group": 1,
        "downtime_weight": 1.0,
    }
    groups = [
        {"kind": "model_group", "name": f"g-{i}", "service": "m", "region": "r"}
        for i in range(GROUPS)
    ]
    workspaces = [
        {"kind": "workspace", "name": f"w-{i}", "services": ["m"]}
        for i in range(SMALL_WORKSPACES + 1)
    ]
    return parse_ticket(
        {
            "submission": "s",
            "against": 0,
            "author": "a",
            "put": [service, *groups, *workspaces],
        }
    )


def _usable(replicas, now, excluded):
    return [r for r in replicas if r.is_permitted(now) and r.server.id not in excluded]


def _known_load(replica):
    return replica.running + replica.waiting + replica.sent_since_report


def _refuse():
    return Refuse(not_run(RefusalCode.NO_CAPACITY, "none", retry_after_s=1.0))
