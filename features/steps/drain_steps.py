"""Steps for backend servers that leave."""

import asyncio

from behave import given, then, when

from features.steps.daemon_steps import leader_and_others
from standins.emulator import EmulatedFleet

START_S = 4.0


@given(
    "a platform with {plain:d} plain replicas alone and {daemons:d} daemons",
)
def given_plain_platform(context, plain, daemons):
    async def start():
        fleet = EmulatedFleet()
        await fleet.start(daemons=daemons, domains=0, plain=plain)
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
        case "all but the last daemon":
            return [leader, *others[:-1]]
    return []


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
            request = fleet.send_request("GET", "/look/x", daemon=name)
            context.lookups.append(request)
            await asyncio.sleep(1 / rate)


@when("the entries of plain replicas 0 and 1 are removed one second apart")
def when_two_removed(context):
    _remove_entry(context, "p-0")
    context.simulation.wait(1.0)
    _remove_entry(context, "p-1")


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
