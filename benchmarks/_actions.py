"""Measures what it costs to claim idempotency keys, in a shared log and without.

Also compares the latency of lookups through a daemon and straight to a server.
"""

import asyncio
import hashlib
import json
import random

import logbook

from benchmarks._figures import figure, percentile
from fuzz._actions import setup_ticket
from pimentogap.actions import ActionCall, Replied
from pimentogap.store import Put, Written
from pimentogap.types import HttpRequest
from standins.local_fleet import LocalFleet
from standins.paused import run_paused

DAEMONS = 8
RATES_PER_S = (1, 50, 300)
MEASUREMENT_S = 20.0
STORE_DELAY_S = 0.005
SERVICE_DELAY_S = 0.010
LOOKUPS = 400
SERVER_ADDRESS = "10.0.2.1:1"


class ObjectPerKey:
    """Baseline: create an object for the key, run, write the answer into the object."""

    __slots__ = ("_daemon",)

    def __init__(self, daemon):
        self._daemon = daemon

    async def run(self, call):
        """Run ``call`` if its key is new, else return the outcome of the write."""
        store = self._daemon.get("store")
        put = Put("keys", call.key, {"state": "claimed"})
        outcome = await store.write(put, retry_for_s=2.0)
        if not isinstance(outcome, Written):
            return outcome
        answer = await self._daemon.get("actions")._sender.send(call)
        value = {"state": "answered", "answer": answer.answer.body}
        put = Put("keys", call.key, value, outcome.version)
        await store.write(put, retry_for_s=2.0)
        return Replied(answer.answer, False)


class Measurement:
    """Results of one variant at one rate.

    ``duplicate_runs`` counts surplus runs of a key, ``wrong_answers`` answers to
    another key, and ``false_not_run`` keys that ran though no caller has the answer.
    """

    __slots__ = (
        "latencies_s",
        "writes_per_action",
        "duplicate_runs",
        "wrong_answers",
        "false_not_run",
    )


def run(seed):
    """Run the benchmark."""
    logbook.NullHandler().push_application()
    print(
        f"{DAEMONS} daemons, the store answers in {STORE_DELAY_S * 1e3:g} ms, the "
        f"service in {SERVICE_DELAY_S * 1e3:g} ms; times of the paused clock"
    )
    print(
        f"{'way':22}{'actions/s':>10}{'added p50 ms':>14}{'added p95 ms':>14}"
        f"{'writes/action':>15}"
    )
    results = {}
    for variant in ("shared log", "object for each key"):
        for rate in RATES_PER_S:
            measured = run_paused(_measure(variant, rate, seed))
            results[variant, rate] = measured
            added = [latency - SERVICE_DELAY_S for latency in measured.latencies_s]
            print(
                f"{variant:22}{rate:10d}{1e3 * percentile(added, 0.5):14.1f}"
                f"{1e3 * percentile(added, 0.95):14.1f}"
                f"{measured.writes_per_action:15.3f}"
            )
    shared_log = [results["shared log", rate] for rate in RATES_PER_S]
    figure("doubled", sum(m.duplicate_runs for m in shared_log), "count")
    figure("false_not_run", sum(m.false_not_run for m in shared_log), "count")
    figure("wrong_answers", sum(m.wrong_answers for m in shared_log), "count")
    added_p50_s = (
        percentile(results["shared log", 50].latencies_s, 0.5) - SERVICE_DELAY_S
    )
    figure("added_action_p50_ms", 1e3 * added_p50_s, "ms")
    figure("store_writes_per_action", shared_log[-1].writes_per_action, "writes")
    figure("added_lookup_p95_ratio", run_paused(_measure_lookups(seed)), "ratio")


async def _start_fleet(seed):
    fleet = LocalFleet(daemons=DAEMONS, vms_per_domain=0, seed=seed)
    await fleet.start()
    await asyncio.sleep(3)
    configuration = fleet.daemons_by_index[0].get("configuration")
    await configuration.submit(setup_ticket())
    await asyncio.sleep(1)
    fleet.platform.faults.delay_s = STORE_DELAY_S
    fleet.plain_state.delay_s = SERVICE_DELAY_S
    return fleet


async def _measure(variant, rate, seed):
    fleet = await _start_fleet(seed)
    rng = random.Random(seed)
    runners_by_index = {
        index: daemon.get("actions")
        if variant == "shared log"
        else ObjectPerKey(daemon)
        for index, daemon in fleet.daemons_by_index.items()
    }
    for number in range(DAEMONS):
        await runners_by_index[number].run(_action_call(f"warm-{number}"))
    writes_before, runs_before = _count_writes(fleet), len(fleet.plain_state.runs)
    tasks = []
    count = int(rate * MEASUREMENT_S)
    for number in range(count):
        await asyncio.sleep(rng.expovariate(rate))
        runner = runners_by_index[rng.randrange(DAEMONS)]
        tasks.append(
            asyncio.ensure_future(_run_timed(runner, _action_call(f"k-{number}")))
        )
    results = await asyncio.gather(*tasks)
    await asyncio.sleep(1)
    measured = Measurement()
    measured.latencies_s = [latency for latency, _, _ in results]
    measured.writes_per_action = (_count_writes(fleet) - writes_before) / count
    keys = [run.key for run in fleet.plain_state.runs[runs_before:]]
    measured.duplicate_runs = len(keys) - len(set(keys))
    replied = {c.key for _, c, outcome in results if isinstance(outcome, Replied)}
    measured.false_not_run = len(set(keys) - replied)
    measured.wrong_answers = sum(
        json.loads(outcome.answer.body)["key"] != call.key
        for _, call, outcome in results
        if isinstance(outcome, Replied)
    )
    await fleet.close()
    return measured


async def _run_timed(runner, call):
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    outcome = await runner.run(call)
    return loop.time() - started_at, call, outcome


def _count_writes(fleet):
    return sum(
        version.collection.startswith(("claims", "keys"))
        for version in fleet.platform.versions_written
    )


def _action_call(key):
    body = json.dumps({"slot": key})
    return ActionCall(
        workspace="w",
        service="book",
        key=key,
        path="/actions/confirm",
        method="POST",
        content_type="application/json",
        body=body,
        body_digest=hashlib.sha256(body.encode()).hexdigest(),
        deadline_in_s=10.0,
    )


async def _measure_lookups(seed):
    """Return the p95 latency of lookups through a daemon over that of direct ones."""
    fleet = await _start_fleet(seed)
    rng = random.Random(seed)
    daemon = fleet.daemons_by_index[0]
    service = daemon.get("configuration").current.get("plain_service", "book")
    loop = asyncio.get_running_loop()
    direct, through = [], []
    for number in range(LOOKUPS):
        for server in fleet.plain_servers:
            server.slow_s = 0.2 if rng.random() < 0.02 else rng.uniform(0.004, 0.006)
        request = HttpRequest("GET", f"/slots/{number}")
        started_at = loop.time()
        await fleet.network.client("direct").fetch(SERVER_ADDRESS, request, timeout_s=5)
        direct.append(loop.time() - started_at)
        started_at = loop.time()
        trace = daemon.get("traces").start_trace(
            str(number), workspace="w", service="book"
        )
        await daemon.get("lookups").look_up(service, request, timeout_s=5, trace=trace)
        through.append(loop.time() - started_at)
    await fleet.close()
    print(
        f"lookups p95: direct {1e3 * percentile(direct, 0.95):.2f} ms, "
        f"through {1e3 * percentile(through, 0.95):.2f} ms; "
        f"p99: {1e3 * percentile(direct, 0.99):.2f} ms, "
        f"{1e3 * percentile(through, 0.99):.2f} ms"
    )
    return percentile(through, 0.95) / percentile(direct, 0.95)
