"""Steps for backend servers that leave."""

import asyncio
import math
from dataclasses import replace

from behave import given, then, when

from features.steps.daemon_steps import inner_address, leader_and_others
from features.steps.platform_steps import start_request
from pimentogap.permits._known import BackendLimit
from pimentogap.relay._contact import CONTACT_CALL, CONTACT_TIMEOUT_S
from pimentogap.relay._service import CHANGES_CALL
from standins.emulator import EmulatedFleet

ZONES = ("z-a", "z-b", "z-c")
START_S = 4.0
CONNECT_S = 0.36
WATCH_STEP_S = 0.01
# The field of an answer with changes that says for how long the store has answered.
CONTACT_FIELD = "regained_s"


@given("a platform with {plain:d} plain replicas alone and {daemons:d} daemons")
def given_plain_platform(context, plain, daemons):
    _start_platform(context, plain, daemons, ZONES[:1])


@given(
    "a platform with {plain:d} plain replicas alone"
    " and {daemons:d} daemons in three availability zones"
)
def given_zoned_platform(context, plain, daemons):
    _start_platform(context, plain, daemons, ZONES)


def _start_platform(context, plain, daemons, zones):
    async def start():
        fleet = EmulatedFleet()
        await fleet.start(daemons=0, domains=0, plain=plain)
        for index in range(daemons):
            await fleet.start_daemon(f"front-{index}", zone=zones[index % len(zones)])
        return fleet

    context.simulation.fleet = context.simulation.run(start())
    context.simulation.wait(START_S)


@when("the calls of {who} to the store are {calls} for {seconds:g} seconds")
def when_cut_off(context, who, calls, seconds):
    faults = context.simulation.fleet.store.faults
    sources = faults.refused_sources if calls == "refused" else faults.silent_sources
    names = _daemons_named(context, who)
    sources.update(names)
    context.simulation.wait(seconds)
    sources.difference_update(names)


def _daemons_named(context, who):
    leader, others = leader_and_others(context)
    kernels_by_name = context.simulation.fleet.kernels_by_name
    relays = [
        name for name in others if kernels_by_name[name].get("daemons").is_relay()
    ]
    match who:
        case "the leader":
            return [leader]
        case "the relay":
            # The only relay of the zone may be the leader itself.
            return relays[:1] or [leader]
        case "another daemon":
            return others[-1:]
        case "every daemon":
            return [leader, *others]
        case "all but the last daemon":
            return [leader, *others[:-1]]
    return []


@when("no daemon {answers} about the store")
def when_no_answers(context, answers):
    delay_s = 2 * CONTACT_TIMEOUT_S if answers == "answers in time" else 3600.0

    async def answer_late(body):
        await asyncio.sleep(delay_s)
        return {"era": 1, "answering_s": 3600.0}

    for kernel in context.simulation.fleet.kernels_by_name.values():
        kernel.get("calls").register(CONTACT_CALL, answer_late)


@when("look-ups arrive at every daemon, {rate:d} a second")
def when_look_ups_arrive(context, rate):
    context.lookups = []
    context.removed_at_by_id = {}
    context.simulation.start_task(_look_up_repeatedly, context, rate)


async def _look_up_repeatedly(context, rate):
    fleet = context.simulation.fleet
    names = sorted(fleet.kernels_by_name)
    while True:
        for name in names:
            if inner_address(name) in fleet.frozen_addresses:
                continue
            request = fleet.send_request("GET", "/look/x", daemon=name)
            context.lookups.append(request)
            await asyncio.sleep(1 / rate)


@when("{who} freezes for {seconds:g} seconds, which the others do not know")
def when_freezes(context, who, seconds):
    fleet = context.simulation.fleet
    names = _daemons_named(context, who)
    fleet.store.faults.silent_sources.update(names)
    fleet.frozen_addresses.update(inner_address(name) for name in names)
    context.simulation.wait(seconds)


@when("the entries of plain replicas 0 and 1 are removed one second apart")
def when_two_removed(context):
    _remove_entry(context, "p-0")
    context.simulation.wait(1.0)
    _remove_entry(context, "p-1")


@when(
    "the entries of plain replicas 0 and 1 are removed one second apart,"
    " and watched for {seconds:g} seconds"
)
def when_removed_and_watched(context, seconds):
    context.known_at = {}
    _remove_entry(context, "p-0")
    _watch_knowledge(context, 1.0)
    _remove_entry(context, "p-1")
    _watch_knowledge(context, seconds)


def _watch_knowledge(context, seconds):
    """Note when the copy of each daemon first lacks the removed entries."""
    until = _now(context) + seconds
    while (now := _now(context)) < until:
        for name, kernel in context.simulation.fleet.kernels_by_name.items():
            subscription = kernel.get("relay")._subscriptions_by_collection["servers"]
            listed = {stored.name for stored in subscription.changes.objects()}
            for id_ in context.removed_at_by_id.keys() - listed:
                context.known_at.setdefault((name, id_), now)
        context.simulation.wait(WATCH_STEP_S)


@then("no daemon sent them a request later than {limit:g} seconds after it knew")
def then_none_after_knowing(context, limit):
    daemons_by_id = {request.id: request.daemon for request in context.lookups}
    kernels_by_name = context.simulation.fleet.kernels_by_name
    expected = {(name, id_) for name in kernels_by_name for id_ in ("p-0", "p-1")}
    assert context.known_at.keys() == expected, expected - context.known_at.keys()
    late = []
    for run in context.simulation.fleet.records.runs:
        known_at = context.known_at.get(
            (daemons_by_id.get(run.attempt_id), run.replica)
        )
        if known_at is not None and run.started_at > known_at + limit:
            late.append((run.replica, round(run.started_at - known_at, 3)))
    assert not late, (len(late), late[-1])


@when(
    "each daemon asks the leader for the same changes, {pause:g} seconds apart",
)
def when_same_changes(context, pause):
    leader, others = leader_and_others(context)
    kernels_by_name = context.simulation.fleet.kernels_by_name
    address = kernels_by_name[leader].get("calls").address
    revision = kernels_by_name[leader].get("directory").revision
    body = {"collection": "servers", "since": revision, "wait_s": 0.0, "from_relay": 1}
    context.told_s = []
    for name in others:
        calls = kernels_by_name[name].get("calls")

        async def ask(calls=calls):
            return await calls.call(address, CHANGES_CALL, body, timeout_s=1.0)

        answer = context.simulation.run(ask())
        context.told_s.append(answer[CONTACT_FIELD])
        context.simulation.wait(pause)


@then("each is told a time that is longer by {pause:g} seconds")
def then_longer(context, pause):
    steps = [b - a for a, b in zip(context.told_s, context.told_s[1:], strict=False)]
    assert steps and all(pause <= step < pause + 0.02 for step in steps), steps


@when("the entries of the first {count:d} plain replicas are removed")
def when_first_removed(context, count):
    for index in range(count):
        _remove_entry(context, f"p-{index}")


def _remove_entry(context, id_):
    store = context.simulation.fleet.store
    context.simulation.call_in_loop(lambda: store.remove("servers", id_))
    context.removed_at_by_id[id_] = _now(context)


def _now(context):
    return context.simulation.call_in_loop(asyncio.get_running_loop).time()


@when("the store returns")
def when_store_up(context):
    fleet = context.simulation.fleet
    fleet.store.faults.down = False
    returned_at = context.reached_at = _now(context)
    while context.reached_at <= returned_at:
        context.simulation.wait(0.01)
        kernels = fleet.kernels_by_name.values()
        context.reached_at = max(k.get("store").last_answer_at for k in kernels)


@when("plain replicas 1 and 2 write their entries again")
def when_written_again(context):
    for id_ in ("p-1", "p-2"):
        replica = context.simulation.fleet.plain_replicas_by_id[id_]
        context.simulation.call_in_loop(
            lambda replica=replica: replica.publish("ready")
        )


@then(
    "no plain replica got a request later than {limit:g} seconds"
    " after its entry was removed"
)
def then_none_late(context, limit):
    assert context.removed_at_by_id
    for id_, removed_at in context.removed_at_by_id.items():
        _check_none_after(context, id_, removed_at + limit)


@then(
    "plain replica 0 got no request later than {limit:g} seconds"
    " after a daemon reached the store"
)
def then_none_after_return(context, limit):
    _check_none_after(context, "p-0", context.reached_at + limit)


def _check_none_after(context, id_, limit):
    late = [
        run.started_at - limit
        for run in context.simulation.fleet.records.runs
        if run.replica == id_ and run.started_at > limit
    ]
    assert not late, (id_, len(late), max(late))


@then("every look-up was answered")
def then_look_ups_answered(context):
    now = _now(context)
    due = [request for request in context.lookups if request.sent_at < now - 1.0]
    failed = [request.response.status for request in due]
    assert due and set(failed) == {200}, {s: failed.count(s) for s in set(failed)}


@when("a booking for plain replica 0 waits at the leader for a connection")
def when_waits_for_connection(context):
    leader, _ = leader_and_others(context)
    _start_waiting(context, leader)


@when("it has a booking for plain replica 0, which waits for a connection")
def when_paused_waits(context):
    _start_waiting(context, context.paused)


def _start_waiting(context, daemon):
    """Have ``daemon`` choose plain replica 0, to which no connection opens yet."""
    fleet = context.simulation.fleet
    fleet.network.connect_delays_s_by_address["p-0:80"] = CONNECT_S
    _exclude_others(context, daemon, True)
    context.waiting = start_request(context, "POST", "/book/x", daemon=daemon)
    context.simulation.wait(0.01)
    _exclude_others(context, daemon, False)


def _exclude_others(context, daemon, quiet):
    """Let ``daemon`` send plain replicas 1 and 2 nothing, or end that."""
    kernel = context.simulation.fleet.kernels_by_name[daemon]
    backends_by_id = kernel.get("directory").backends_by_id
    for id_ in ("p-1", "p-2"):
        kernel.get("placement").load(backends_by_id[id_])._quiet_until = (
            math.inf if quiet else -math.inf
        )


@when("a booking for plain replica 0 waits at the leader for a permit")
def when_waits_for_permit(context):
    leader, _ = leader_and_others(context)
    kernel = context.simulation.fleet.kernels_by_name[leader]
    permits = kernel.get("permits")
    backend = kernel.get("directory").backends_by_id["p-0"]

    def name_limit():
        permits.report_limit(backend, BackendLimit(backend.incarnation, 50.0))
        return permits._book(backend)

    context.permit_book = context.simulation.call_in_loop(name_limit)
    context.simulation.run(context.permit_book.lock.acquire())
    _start_waiting(context, leader)
    context.simulation.fleet.network.connect_delays_s_by_address.clear()


@when("plain replica 0 reports that it is draining")
def when_reports(context):
    replica = context.simulation.fleet.plain_replicas_by_id["p-0"]
    context.simulation.call_in_loop(lambda: replica.publish("draining"))


@when("plain replica 0 is removed from the list")
def when_removed_from_list(context):
    store = context.simulation.fleet.store
    context.simulation.call_in_loop(lambda: store.remove("servers", "p-0"))


@when("plain replica 0 says to another that it leaves")
def when_says_to_another(context):
    """Have another answer of the replica to the same daemon say that it leaves."""
    leader, _ = leader_and_others(context)
    directory = context.simulation.fleet.kernels_by_name[leader].get("directory")
    backend = directory.backends_by_id["p-0"]
    context.simulation.call_in_loop(lambda: directory.record_leaving(backend))


@when("the booking waits no longer after {seconds:g} seconds")
def when_waits_no_longer(context, seconds):
    context.simulation.wait(seconds)
    book = getattr(context, "permit_book", None)
    if book is not None:
        context.simulation.call_in_loop(lambda: _give_permit(book))


def _give_permit(book):
    book.add(1, asyncio.get_running_loop().time())
    book.lock.release()


@when("its process turns out to have been paused for {seconds:g} seconds")
def when_was_paused(context, seconds):
    """Move what the daemon knows back in time, as if its process had stood still."""
    kernel = context.simulation.fleet.kernels_by_name[context.paused]
    kernel.get("pauses")._ticked_at -= seconds
    for item in kernel.get("relay")._subscriptions_by_collection.values():
        item.known = replace(item.known, at=item.known.at - seconds)


@then("plain replica 0 has run nothing")
def then_ran_nothing(context):
    runs = context.simulation.fleet.records.runs
    assert not [run for run in runs if run.replica == "p-0"], runs


@then("the booking was answered")
def then_booking_answered(context):
    assert context.waiting.response.status == 200, context.waiting.response.status


@then("the booking was refused as not run")
def then_booking_refused(context):
    assert context.waiting.response.status == 503, context.waiting.response.status
