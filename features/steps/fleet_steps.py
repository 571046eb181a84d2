"""Steps for a fleet in one process, on a paused clock."""

import asyncio

from behave import given, then, when

from features.environment import build_fleet
from pimentogap.tickets import Accepted, may_serve, parse_ticket
from pimentogap.types import SURPLUS_PREFIX

DETECTION_LIMIT_S = 2.5
LEAVING_LIMIT_S = 3.0


def submit(context, daemon, put, *, remove=(), against=None, submission=None):
    """Submit a ticket at one daemon, keep its outcome and return it.

    :param against: the revision that the ticket is based on, by default the one
        that is current at the daemon.
    """
    simulation = context.simulation
    configuration = simulation.fleet.daemons_by_index[daemon].get("configuration")
    simulation.notes["submissions"] = simulation.notes.get("submissions", 0) + 1
    ticket = parse_ticket(
        {
            "submission": submission or f"s-{simulation.notes['submissions']}",
            "against": configuration.current.revision if against is None else against,
            "author": "operator",
            "put": put,
            "remove": list(remove),
        }
    )
    simulation.outcomes.append(simulation.run(configuration.submit(ticket)))
    return simulation.outcomes[-1]


def workspace(name, rate=10.0):
    """Return the ticket item for a workspace with ``rate`` requests per second."""
    return {"kind": "workspace", "name": name, "requests_per_s": rate}


@given("a fleet of {count:d} daemons")
def given_fleet(context, count):
    build_fleet(context, daemons=count, vms_per_domain=0)


@given("a fleet of {count:d} daemons and {vms:d} VMs in each of 3 fabric domains")
def given_fleet_with_vms(context, count, vms):
    build_fleet(context, daemons=count, vms_per_domain=vms)


@given("engines of fabric domain {domain} that ignore fencing numbers")
def given_engines_without_fencing(context, domain):
    for engine in context.simulation.fleet.engines.engines_by_vm.values():
        if engine.vm.fabric_domain == domain:
            engine.checks_fencing_number = False
    item = {"kind": "engine_kind", "name": domain, "checks_fencing_number": False}
    assert isinstance(submit(context, 0, [item]), Accepted)


@given("{count:d} model groups of {size:d} VMs")
def given_groups(context, count, size, downtime_weight=0.8):
    service = {
        "kind": "model_service",
        "name": "m",
        "model": "m",
        "vms_per_group": size,
        "downtime_weight": downtime_weight,
    }
    groups = [
        {"kind": "model_group", "name": f"g-{i}", "service": "m", "region": "r"}
        for i in range(count)
    ]
    assert isinstance(submit(context, 0, [service, *groups]), Accepted)
    context.simulation.wait(10)
    then_groups_routable(context, count)


@given("{count:d} groups of {size:d} VMs, formed to minimise stranded accelerators")
def given_groups_without_downtime_weight(context, count, size):
    given_groups(context, count, size, downtime_weight=0.0)
    context.simulation.wait(5)


@given("a plain service that workspace w may use")
def given_plain_service(context):
    backends = [
        {"vm": f"p-{i}", "address": f"10.0.2.1:{i + 1}", "availability_zone": "z-a"}
        for i in range(2)
    ]
    service = {"kind": "plain_service", "name": "book", "backends": backends}
    service["timeout"] = "2s"
    workspace_item = {"kind": "workspace", "name": "w", "services": ["book"]}
    assert isinstance(submit(context, 0, [service, workspace_item]), Accepted)
    context.simulation.wait(1)


@when("{seconds:g} s pass")
def when_time_passes(context, seconds):
    context.simulation.wait(seconds)


@when("the store goes down")
def when_store_down(context):
    context.simulation.fleet.platform.faults.down = True


@when("the store comes back")
def when_store_up(context):
    context.simulation.fleet.platform.faults.down = False


@when("the store loses every answer")
def when_store_answers_lost(context):
    context.simulation.fleet.platform.faults.lose_answer_share = 1.0


@when("the store answers again")
def when_store_answers(context):
    context.simulation.fleet.platform.faults.lose_answer_share = 0.0


@when("daemons {indexes} are cut off from the others")
def when_daemons_cut_off(context, indexes):
    context.simulation.fleet.partition([int(index) for index in indexes.split(",")])


@when("daemons {indexes} are cut off from the store")
def when_daemons_cut_off_from_store(context, indexes):
    for index in indexes.split(","):
        context.simulation.fleet.cut_store(int(index))


@when("all network links are restored")
def when_links_restored(context):
    context.simulation.fleet.heal()


@when("daemon {index:d} is paused")
def when_daemon_paused(context, index):
    context.simulation.fleet.daemons_by_index[index].gate.pause()


@when("daemon {index:d} resumes")
def when_daemon_resumed(context, index):
    context.simulation.fleet.daemons_by_index[index].gate.resume()


@when("daemon {index:d} is killed")
def when_daemon_killed(context, index):
    context.simulation.run(context.simulation.fleet.kill_daemon(index))


@when("daemon {index:d} starts without saved state")
def when_daemon_started(context, index):
    context.simulation.run(context.simulation.fleet.start_daemon(index))


@when("the daemon that controls the groups is paused")
def when_holder_paused(context):
    for daemon in context.simulation.fleet.daemons_by_index.values():
        if context.simulation.call_in_loop(daemon.get("groups").lease.is_valid):
            daemon.gate.pause()
            context.simulation.notes["holder"] = daemon


@when("the paused daemon resumes")
def when_holder_resumed(context):
    context.simulation.notes["holder"].gate.resume()


@when("VM {vm} is killed")
def when_vm_killed(context, vm):
    context.simulation.call_in_loop(lambda: context.simulation.fleet.engines.kill(vm))


@when("VM {vm} restarts")
def when_vm_restarted(context, vm):
    context.simulation.call_in_loop(
        lambda: context.simulation.fleet.engines.restart(vm)
    )


@when("the platform shows VM {vm} as leaving")
def when_vm_leaving(context, vm):
    context.simulation.notes["leaving_at"] = context.simulation.runner.get_loop().time()
    context.simulation.notes["leaving_vm"] = vm
    context.simulation.call_in_loop(lambda: context.simulation.fleet.engines.leave(vm))


@when("every VM of fabric domain {domain} is killed")
def when_domain_killed(context, domain):
    for vm_id, engine in context.simulation.fleet.engines.engines_by_vm.items():
        if engine.vm.fabric_domain == domain:
            when_vm_killed(context, vm_id)


@when("every engine of fabric domain {domain} {misbehaves}")
def when_misbehaves(context, domain, misbehaves):
    for engine in context.simulation.fleet.engines.engines_by_vm.values():
        if engine.vm.fabric_domain == domain:
            engine.answer_fault = misbehaves


@then("every daemon may route requests to the {count:d} configured groups")
def then_groups_routable(context, count):
    now = context.simulation.runner.get_loop().time()
    for daemon in context.simulation.fleet.daemons_by_index.values():
        if daemon.gate.is_paused:
            continue
        replicas = daemon.get("routing").replicas("m")
        permitted = {
            replica.server.id.partition("/")[0]
            for replica in replicas
            if replica.is_permitted(now)
        }
        configured = {f"g-{i}" for i in range(count)}
        assert configured <= permitted, (daemon.index, permitted)


@then("every daemon may route requests to a surplus group")
def then_surplus_group_routable(context):
    now = context.simulation.runner.get_loop().time()
    for daemon in context.simulation.fleet.daemons_by_index.values():
        assert any(
            replica.server.id.startswith(SURPLUS_PREFIX) and replica.is_permitted(now)
            for replica in daemon.get("routing").replicas("m")
        )


@then("no request reached a group whose VM had been missing for more than {limit:g} s")
def then_no_late_request(context, limit):
    assert limit == DETECTION_LIMIT_S
    request_events = context.simulation.fleet.engines.request_events
    late = [event for event in request_events if event.missing_s > limit]
    assert not late, late[:1]


@then("no group started or finished a request while one of its VMs was missing")
def then_none_served_incomplete(context):
    request_events = context.simulation.fleet.engines.request_events
    wrong = [s for s in request_events if s.missing_vms and s.event != "arrive"]
    assert not wrong, wrong[:1]


@then("no version of the assignments has a VM in two groups")
def then_no_vm_in_two_groups(context):
    versions = context.simulation.fleet.platform.versions_written
    checked = 0
    for version in versions:
        if version.collection == "assignments":
            checked += 1
            held = [
                vm["id"]
                for assignment in version.stored.value["assignments"]
                for vm in assignment["vms"]
            ]
            assert len(held) == len(set(held)), held
    assert checked
    assert not context.simulation.fleet.engines.double_holdings


@then("every engine of the fleet holds exactly the group that is assigned to it")
def then_engines_hold_assigned_groups(context):
    fleet = context.simulation.fleet
    daemon = next(iter(fleet.daemons_by_index.values()))
    assigned = {
        vm.id: (assignment.group, assignment.generation)
        for assignment in daemon.get("fleet").assignments()
        for vm in assignment.vms
    }
    for vm_id, engine in fleet.engines.engines_by_vm.items():
        held = engine.holding
        key = (held["group"], held["generation"]) if held else None
        assert key == assigned.get(vm_id), (vm_id, key, assigned.get(vm_id))


@then(
    "no new request reached VM {vm} later than {limit:g} s"
    " after it was shown as leaving"
)
def then_no_new_request(context, vm, limit):
    assert limit == LEAVING_LIMIT_S
    notes = context.simulation.notes
    request_events = context.simulation.fleet.engines.request_events
    late = [
        event
        for event in request_events
        if event.event == "arrive"
        and event.vm == vm
        and event.at_s > notes["leaving_at"] + limit
    ]
    assert not late, late[:1]
    assert [s for s in request_events if s.at_s > notes["leaving_at"] + limit], (
        "no requests"
    )


@then("{kind} daemon has revision {revision:d}")
def then_revision(context, kind, revision):
    revisions = {
        daemon.index: daemon.get("configuration").current.revision
        for daemon in context.simulation.fleet.daemons_by_index.values()
    }
    if kind != "every":
        revisions = {0: revisions[int(kind.removeprefix("the "))]}
    assert set(revisions.values()) == {revision}, revisions


@then("daemon {index:d} {verb} new requests")
def then_takes_or_refuses(context, index, verb):
    daemon = context.simulation.fleet.daemons_by_index[index]
    freshness = context.simulation.call_in_loop(daemon.get("configuration").freshness)
    assert may_serve(freshness) == (verb == "takes"), freshness


@then("a decision about group {group} says: {text}")
def then_decision_says(context, group, text):
    simulation = context.simulation
    daemon = next(iter(simulation.fleet.daemons_by_index.values()))
    decisions = simulation.run(daemon.get("groups").decisions())
    seen = [
        f"{d.action}: {d.seen} -> {d.chosen}" for d in decisions if d.group == group
    ]
    assert any(text in line for line in seen), seen


async def wait_for_tasks(context, seconds):
    """Wait until the tasks of earlier steps have ended, at most for ``seconds``."""
    if context.simulation.tasks:
        await asyncio.wait(context.simulation.tasks, timeout=seconds)
