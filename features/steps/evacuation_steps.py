"""Steps for availability zones that the operator evacuates and takes back."""

import asyncio
from collections import Counter

from behave import given, then, when

from features.steps.platform_steps import start_request
from standins.emulator import EmulatedFleet

REQUESTS_PER_S = 40
BOUNDS = {"evacuateMs": 5000}
CALLS = (("POST", "/draft/x"), ("GET", "/look/x"))


@given("a platform that evacuates zones, with {daemons:d} daemons")
def given_platform(context, daemons):
    async def start():
        fleet = EmulatedFleet(bounds=BOUNDS)
        await fleet.start(daemons=daemons, domains=6, domain_size=8)
        return fleet

    context.simulation.fleet = context.simulation.run(start())


@when(
    "a zone is evacuated and {what} while streams and look-ups arrive"
    " for {seconds:g} seconds"
)
def when_evacuated(context, what, seconds):
    context.simulation.wait(1.0)
    heads = context.simulation.fleet.open_group_heads("large")
    counts = Counter(head.zone for head in heads)
    context.zones = [zone for zone, _ in counts.most_common(2)]
    _evacuate(context, context.zones[0])
    context.changed_at = context.simulation.call_in_loop(_now)
    _send(context, seconds, TROUBLES_BY_NAME[what](context))


@when(
    "the zone is taken back while streams and look-ups arrive for {seconds:g} seconds"
)
def when_taken_back(context, seconds):
    fleet = context.simulation.fleet
    context.simulation.call_in_loop(
        lambda: fleet.store.remove("evacuations", context.zones[0])
    )
    context.changed_at = context.simulation.call_in_loop(_now)
    _send(context, seconds)


@when("all zones are evacuated")
def when_all_evacuated(context):
    for zone in ("z-a", "z-b", "z-c"):
        _evacuate(context, zone)


@when('the zone "{zone}" is evacuated')
def when_named_evacuated(context, zone):
    _evacuate(context, zone)


@when("streams and look-ups arrive for {seconds:g} seconds")
def when_requests(context, seconds):
    _send(context, seconds)


def _evacuate(context, zone):
    store = context.simulation.fleet.store
    context.simulation.call_in_loop(lambda: store.put("evacuations", zone, {}))


def _now():
    return asyncio.get_running_loop().time()


def send_requests(context, rate, seconds, *, calls=CALLS, act=lambda at_s: None):
    """Send ``rate`` requests a second to all daemons in turn.

    :param calls: methods and paths, which are used by turns.
    :param act: called with the time of each request before it is sent.
    """
    fleet = context.simulation.fleet
    for index in range(round(seconds * rate)):
        act(index / rate)
        names = sorted(fleet.kernels_by_name)
        daemon = names[index * 7 % len(names)]
        method, path = calls[index % len(calls)]
        request = start_request(context, method, path, daemon=daemon)
        context.requests.append(request)
        context.simulation.wait(1 / rate)
        if not request.response.begun:
            context.slow_requests.append(request)


def _send(context, seconds, act=lambda at_s: None):
    context.requests, context.slow_requests = [], []
    send_requests(context, REQUESTS_PER_S, seconds, act=act)
    context.simulation.wait(4.0)


def _do_nothing(context):
    return lambda at_s: None


def _evacuate_second(context):
    def act(at_s):
        if at_s == 1.0:
            _evacuate(context, context.zones[1])

    return act


def _silence_store(context):
    def act(at_s):
        if at_s == 2.0:
            context.simulation.fleet.store.faults.silent = True

    return act


def _kill_leader(context):
    fleet = context.simulation.fleet

    def act(at_s):
        if at_s == 0.5:
            context.simulation.run(fleet.kill_daemon(fleet.leader_names()[0]))

    return act


def _restart_each(context):
    fleet = context.simulation.fleet
    names = sorted(fleet.kernels_by_name)

    def act(at_s):
        index, phase = divmod(at_s - 0.5, 1.0)
        if phase == 0.0 and 0 <= index < len(names):
            name = names[int(index)]
            context.simulation.run(fleet.stop_daemon(name))
            context.simulation.run(fleet.start_daemon(name, first_start=False))
            context.simulation.run(_wait_until_known(fleet.kernels_by_name[name]))

    return act


async def _wait_until_known(kernel):
    """Wait for what the readiness of a daemon depends on."""
    services = [kernel.get(name) for name in ("directory", "evacuations")]
    async with asyncio.timeout(2.0):
        while not all(service.loaded for service in services):
            await asyncio.sleep(0.01)


def _go_back(context):
    """Let the store lose the evacuation; the operator asks for it again 3 s later."""
    store = context.simulation.fleet.store

    def act(at_s):
        if at_s == 1.5:
            store.drop_watches()
            store.go_back(2.0)
        elif at_s == 4.5:
            _evacuate(context, context.zones[0])

    return act


TROUBLES_BY_NAME = {
    "nothing else happens": _do_nothing,
    "a second zone is evacuated": _evacuate_second,
    "the store is silent 2 seconds later": _silence_store,
    "the leader is killed": _kill_leader,
    "each daemon is started again": _restart_each,
    "the store goes back to before it": _go_back,
}


def _runs_in_zone(context):
    fleet = context.simulation.fleet
    replicas_by_id = {**fleet.replicas_by_id, **fleet.plain_replicas_by_id}
    return [
        run
        for run in fleet.records.runs
        if replicas_by_id[run.replica].zone == context.zones[0]
        and run.started_at >= context.changed_at
    ]


@then("no request reached the zone from {seconds:g} seconds after its evacuation on")
def then_none_reached(context, seconds):
    late = [
        run
        for run in _runs_in_zone(context)
        if run.started_at > context.changed_at + seconds
    ]
    assert not late, (len(late), late[:3])


@then("requests reached the zone within {seconds:g} seconds")
def then_reached(context, seconds):
    first = min(run.started_at for run in _runs_in_zone(context))
    assert first <= context.changed_at + seconds, first


@then("at least {share:g} of the requests were served")
def then_served(context, share):
    statuses = Counter(item.response.status for item in context.requests)
    assert statuses[200] >= share * len(context.requests), statuses


@then("all of them were refused at once and told when to return")
def then_refused(context):
    assert not context.slow_requests
    for request in context.requests:
        assert request.response.status == 503, request.response.status
        assert float(request.response.headers["retry-after"]) > 0


@then('each daemon has logged "{event}" once')
def then_logged(context, event):
    records = [item for item in context.log.records if item.msg == event]
    daemons = len(context.simulation.fleet.kernels_by_name)
    assert len(records) == daemons, len(records)
