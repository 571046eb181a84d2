"""Steps for the list of daemons and the choice of relays."""

import string

import logbook
import yaml
from behave import given, then, when

from pimentogap.directory import DaemonsService
from pimentogap.directory._daemons import relay_capacity
from pimentogap.platform import load_platform_settings
from pimentogap.store import Stored
from standins.emulator import settings_document


def leader_and_others(context):
    """Return the leader's name and those of the other daemons."""
    fleet = context.simulation.fleet
    (leader,) = context.simulation.call_in_loop(fleet.leader_names)
    return leader, sorted(set(fleet.kernels_by_name) - {leader})


def inner_address(name):
    return f"{name}:27002"


@when("a daemon other than the leader is killed")
def when_other_killed(context):
    _, others = leader_and_others(context)
    context.simulation.run(context.simulation.fleet.kill_daemon(others[0]))


@when("a daemon other than the leader is killed and started again")
def when_other_restarted(context):
    _, others = leader_and_others(context)
    fleet = context.simulation.fleet
    context.restarted = others[-1]
    context.simulation.run(fleet.kill_daemon(context.restarted))
    context.simulation.run(fleet.start_daemon(context.restarted))
    context.simulation.wait(3.0)
    context.log.records.clear()


@then("no relay was dropped by it")
def then_no_relay_dropped(context):
    dropped = [r.kwargs for r in context.log.records if r.msg == "relay failed"]
    assert not dropped, dropped


@then("the new daemons know the configuration and the backend servers")
def then_new_daemons_ready(context):
    for name, kernel in new_kernels(context):
        assert kernel.get("serving_configuration").current is not None, name
        assert kernel.get("directory").loaded, name


@then("no new daemon read more of the store than the list of daemons")
def then_few_lists(context):
    for name, kernel in new_kernels(context):
        lists = kernel.get("store").calls_by_kind.get("List", 0)
        assert lists == 1 or kernel.get("daemons").is_relay(), (name, lists)


def new_kernels(context):
    kernels = context.simulation.fleet.kernels_by_name
    return [(f"front-{index}", kernels[f"front-{index}"]) for index in range(5, 15)]


@when("the leader cannot call another daemon")
def when_leader_cut(context):
    capture_log(context)
    leader, others = leader_and_others(context)
    pair = inner_address(leader), inner_address(others[-1])
    context.simulation.fleet.cut_calls.add(pair)


@when("nobody can call one of the daemons for {seconds:g} seconds")
def when_daemon_cut(context, seconds):
    capture_log(context)
    _, others = leader_and_others(context)
    fleet = context.simulation.fleet
    address = inner_address(others[-1])
    pairs = {(inner_address(name), address) for name in fleet.kernels_by_name}
    fleet.cut_calls |= pairs
    context.simulation.wait(seconds)
    fleet.cut_calls -= pairs


def capture_log(context):
    context.log = logbook.TestHandler(level="INFO")
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)


@when("the object of a daemon is deleted")
def when_object_deleted(context):
    _, others = leader_and_others(context)
    store = context.simulation.fleet.store
    context.simulation.call_in_loop(lambda: store.remove("daemons", others[0]))


@when("a daemon is killed, and its object has another address")
def when_moved(context):
    _, others = leader_and_others(context)
    context.moved = others[-1]
    fleet = context.simulation.fleet
    context.simulation.run(fleet.kill_daemon(context.moved))
    value = {"zone": "z-a", "address": "elsewhere:27002"}
    context.simulation.call_in_loop(
        lambda: fleet.store.put("daemons", context.moved, value)
    )


@when("the daemon is started again")
def when_started_again(context):
    context.simulation.run(context.simulation.fleet.start_daemon(context.moved))


@then("every daemon knows its present address")
def then_address_known(context):
    for name, kernel in context.simulation.fleet.kernels_by_name.items():
        known = kernel.get("daemons").addresses_by_id.get(context.moved)
        assert known == inner_address(context.moved), (name, known)


@when(
    "a daemon is started, reaches nobody for {seconds:g} seconds,"
    " and the store never again"
)
def when_started_alone(context, seconds):
    fleet = context.simulation.fleet
    context.alone = "front-alone"
    pairs = {
        (inner_address(context.alone), inner_address(name))
        for name in fleet.kernels_by_name
    }
    fleet.cut_calls |= pairs
    context.simulation.run(fleet.start_daemon(context.alone))
    # It has read the list of daemons by then.
    context.simulation.wait(1.0)
    fleet.store.faults.refused_sources.add(context.alone)
    context.simulation.wait(seconds - 1.0)
    fleet.cut_calls -= pairs


@then("it knows the configuration and the backend servers")
def then_alone_ready(context):
    kernel = context.simulation.fleet.kernels_by_name[context.alone]
    assert kernel.get("serving_configuration").current is not None
    assert kernel.get("directory").loaded


@when("the calls to the store are counted for {seconds:g} seconds")
def when_calls_counted(context, seconds):
    before = calls_without_lease(context)
    context.simulation.wait(seconds)
    counts = getattr(context, "call_counts", [])
    context.call_counts = [*counts, calls_without_lease(context) - before]


def calls_without_lease(context):
    kernels = context.simulation.fleet.kernels_by_name.values()
    return sum(
        count
        for kernel in kernels
        for kind, count in kernel.get("store").calls_by_kind.items()
        if kind != "Get"
    )


@then(
    "the second count, without reads of the lease,"
    " is at most {factor:g} times the first"
)
def then_calls_level(context, factor):
    first, second = context.call_counts
    assert second <= factor * first, context.call_counts


@then("every daemon counts {count:d} daemons")
def then_counted(context, count):
    for name, kernel in context.simulation.fleet.kernels_by_name.items():
        assert kernel.get("daemons").count == count, (
            name,
            kernel.get("daemons").count,
        )


@then("no daemon was removed from the list")
def then_none_removed(context):
    removed = [r for r in context.log.records if r.msg == "silent daemon removed"]
    assert not removed, [record.kwargs for record in removed]


@given("daemons a to {last} of one zone, of which {strong} has 4 cores and 100 Mbit/s")
def given_zone(context, last, strong):
    letters = string.ascii_lowercase
    names = letters[: letters.index(last) + 1]
    text = yaml.safe_dump(settings_document("a"))
    context.daemons = DaemonsService(load_platform_settings(text))
    weak, large = relay_capacity(0.5, 10.0), relay_capacity(4.0, 100.0)
    context.daemons.update_from_list(
        [
            Stored(
                name,
                1,
                {
                    "zone": "z-a",
                    "address": name,
                    "capacity": large if name == strong else weak,
                },
            )
            for name in names
        ]
    )


@then("the relays are {relays} and the candidates are {candidates}")
def then_relays(context, relays, candidates):
    daemons = context.daemons
    assert daemons._relay_ids == tuple(relays.split()), daemons._relay_ids
    assert daemons._candidate_ids == tuple(candidates.split())
