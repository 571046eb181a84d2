"""Steps for copies of collections that are passed on only while they are fresh."""

import asyncio

from behave import given, then, when

from pimentogap.permits._documents import LimitList, encode_list as encode_limits
from pimentogap.permits._known import BackendLimit
from pimentogap.quarantine import QuarantinedPart, QuarantineList
from pimentogap.quarantine._documents import encode_list as encode_quarantine
from pimentogap.relay._freshness import KnownAt
from pimentogap.relay._service import CHANGES_CALL
from standins.emulator import EmulatedFleet, configuration_document

ZONES = ("z-a", "z-b", "z-c")
# The loss meets watches that have waited for different times.
ROUNDS_BY_DAEMONS = {6: 6, 60: 4, 195: 2}
PAUSE_S = 6.0
PHASE_S = 0.31
# Above the terms of all leaders of these scenarios.
FIRST_TERM = 10**9


@given("a platform with {count:d} daemons in 3 availability zones")
def given_platform_in_zones(context, count):
    async def start():
        fleet = EmulatedFleet()
        await fleet.start(daemons=0, domains=1, domain_size=8)
        for index in range(count):
            zone = ZONES[index % len(ZONES)]
            await fleet.start_daemon(f"front-{index}", zone=zone)
        return fleet

    context.simulation.fleet = context.simulation.run(start())
    context.rounds = ROUNDS_BY_DAEMONS.get(count, 1)


@when("{what} of {whose} are lost, and then everything changes in the store")
def when_lost(context, what, whose):
    """Keep in ``context.late`` the seconds after which each daemon had each change."""
    context.late = {}
    for index in range(context.rounds):
        context.simulation.wait(PAUSE_S + index * PHASE_S)
        context.simulation.run(_lose_and_change(context, what, whose, index))


async def _lose_and_change(context, what, whose, index):
    fleet = context.simulation.fleet
    lost = _chosen(fleet, whose)
    # The watch of the configuration is answered just before, and asked anew.
    fleet.store.put("config", "main", configuration_document(2 * index + 2))
    await asyncio.sleep(0.1)
    undo = _lose(fleet, what, lost)
    await asyncio.sleep(0.15)
    _change_everything(fleet.store, index)
    await _measure(context, set(fleet.kernels_by_name) - lost, index)
    undo()


def _lose(fleet, what, names):
    """Begin the loss of ``what`` and return the function that ends it."""
    match what:
        case "calls":
            lost, items = fleet.store.faults.deaf_sources, names
        case "answers":
            lost, items = fleet.store.faults.mute_sources, names
        case "answers to other daemons":
            kernels = fleet.kernels_by_name
            lost = fleet.frozen_addresses
            items = {kernels[name].get("calls").address for name in names}
        case _:
            raise ValueError(what)
    lost.update(items)
    return lost.clear


def _chosen(fleet, whose):
    """Return the names of the daemons; half of them always includes the leader."""
    (leader,) = fleet.leader_names()
    others = sorted(set(fleet.kernels_by_name) - {leader})
    match whose:
        case "the leader":
            return {leader}
        case "a relay":
            kernels = fleet.kernels_by_name
            relays = [n for n in others if kernels[n].get("daemons").is_relay()]
            return {relays[0]}
        case "half of the daemons":
            return {leader, *others[: len(others) // 2]}
    raise ValueError(whose)


def _change_everything(store, index):
    store.put("config", "main", configuration_document(2 * index + 3))
    entry = dict(store.objects_by_kind["servers"]["p-0"]["specification"])
    store.put("servers", _new_server(index), entry)
    term = FIRST_TERM + index
    limits = LimitList(term, 1, {"p-1": BackendLimit(0, 5.0 + index)})
    store.put("limits", "named", encode_limits(limits))
    part = QuarantinedPart(strikes=5, trial_after_s=60.0)
    quarantined = QuarantineList(term, 1, {f"part-{index}": part})
    store.put("quarantine", "parts", encode_quarantine(quarantined))


def _new_server(index):
    return f"new-{index}"


def _current(kernel, index):
    """Return by collection what the daemon goes by."""
    configuration = kernel.get("serving_configuration").current
    return {
        "config": configuration.version,
        "servers": _new_server(index) in kernel.get("directory").backends_by_id,
        "limits": kernel.get("permits")._bulletin.current.term,
        "quarantine": kernel.get("quarantine").current.term,
    }


async def _measure(context, names, index):
    wanted = {
        "config": 2 * index + 3,
        "servers": True,
        "limits": FIRST_TERM + index,
        "quarantine": FIRST_TERM + index,
    }
    kernels = context.simulation.fleet.kernels_by_name
    loop = asyncio.get_running_loop()
    changed_at = loop.time()
    missing = {(name, collection) for name in names for collection in wanted}
    while missing and loop.time() < changed_at + PAUSE_S:
        await asyncio.sleep(0.02)
        for name in {name for name, _ in missing}:
            current = _current(kernels[name], index)
            for collection, value in wanted.items():
                if current[collection] == value:
                    missing.discard((name, collection))
        after_s = loop.time() - changed_at
        for name, collection in missing:
            context.late[index, name, collection] = round(after_s, 3)


@then("the others have the {first} and the {second} within {seconds:g} seconds")
def then_in_time(context, first, second, seconds):
    collections = {"configuration": "config", "servers": "servers"}
    wanted = [collections.get(name, name) for name in (first, second)]
    late = {
        key: after_s
        for key, after_s in context.late.items()
        if key[2] in wanted and after_s > seconds
    }
    assert not late, (len(late), sorted(late.items(), key=lambda item: -item[1])[:5])


@when("the leader is asked for changes since a revision before its own first")
def when_far_behind(context):
    fleet = context.simulation.fleet

    async def ask():
        (leader,) = fleet.leader_names()
        calls = fleet.kernels_by_name[leader].get("calls")
        asked_at = asyncio.get_running_loop().time()
        body = {"collection": "config", "since": 1, "wait_s": 1.0}
        answer = await calls.call(calls.address, CHANGES_CALL, body, timeout_s=2.0)
        return answer, asyncio.get_running_loop().time() - asked_at

    context.answer, context.answered_after_s = context.simulation.run(ask())


@then("it answers with its whole copy within {seconds:g} seconds")
def then_whole_copy(context, seconds):
    assert context.answer["whole"], context.answer
    assert context.answered_after_s <= seconds, context.answered_after_s


@then("a watch answered without changes vouches for the end of its wait")
def then_end_of_wait(context):
    known = KnownAt.by_watch("config", 100.0, 1.5, 101.9, has_changes=False)
    assert known == KnownAt("config", 101.5), known


@then("a watch answered with changes vouches for the moment of its question")
def then_question(context):
    known = KnownAt.by_watch("config", 100.0, 1.5, 101.9, has_changes=True)
    assert known == KnownAt("config", 100.0), known


@then("a watch answered before the end of its wait vouches for its question")
def then_early(context):
    known = KnownAt.by_watch("config", 100.0, 1.5, 100.4, has_changes=False)
    assert known == KnownAt("config", 100.0), known


@then("a relay vouches for no more than its own copy")
def then_relay(context):
    relay_known = KnownAt("config", 50.0)
    # By the relay's clock, the question arrived at 51.0.
    offset_s = relay_known.since_question_s(51.0)
    known = KnownAt.by_relay("config", 200.0, offset_s, 201.0)
    assert known == KnownAt("config", 199.0), known
    later = KnownAt.by_relay("config", 200.0, 9.0, 201.0)
    assert later == KnownAt("config", 201.0), later
    for odd in (float("nan"), float("inf"), -float("inf")):
        try:
            KnownAt.by_relay("config", 200.0, odd, 201.0)
        except ValueError:
            continue
        raise AssertionError(odd)


@then("no answer about another collection vouches for a copy")
def then_other_collection(context):
    try:
        KnownAt("config", 1.0).latest(KnownAt("servers", 2.0))
    except ValueError as error:
        assert "servers" in str(error), error
    else:
        raise AssertionError("servers vouched for config")
