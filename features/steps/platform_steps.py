"""Steps for front daemons on an emulated platform."""

import logbook
from behave import given, then, when

from pimentogap.store import Stored
from standins.emulator import (
    EmulatedFleet,
    configuration_document,
    default_routes,
)

FORMATION_LIMIT_S = 6.0


@given(
    "a platform with {domains:d} fabric domains of {size:d} replicas"
    " and {daemons:d} daemons"
)
def given_platform(context, domains, size, daemons):
    async def start():
        fleet = EmulatedFleet()
        await fleet.start(daemons=daemons, domains=domains, domain_size=size)
        return fleet

    context.simulation.fleet = context.simulation.run(start())


@given(
    "a platform of shared pools with {domains:d} fabric domains of {size:d} replicas"
    " and {daemons:d} daemons"
)
def given_shared_pools(context, domains, size, daemons):
    async def start():
        fleet = EmulatedFleet(contracts=("pressure",))
        await fleet.start(daemons=daemons, domains=domains, domain_size=size)
        return fleet

    context.simulation.fleet = context.simulation.run(start())


@given("its groups are open")
def given_open(context):
    context.simulation.wait(FORMATION_LIMIT_S)
    assert context.simulation.fleet.open_group_heads("large")
    assert context.simulation.fleet.open_group_heads("small")


@given("a first request has been answered")
def given_first_request(context):
    """Answer a look-up; loads of weights take their full time from then on."""
    request = start_request(context, "GET", "/look/first")
    context.simulation.wait(0.5)
    assert request.response.status == 200


@given("a daemon other than the leader has answered a first request")
def given_first_request_elsewhere(context):
    fleet = context.simulation.fleet
    leaders = context.simulation.call_in_loop(fleet.leader_names)
    daemon = min(set(fleet.kernels_by_name) - set(leaders))
    request = start_request(context, "GET", "/look/first", daemon=daemon)
    context.simulation.wait(0.5)
    assert request.response.status == 200


@given("no configuration has been written")
def given_no_configuration(context):
    async def start():
        fleet = EmulatedFleet()
        await fleet.start_daemon("front-0")
        return fleet

    context.simulation.fleet = context.simulation.run(start())


@when("{seconds:g} seconds pass")
def when_time_passes(context, seconds):
    context.simulation.wait(seconds)


@when("the leader is killed")
def when_leader_killed(context):
    fleet = context.simulation.fleet
    (leader,) = fleet.leader_names()
    context.simulation.run(fleet.kill_daemon(leader))


@when("the store stops answering the relay")
def when_relay_unanswered(context):
    fleet = context.simulation.fleet

    def make_follower_the_relay():
        # The leader reads the store itself, so the relay must be another daemon.
        leaders = fleet.leader_names()
        relays = set(fleet.kernels_by_name) - set(leaders)
        context.unanswered_relay = sorted(relays)[0]
        value = {"zone": "z-a", "address": f"{context.unanswered_relay}:27002"}
        for kernel in fleet.kernels_by_name.values():
            kernel.get("daemons").update_from_list(
                [Stored(context.unanswered_relay, 1, value)]
            )

    context.simulation.call_in_loop(make_follower_the_relay)
    document = {**configuration_document(1), "note": "makes every daemon ask again"}
    fleet.store.put("config", "main", document)
    context.simulation.wait(1.0)
    fleet.store.faults.silent_sources.add(context.unanswered_relay)


@when(
    "the store is silent to {whom} for {seconds:g} seconds,"
    " and version {version:d} is written halfway through"
)
def when_silent_for(context, whom, seconds, version):
    """Make the store silent to "everybody" or to "every daemon".

    To "everybody", an open watch is closed at the next write; to "every daemon", it
    stays open and is never answered.
    """
    fleet = context.simulation.fleet
    faults = fleet.store.faults
    faults.silent = whom == "everybody"
    if not faults.silent:
        faults.silent_sources.update(fleet.kernels_by_name)
    context.simulation.wait(seconds / 2)
    fleet.store.put("config", "main", configuration_document(version))
    context.simulation.wait(seconds / 2)
    faults.silent = False
    faults.silent_sources.clear()


@then("the version in force at all other daemons is {version:d}")
def then_version_at_others(context, version):
    for name, kernel in context.simulation.fleet.kernels_by_name.items():
        current = kernel.get("serving_configuration").current
        assert name == context.unanswered_relay or current.version == version, name


@when("two daemons other than the leader use each other as relay")
def when_relay_cycle(context):
    fleet = context.simulation.fleet
    leaders = context.simulation.call_in_loop(fleet.leader_names)
    first, second = sorted(set(fleet.kernels_by_name) - set(leaders))[:2]

    def set_relay(name, relay):
        value = {"zone": "z-a", "address": f"{relay}:27002"}
        daemons = fleet.kernels_by_name[name].get("daemons")
        daemons.update_from_list([Stored(relay, 1, value)])

    context.simulation.call_in_loop(
        lambda: (set_relay(first, second), set_relay(second, first))
    )


@when("{count:d} more daemons are started")
def when_daemons_started(context, count):
    fleet = context.simulation.fleet
    first = len(fleet.kernels_by_name)
    for index in range(first, first + count):
        context.simulation.run(fleet.start_daemon(f"front-{index}"))


@when("the relays of front-4 are front-0 and, in another zone, front-1")
def when_relays(context):
    """Move front-1 to another zone, in which it is the only daemon."""
    fleet = context.simulation.fleet
    context.simulation.run(fleet.stop_daemon("front-1"))
    context.simulation.run(fleet.start_daemon("front-1", zone="z-b"))


@when("front-0 is killed")
def when_front_killed(context):
    context.simulation.run(context.simulation.fleet.kill_daemon("front-0"))
    store = context.simulation.fleet.kernels_by_name["front-4"].get("store")
    context.watches_before = store.calls_by_kind.get("Watch", 0)


@when(
    "{count:d} versions of the configuration are written, one every {pause:g} seconds"
)
def when_versions(context, count, pause):
    for version in range(2, 2 + count):
        document = configuration_document(version)
        context.simulation.fleet.store.put("config", "main", document)
        context.simulation.wait(pause)
    context.last_version = 1 + count


@then(
    "front-4 has the last version,"
    " and opened no more than {most:d} watches since the kill"
)
def then_watches(context, most):
    kernel = context.simulation.fleet.kernels_by_name["front-4"]
    watches = kernel.get("store").calls_by_kind["Watch"] - context.watches_before
    context.simulation.wait(1.0)
    current = kernel.get("serving_configuration").current
    assert current.version == context.last_version, current.version
    assert watches <= most, watches


@when("every daemon is killed and started again")
def when_all_killed(context):
    fleet = context.simulation.fleet

    async def restart():
        names = list(fleet.kernels_by_name)
        for name in names:
            await fleet.kill_daemon(name)
        for name in names:
            await fleet.start_daemon(name)

    context.simulation.run(restart())


@when("the store is {state}")
def when_store(context, state):
    faults = context.simulation.fleet.store.faults
    faults.down = state == "down"
    faults.silent = state == "silent"


@when("the store drops its history")
def when_history_dropped(context):
    context.simulation.fleet.store.drop_history()


@when("version {version:d} of the configuration is written without any key")
def when_keys_removed(context, version):
    document = configuration_document(version, keys=())
    context.simulation.fleet.store.put("config", "main", document)


@when("version {version:d} of the configuration is written")
def when_version(context, version):
    document = configuration_document(version)
    context.simulation.fleet.store.put("config", "main", document)


@when("version {version:d} of the configuration is written with {count:d} more routes")
def when_large_version(context, version, count):
    routes = default_routes()
    more = [
        {**routes[0], "name": f"more-{i}", "pathPrefix": f"/more-{i}/"}
        for i in range(count)
    ]
    document = configuration_document(version, routes=routes + more)
    context.simulation.fleet.store.put("config", "main", document)


@when("the answers of the store arrive at {rate:d} bytes a second")
def when_store_links_slow(context, rate):
    context.simulation.fleet.store.faults.bytes_per_s = rate


@when("an invalid configuration is written")
def when_configuration_invalid(context):
    context.simulation.fleet.store.put("config", "main", {"version": 9, "routes": 7})


@given("the log is captured")
def given_log(context):
    context.log = logbook.TestHandler(level="INFO")
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)


@then("no task of the daemon has failed")
def then_no_task_failed(context):
    failed = [
        record for record in context.log.records if record.channel == "kernel.tasks"
    ]
    assert not failed, failed[0].formatted_exception


@then("exactly one daemon is leader")
def then_one_leads(context):
    leaders = context.simulation.call_in_loop(context.simulation.fleet.leader_names)
    assert len(leaders) == 1, leaders


@then("the version in force is {version:d}")
def then_version(context, version):
    for kernel in context.simulation.fleet.kernels_by_name.values():
        current = kernel.get("serving_configuration").current
        assert current.version == version, current.version


def start_request(context, method, path, **options):
    """Send a request to a front daemon and return it while it is in flight."""

    async def start():
        return context.simulation.fleet.send_request(method, path, **options)

    request = context.simulation.run(start())
    context.simulation.tasks.append(request.task)
    return request
