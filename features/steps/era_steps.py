"""Steps for a store that comes back from an older copy."""

import asyncio

from behave import given, then, when

from features.steps.platform_steps import start_request
from pimentogap.permits._known import BackendLimit
from pimentogap.quarantine import QuarantinedPart, QuarantineList
from pimentogap.store import Conflict, Delete, Put, Written
from standins.emulator import configuration_document

WRITE_AGAIN_S = 0.3


@given("{seconds:g} seconds have passed")
def given_passed(context, seconds):
    context.simulation.wait(seconds)


@when(
    "the platform's store, away for {away:g} seconds, comes back from a copy {age:g}"
    " seconds old"
)
def when_back(context, away, age):
    _go_back(context, away, age, write_again_s=WRITE_AGAIN_S)


@when(
    "the platform's store, away for {away:g} seconds, comes back from a copy {age:g}"
    " seconds old, which is not corrected for {late:g} seconds"
)
def when_back_uncorrected(context, away, age, late):
    _go_back(context, away, age, write_again_s=late)


def _go_back(context, away, age, *, write_again_s):
    store = context.simulation.fleet.store
    context.leaders_before = context.simulation.call_in_loop(
        context.simulation.fleet.leader_names
    )

    async def go_back():
        store.faults.down = True
        store.drop_watches()
        await asyncio.sleep(away)
        store.go_back(age)
        store.faults.down = False
        loop = asyncio.get_running_loop()
        loop.call_later(write_again_s, store.write_again)
        context.back_at = loop.time()

    context.simulation.run(go_back())
    replicas = context.simulation.fleet.replicas_by_id
    context.seqs_at_return = {id_: item.seq for id_, item in replicas.items()}


@when("{count:d} objects are written by others")
def when_others_write(context, count):
    context.simulation.call_in_loop(lambda: _write_others(context, count))


def _write_others(context, count):
    for index in range(count):
        name = f"{index}-{context.simulation.fleet.store.revision}"
        context.simulation.fleet.store.put("others", name, {"index": index})


@when(
    "the platform's store, away for {away:g} seconds, comes back from a copy {age:g}"
    " seconds old, with {count:d} more objects and version {version:d} written before"
    " any daemon asks"
)
def when_back_ahead(context, away, age, count, version):
    store = context.simulation.fleet.store

    async def go_back():
        store.faults.down = True
        store.drop_watches()
        await asyncio.sleep(away)
        store.go_back(age)
        store.put("config", "main", configuration_document(version))
        _write_others(context, count)
        store.faults.down = False

    context.simulation.run(go_back())


@then("no daemon had an older version in force after a newer one")
def then_never_older(context):
    versions = [
        record.kwargs["version"]
        for record in context.log.records
        if record.msg == "configuration in force"
    ]
    daemons = len(context.simulation.fleet.kernels_by_name)
    for version in set(versions):
        assert versions.count(version) <= daemons, versions


@when("the leader is killed, whose term is noted")
def when_leader_killed(context):
    fleet = context.simulation.fleet
    (leader,) = context.simulation.call_in_loop(fleet.leader_names)
    context.first_term = fleet.kernels_by_name[leader].get("lease").term
    context.simulation.run(fleet.kill_daemon(leader))


@then("no term was acquired twice, and each was higher than those before")
def then_terms(context):
    terms = [
        record.kwargs["term"]
        for record in context.log.records
        if record.msg == "lease acquired"
    ]
    first = context.first_term
    assert terms == sorted(set(terms)) and terms[0] > first, (first, terms)


@then("the leader is the one before")
def then_same_leader(context):
    leaders = context.simulation.call_in_loop(context.simulation.fleet.leader_names)
    assert leaders == context.leaders_before, (leaders, context.leaders_before)


@when("plain replica {index:d} drains")
def when_plain_drains(context, index):
    replica = context.simulation.fleet.plain_replicas_by_id[f"p-{index}"]
    context.simulation.call_in_loop(lambda: replica.publish("draining"))


@when("plain replica {index:d} is removed")
def when_plain_removed(context, index):
    store = context.simulation.fleet.store
    context.simulation.call_in_loop(lambda: store.remove("servers", f"p-{index}"))


@when("{count:d} look-ups are requested, {rate:d} a second")
def when_look_ups(context, count, rate):
    names = sorted(context.simulation.fleet.kernels_by_name)
    context.lookups = []
    for index in range(count):
        daemon = names[index % len(names)]
        request = start_request(context, "GET", f"/look/{index}", daemon=daemon)
        context.lookups.append(request)
        context.simulation.wait(1 / rate)


@then("plain replica {index:d} got no request since the store came back")
def then_no_request(context, index):
    assert all(request.response.status == 200 for request in context.lookups)
    late = [
        run
        for run in context.simulation.fleet.records.runs
        if run.replica == f"p-{index}" and run.started_at >= context.back_at
    ]
    assert not late, late


@when("1 more daemon is started")
def when_one_started(context):
    fleet = context.simulation.fleet
    context.simulation.run(fleet.start_daemon(f"front-{len(fleet.kernels_by_name)}"))


@when('the part "{part}" is quarantined by the leader')
def when_leader_quarantines(context, part):
    fleet = context.simulation.fleet
    (leader,) = context.simulation.call_in_loop(fleet.leader_names)
    kernel = fleet.kernels_by_name[leader]
    parts = {part: QuarantinedPart(strikes=9, trial_after_s=60.0)}
    listed = QuarantineList(kernel.get("lease").term, 1, parts)

    def publish():
        kernel.get("quarantine").publish(listed)

    context.simulation.call_in_loop(publish)


@when("a limit of {limit:g} is reported to the leader")
def when_limit_reported(context, limit):
    fleet = context.simulation.fleet
    backend_id = sorted(fleet.replicas_by_id)[0]
    context.limited_id = backend_id

    def report():
        kernel = fleet.kernels_by_name["front-1"]
        backend = kernel.get("directory").backends_by_id[backend_id]
        named = BackendLimit(backend.incarnation, limit)
        kernel.get("permits").report_limit(backend, named)

    context.simulation.call_in_loop(report)


@then('the store lists every daemon, the part "{part}" and the limit of {limit:g}')
def then_store_lists(context, part, limit):
    fleet = context.simulation.fleet
    objects = fleet.store.objects_by_kind
    missing = set(fleet.kernels_by_name) - set(objects["daemons"])
    assert not missing, missing
    assert part in objects["quarantine"]["parts"]["specification"]["parts"]
    limits = objects["limits"]["named"]["specification"]["limits"]
    assert limits[context.limited_id][1] == limit, limits


@then('every daemon knows the part "{part}" and the limit of {limit:g}')
def then_daemons_know(context, part, limit):
    context.simulation.call_in_loop(lambda: _check_all_know(context, part))


def _check_all_know(context, part):
    for name, kernel in context.simulation.fleet.kernels_by_name.items():
        assert part in kernel.get("quarantine").blocked_keys(), name
        backend = kernel.get("directory").backends_by_id[context.limited_id]
        assert kernel.get("permits").is_limited(backend), name


@when(
    "an object is written whose revision is given out again by another after the store"
    " went back"
)
def when_revision_again(context):
    fleet = context.simulation.fleet
    store = fleet.kernels_by_name["front-0"].get("store")

    async def write_twice():
        await asyncio.sleep(1.0)
        first = await store.write(Put("own", "it", {"by": "first"}), retry_for_s=1.0)
        assert isinstance(first, Written)
        fleet.store.go_back(0.5)
        fleet.store.revision = _number(first.version) - 1
        fleet.store.put("own", "it", {"by": "second"})
        return first.version

    context.first_version = context.simulation.run(write_twice())


@when("the daemon has heard of the new era")
def when_era_heard(context):
    store = context.simulation.fleet.kernels_by_name["front-0"].get("store")
    context.simulation.run(store.get("own", "it"))


def _number(version):
    return getattr(version, "number", version)


@then("a write that depends on the first is refused, and tells the second")
def then_refused(context):
    for call in (
        Put("own", "it", {"by": "third"}, context.first_version),
        Delete("own", "it", context.first_version),
    ):
        assert _conflicting(context, call) == {"by": "second"}
    objects = context.simulation.fleet.store.objects_by_kind["own"]
    assert objects["it"]["specification"] == {"by": "second"}, objects


@then("a write that depends on the first is told to be refused, with what is there now")
def then_told_refused(context):
    call = Put("own", "it", {"by": "third"}, context.first_version)
    told = _conflicting(context, call)
    objects = context.simulation.fleet.store.objects_by_kind["own"]
    assert told == objects["it"]["specification"], (told, objects)


def _conflicting(context, call):
    """Return the value that a refused write tells."""
    store = context.simulation.fleet.kernels_by_name["front-0"].get("store")
    match context.simulation.run(store.write(call, retry_for_s=1.0)):
        case Conflict(current) if current is not None:
            return current.value
        case outcome:
            raise AssertionError(outcome)
