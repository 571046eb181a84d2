"""Steps for servers that are cold and bear few requests."""

import asyncio
import itertools
import math
from bisect import bisect_right
from collections import Counter

from behave import given, then, when

from features.steps.evacuation_steps import send_requests
from standins.emulator import EmulatedFleet

BOUNDS = {"evacuateMs": 5000, "coldOverrun": 1.5, "coldSlack": 5}
COLD_S = 3.0
# Daemons learn of a server that is cold without notice within this time.
NOTICE_S = 0.7


@given(
    "a platform whose cold servers bear {rate:g} requests a second,"
    " with {daemons:d} daemons"
)
def given_platform(context, rate, daemons):
    context.cold_bound = 1.5 * rate + 5 if rate > 0 else math.inf
    service = {"coldStartS": COLD_S, "coldPerS": rate}

    async def start():
        fleet = EmulatedFleet(bounds=BOUNDS, distinct_seeds=True)
        await fleet.start(
            daemons=daemons, domains=6, domain_size=8, model_service=service
        )
        return fleet

    context.simulation.fleet = context.simulation.run(start())
    context.requests, context.slow_requests = [], []


@when(
    "a zone is evacuated, and taken back cold while {what}"
    " and {rate:d} streams arrive each second"
)
def when_taken_back(context, what, rate):
    fleet = context.simulation.fleet
    _send(context, rate, 1.0)
    counts = Counter(head.zone for head in fleet.open_group_heads("large"))
    zone = counts.most_common(1)[0][0]
    context.simulation.call_in_loop(lambda: fleet.store.put("evacuations", zone, {}))
    _send(context, rate, 4.0)
    TROUBLES_BY_NAME[what](context)
    _make_cold(context, [item for item in _heads(context) if item.zone == zone], COLD_S)
    context.simulation.call_in_loop(lambda: fleet.store.remove("evacuations", zone))
    _send(context, rate, COLD_S + 1.0)
    context.simulation.wait(4.0)


@when(
    "half of the heads become cold, all at once,"
    " while {rate:d} streams arrive each second"
)
def when_half_cold(context, rate):
    _send(context, rate, 1.0)
    _make_cold(context, _heads(context)[::2], COLD_S)
    _send(context, rate, COLD_S + 1.0)
    context.simulation.wait(4.0)


@when(
    "all heads become cold for {seconds:g} seconds"
    " while {rate:d} streams arrive each second"
)
def when_all_cold(context, seconds, rate):
    _make_cold(context, _heads(context), seconds)
    context.simulation.wait(NOTICE_S)
    _send(context, rate, seconds - NOTICE_S)
    context.simulation.wait(4.0)


@when("a head is cold for {seconds:g} seconds")
def when_long_cold(context, seconds):
    _make_cold(context, _heads(context)[:1], seconds)
    context.simulation.wait(seconds)


def _heads(context):
    heads = context.simulation.fleet.open_group_heads("large")
    return sorted(heads, key=lambda head: head.id)


def _make_cold(context, heads, seconds):
    assert heads
    context.cold_heads = heads
    for head in heads:
        context.simulation.call_in_loop(
            lambda head=head: head.become_cold(seconds, context.cold_bound)
        )
    context.cold_at = context.simulation.call_in_loop(
        lambda: asyncio.get_running_loop().time()
    )
    context.cold_s = seconds


def _send(context, rate, seconds):
    send_requests(context, rate, seconds, calls=[("POST", "/draft/x")])


def _kill_half(context):
    fleet = context.simulation.fleet
    for name in sorted(fleet.kernels_by_name)[::2]:
        context.simulation.run(fleet.kill_daemon(name))


def _unlist_half(context):
    """Let each daemon know only the first half of the daemons."""
    fleet = context.simulation.fleet

    def unlist():
        for kernel in fleet.kernels_by_name.values():
            daemons = kernel.get("daemons")
            names = sorted(daemons.addresses_by_id)
            known = names[: len(names) // 2]
            daemons.count = len(known)
            daemons.addresses_by_id = {
                name: daemons.addresses_by_id[name] for name in known
            }

    context.simulation.call_in_loop(unlist)


def _cut_calls(context):
    fleet = context.simulation.fleet
    addresses = [item.get("calls").address for item in fleet.kernels_by_name.values()]
    fleet.cut_calls |= set(itertools.permutations(addresses, 2))


def _deafen_some(context):
    """Cut a tenth of the daemons off from the store and from all others."""
    fleet = context.simulation.fleet
    names = sorted(fleet.kernels_by_name)
    deaf = names[:: max(1, len(names) // 7)]
    fleet.store.faults.silent_sources.update(deaf)
    for name in names:
        address = fleet.kernels_by_name[name].get("calls").address
        for other in deaf:
            other_address = fleet.kernels_by_name[other].get("calls").address
            fleet.cut_calls |= {(address, other_address), (other_address, address)}


def _silence_store(context):
    """Let the store fall silent just after it has taken the zone back."""
    store = context.simulation.fleet.store

    async def fall_silent():
        await asyncio.sleep(0.2)
        store.faults.silent = True

    context.simulation.start_task(fall_silent)


def _restart_some(context):
    fleet = context.simulation.fleet

    async def restart():
        for name in sorted(fleet.kernels_by_name)[::10]:
            await asyncio.sleep(0.2)
            await fleet.stop_daemon(name)
            await fleet.start_daemon(name, first_start=False)

    context.simulation.start_task(restart)


def _start_more(context):
    fleet = context.simulation.fleet

    async def start():
        for index in range(6):
            await asyncio.sleep(0.3)
            await fleet.start_daemon(f"more-{index}", first_start=False)

    context.simulation.start_task(start)


TROUBLES_BY_NAME = {
    "nothing else happens": lambda context: None,
    "half of the daemons are killed": _kill_half,
    "half of the daemons are not listed": _unlist_half,
    "daemons do not reach each other": _cut_calls,
    "a tenth of the daemons hears nothing": _deafen_some,
    "the store is silent": _silence_store,
    "daemons are started again": _restart_some,
    "more daemons are started": _start_more,
}


def _cold_arrivals(context, head):
    return sorted(
        arrival.arrived_at
        for arrival in context.simulation.fleet.records.arrivals
        if arrival.replica == head.id
        and context.cold_at <= arrival.arrived_at < context.cold_at + context.cold_s
    )


@then("no cold server crashed, and none got more than {bound:g} requests in any second")
def then_bounded(context, bound):
    most = {}
    for head in context.cold_heads:
        times = _cold_arrivals(context, head)
        counts = [bisect_right(times, at + 1.0) - i for i, at in enumerate(times)]
        most[head.id] = max(counts, default=0)
    crashes = context.simulation.fleet.records.cold_crashes
    assert not crashes and max(most.values()) <= bound, (most, crashes[:3])


@then("each cold server got at least {share:g} times {rate:g} requests a second")
def then_used(context, share, rate):
    span_s = context.cold_s - NOTICE_S
    counts = {
        head.id: len(_cold_arrivals(context, head)) for head in context.cold_heads
    }
    assert min(counts.values()) >= share * rate * span_s, (counts, span_s)
