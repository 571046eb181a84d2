"""Steps on a fleet in one process, on a paused clock."""

import asyncio

from behave import given, then, when

from features.environment import build_fleet
from pimentogap.tickets import Accepted, may_serve, parse_ticket
from pimentogap.types import SURPLUS_PREFIX

DETECTION_LIMIT_S = 2.5
LEAVING_LIMIT_S = 3.0


def submit(context, daemon, put, *, remove=(), against=None, submission=None):
    """Submit a ticket at one daemon and return the outcome."""
    paused = context.paused
    configuration = paused.fleet.daemons_by_index[daemon].get("configuration")
    paused.notes["submissions"] = paused.notes.get("submissions", 0) + 1
    ticket = parse_ticket(
        {
            "submission": submission or f"s-{paused.notes['submissions']}",
            "against": configuration.current.revision if against is None else against,
            "author": "operator",
            "put": put,
            "remove": list(remove),
        }
    )
    paused.outcomes.append(paused.run(configuration.submit(ticket)))
    return paused.outcomes[-1]


def workspace(name, rate=10.0):
    """Return a workspace as a ticket holds it."""
    return {"kind": "workspace", "name": name, "requests_per_s": rate}


@given("a fleet of {count:d} daemons")
def given_fleet(context, count):
    build_fleet(context, daemons=count, vms_per_domain=0)


@given("a fleet of {count:d} daemons and {vms:d} VMs in each of 3 fabric domains")
def given_fleet_with_vms(context, count, vms):
    build_fleet(context, daemons=count, vms_per_domain=vms)


@given("engines of fabric domain {domain} that ignore fencing numbers")
def given_unchecked(context, domain):
    for engine in context.paused.fleet.engines.engines_by_vm.values():
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
    context.paused.wait(10)
    then_all_groups(context, count)


@given("{count:d} groups of {size:d} VMs that weigh stranded accelerators")
def given_groups_weighing(context, count, size):
    given_groups(context, count, size, downtime_weight=0.0)
    context.paused.wait(5)


@given("a plain service with workspace w")
def given_plain(context):
    backends = [
        {"vm": f"p-{i}", "address": f"10.0.2.1:{i + 1}", "availability_zone": "z-a"}
        for i in range(2)
    ]
    service = {"kind": "plain_service", "name": "book", "backends": backends}
    service["timeout"] = "2s"
    space = {"kind": "workspace", "name": "w", "services": ["book"]}
    assert isinstance(submit(context, 0, [service, space]), Accepted)
    context.paused.wait(1)


@when("{seconds:g} s pass")
def when_time_passes(context, seconds):
    context.paused.wait(seconds)


@when("the store goes down")
def when_store_down(context):
    context.paused.fleet.platform.faults.down = True


@when("the store comes back")
def when_store_up(context):
    context.paused.fleet.platform.faults.down = False


@when("the store loses every answer")
def when_store_loses(context):
    context.paused.fleet.platform.faults.lose_answer_share = 1.0


@when("the store answers again")
def when_store_answers(context):
    context.paused.fleet.platform.faults.lose_answer_share = 0.0


@when("daemons {indexes} are cut off from the others")
def when_parted(context, indexes):
    context.paused.fleet.part([int(index) for index in indexes.split(",")])


@when("daemons {indexes} are cut off from the store")
def when_store_cut(context, indexes):
    for index in indexes.split(","):
        context.paused.fleet.cut_store(int(index))


@when("every link works again")
def when_healed(context):
    context.paused.fleet.heal()


@when("daemon {index:d} is paused")
def when_paused(context, index):
    context.paused.fleet.daemons_by_index[index].gate.pause()


@when("daemon {index:d} runs again")
def when_resumed(context, index):
    context.paused.fleet.daemons_by_index[index].gate.resume()


@when("daemon {index:d} is killed")
def when_killed(context, index):
    context.paused.run(context.paused.fleet.kill_daemon(index))


@when("daemon {index:d} starts with nothing kept")
def when_started(context, index):
    context.paused.run(context.paused.fleet.start_daemon(index))


@when("the daemon that controls the groups is paused")
def when_holder_paused(context):
    for daemon in context.paused.fleet.daemons_by_index.values():
        if context.paused.read(daemon.get("groups").lease.is_valid):
            daemon.gate.pause()
            context.paused.notes["holder"] = daemon


@when("the paused daemon runs again")
def when_holder_resumed(context):
    context.paused.notes["holder"].gate.resume()


@when("VM {vm} is killed")
def when_vm_killed(context, vm):
    context.paused.read(lambda: context.paused.fleet.engines.kill(vm))


@when("VM {vm} comes back")
def when_vm_back(context, vm):
    context.paused.read(lambda: context.paused.fleet.engines.restart(vm))


@when("the platform shows VM {vm} as leaving")
def when_vm_leaving(context, vm):
    context.paused.notes["leaving_at"] = context.paused.runner.get_loop().time()
    context.paused.notes["leaving_vm"] = vm
    context.paused.read(lambda: context.paused.fleet.engines.leave(vm))


@when("fabric domain {domain} goes dark")
def when_domain_dark(context, domain):
    for vm_id, engine in context.paused.fleet.engines.engines_by_vm.items():
        if engine.vm.fabric_domain == domain:
            when_vm_killed(context, vm_id)


@when("every engine of fabric domain {domain} {misbehaves}")
def when_misbehaves(context, domain, misbehaves):
    for engine in context.paused.fleet.engines.engines_by_vm.values():
        if engine.vm.fabric_domain == domain:
            engine.misbehaviour = misbehaves


@then("{count:d} groups may be used by every daemon")
def then_all_groups(context, count):
    now = context.paused.runner.get_loop().time()
    for daemon in context.paused.fleet.daemons_by_index.values():
        if daemon.gate.paused:
            continue
        replicas = daemon.get("routing").replicas("m")
        permitted = {
            replica.server.id.partition("/")[0]
            for replica in replicas
            if replica.is_permitted(now)
        }
        configured = {f"g-{i}" for i in range(count)}
        assert configured <= permitted, (daemon.index, permitted)


@then("a surplus group may be used by every daemon")
def then_surplus(context):
    now = context.paused.runner.get_loop().time()
    for daemon in context.paused.fleet.daemons_by_index.values():
        assert any(
            replica.server.id.startswith(SURPLUS_PREFIX) and replica.is_permitted(now)
            for replica in daemon.get("routing").replicas("m")
        )


@then("no request came to a group whose VM had been missing for {limit:g} s")
def then_none_sent_late(context, limit):
    assert limit == DETECTION_LIMIT_S
    record = context.paused.fleet.engines.record
    late = [served for served in record if served.missing_s > limit]
    assert not late, late[:1]


@then("no group began or finished a request while a VM was missing")
def then_none_served(context):
    record = context.paused.fleet.engines.record
    wrong = [s for s in record if s.missing_vms and s.event != "arrive"]
    assert not wrong, wrong[:1]


@then("no version of the assignments has a VM in two groups")
def then_no_vm_twice(context):
    versions = context.paused.fleet.platform.versions_written
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
    assert not context.paused.fleet.engines.double_holdings


@then("no engine of the fleet holds another group than is assigned")
def then_engines_agree(context):
    fleet = context.paused.fleet
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


@then("no new request came to VM {vm} later than {limit:g} s after that")
def then_no_new_work(context, vm, limit):
    assert limit == LEAVING_LIMIT_S
    notes = context.paused.notes
    record = context.paused.fleet.engines.record
    late = [
        served
        for served in record
        if served.event == "arrive"
        and served.vm == vm
        and served.at_s > notes["leaving_at"] + limit
    ]
    assert not late, late[:1]
    assert [s for s in record if s.at_s > notes["leaving_at"] + limit], "no requests"


@then("{kind} daemon has revision {revision:d}")
def then_revision(context, kind, revision):
    revisions = {
        daemon.index: daemon.get("configuration").current.revision
        for daemon in context.paused.fleet.daemons_by_index.values()
    }
    if kind != "every":
        revisions = {0: revisions[int(kind.removeprefix("the "))]}
    assert set(revisions.values()) == {revision}, revisions


@then("daemon {index:d} {verb} new requests")
def then_serves(context, index, verb):
    daemon = context.paused.fleet.daemons_by_index[index]
    freshness = context.paused.read(daemon.get("configuration").freshness)
    assert may_serve(freshness) == (verb == "takes"), freshness


@then("the decisions explain group {group} by {text}")
def then_explained(context, group, text):
    paused = context.paused
    daemon = next(iter(paused.fleet.daemons_by_index.values()))
    decisions = paused.run(daemon.get("groups").decisions())
    seen = [
        f"{d.action}: {d.seen} -> {d.chosen}" for d in decisions if d.group == group
    ]
    assert any(text in line for line in seen), seen


async def drain(context, seconds):
    """Wait until begun tasks have ended, at most for ``seconds``."""
    if context.paused.tasks:
        await asyncio.wait(context.paused.tasks, timeout=seconds)
