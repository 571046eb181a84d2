"""Steps for front daemons on an emulated platform."""

import asyncio

import logbook
from behave import given, then, when

from pimentogap.ingress import LATE_REQUEST_DELAY_S
from pimentogap.store import Stored
from standins.emulator import (
    MODEL_SERVICE,
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


@when("{count:d} streams of model {model} are requested")
def when_streams(context, count, model):
    names = sorted(context.simulation.fleet.kernels_by_name)
    context.streams = [
        start_request(
            context, "POST", "/draft/x", daemon=names[i % len(names)], model=model
        )
        for i in range(count)
    ]


@when("{rate:d} streams of model {model} arrive each second for {seconds:d} seconds")
def when_streams_arrive(context, rate, model, seconds):
    names = sorted(context.simulation.fleet.kernels_by_name)
    streams = []
    for index in range(rate * seconds):
        daemon = names[index % len(names)]
        streams.append(
            start_request(context, "POST", "/draft/x", daemon=daemon, model=model)
        )
        context.simulation.wait(1 / rate)
    context.streams = getattr(context, "streams", []) + streams


@then("the replicas ran at most {most:g} attempts for each stream")
def then_attempts(context, most):
    records = context.simulation.fleet.records
    ids = {stream.id for stream in context.streams}
    runs = [run for run in records.runs if run.attempt_id in ids]
    assert len(runs) <= most * len(ids), (len(runs), len(ids))


@when("{count:d} bookings are requested")
def when_bookings(context, count):
    names = sorted(context.simulation.fleet.kernels_by_name)
    context.bookings = [
        start_request(context, "POST", "/book/x", daemon=names[i % len(names)])
        for i in range(count)
    ]


@when("{count:d} look-ups are requested")
def when_lookups(context, count):
    context.lookups = [start_request(context, "GET", "/look/x") for _ in range(count)]


@when("a member of a group of model {model} is lost for good")
def when_member_lost(context, model):
    fleet = context.simulation.fleet
    head = fleet.open_group_heads(model)[0]
    context.failed_replica = head.place.members[-1]
    fleet.lose_replica(context.failed_replica)


@when("a member of the last group of model {model} is lost for good")
def when_last_member_lost(context, model):
    fleet = context.simulation.fleet
    head = fleet.open_group_heads(model)[-1]
    context.failed_replica = head.place.members[-1]
    fleet.lose_replica(context.failed_replica)


@when("the head of a group of model {model} is lost for good")
def when_head_lost(context, model):
    fleet = context.simulation.fleet
    context.failed_replica = fleet.open_group_heads(model)[0].id
    fleet.lose_replica(context.failed_replica)


@when("the head of a group of model {model} is cut off from the store")
def when_head_cut_off(context, model):
    head = context.simulation.fleet.open_group_heads(model)[0]
    head.cut_from_store = True
    context.failed_replica = head.id


@when("a member of a group of model {model} is cut off from the store")
def when_member_cut_off(context, model):
    fleet = context.simulation.fleet
    heads = fleet.open_group_heads(model)
    context.groups_before = {head.place.group for head in heads}
    context.failed_replica = heads[0].place.members[-1]
    fleet.replicas_by_id[context.failed_replica].cut_from_store = True


@when("a joining member of a group is cut off from the store")
def when_joining_member_cut_off(context):
    fleet = context.simulation.fleet
    joining = [
        replica
        for replica in fleet.replicas_by_id.values()
        if replica.place is not None and replica.place.state == "joining"
    ]
    replica = max(joining, key=lambda item: item.place.rank)
    replica.cut_from_store = True
    context.failed_replica = replica.id


@when("a member of a group of model {model} leaves without having said so")
def when_member_leaves_silently(context, model):
    fleet = context.simulation.fleet
    context.failed_replica = fleet.open_group_heads(model)[0].place.members[-1]
    replica = fleet.replicas_by_id[context.failed_replica]
    replica.cut_from_store = True
    replica.state = "draining"


@when("the member reaches the store again")
def when_member_back(context):
    replica = context.simulation.fleet.replicas_by_id[context.failed_replica]
    replica.cut_from_store = False
    replica.publish()


@then("there are {count:d} open groups of model {model}, each since before the cut")
def then_same_groups(context, count, model):
    heads = context.simulation.fleet.open_group_heads(model)
    groups = {head.place.group for head in heads}
    assert groups == context.groups_before and len(groups) == count, groups


@then("every daemon knows {count:d} heads of model {model}")
def then_heads_known(context, count, model):
    for name, kernel in context.simulation.fleet.kernels_by_name.items():
        heads = kernel.get("directory").heads(MODEL_SERVICE, model)
        assert len(heads) == count, (name, heads)


@when("its entry expires")
def when_entry_expires(context):
    context.simulation.fleet.store.remove("servers", context.failed_replica)


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
    value = {"zone": "z-b", "address": "front-1:27002"}
    context.simulation.call_in_loop(
        lambda: context.simulation.fleet.store.put("daemons", "front-1", value)
    )


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


@when("a member of a group of model {model} reports that it is draining")
def when_drains(context, model):
    fleet = context.simulation.fleet
    head = fleet.open_group_heads(model)[0]
    context.draining_member = head.place.members[-1]
    replica = fleet.replicas_by_id[context.draining_member]
    replica.state = "draining"
    replica.publish()
    context.draining_head = head.id


@when("the store is {state}")
def when_store(context, state):
    faults = context.simulation.fleet.store.faults
    faults.down = state == "down"
    faults.silent = state == "silent"


@when("the entry of every model replica expires")
def when_all_entries_expire(context):
    fleet = context.simulation.fleet
    for id_ in fleet.replicas_by_id:
        fleet.store.remove("servers", id_)


@when("every model replica writes its entry again")
def when_all_entries_written(context):
    for replica in context.simulation.fleet.replicas_by_id.values():
        replica.publish()


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


@given("front-0 was told {ago:g} seconds ago to stop within {span:g} seconds")
def given_stopping(context, ago, span):
    forwarding = context.simulation.fleet.kernels_by_name["front-0"].get("forwarding")

    def announce_stop():
        told_at = asyncio.get_running_loop().time() - ago
        forwarding.prepare_stop(
            told_at + span, refuse_long_at=told_at + LATE_REQUEST_DELAY_S
        )

    context.simulation.call_in_loop(announce_stop)


@when("front-0 receives a {what}")
def when_request_received(context, what):
    method, path = {"stream": ("POST", "/draft/x"), "look-up": ("GET", "/look/x")}[what]
    context.request = start_request(context, method, path)


@then("the answer is {status:d}")
def then_answer(context, status):
    assert context.request.response.status == status, context.request.response.status
    assert context.request.response.is_finished


@given("the log is captured")
def given_log(context):
    context.log = logbook.TestHandler(level="INFO")
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)


@when("the callers disconnect")
def when_callers_disconnect(context):
    def cancel_streams():
        for stream in context.streams:
            stream.task.cancel()

    context.simulation.call_in_loop(cancel_streams)
    context.simulation.wait(0.1)


@then('the log line "{event}" of the first stream has an attempt that was "{what}"')
def then_logged(context, event, what):
    id_ = context.streams[0].id
    (line,) = [
        record.kwargs
        for record in context.log.records
        if record.msg == event and record.kwargs.get("id") == id_
    ]
    ((_, outcome),) = line["sends"]
    assert outcome.startswith(what), line


@when("all replicas of the plain service lose {share:g} of their answers")
def when_answers_lost(context, share):
    for replica in context.simulation.fleet.plain_replicas_by_id.values():
        replica.lose_answer_share = share


@when("all replicas of the plain service refuse {share:g} of their requests")
def when_refusals(context, share):
    for replica in context.simulation.fleet.plain_replicas_by_id.values():
        replica.refusal_share = share


@when("replica {index:d} of the plain service is unreachable")
def when_plain_unreachable(context, index):
    context.simulation.fleet.plain_replicas_by_id[f"p-{index}"].is_silent = True


@when("{share:g} of the orders are carried out late and not answered")
def when_orders_late(context, share):
    for replica in context.simulation.fleet.replicas_by_id.values():
        replica.late_order_share = share


@when("orders to leave take {seconds:g} seconds")
def when_leaves_slow(context, seconds):
    for replica in context.simulation.fleet.replicas_by_id.values():
        replica.order_delays_s["leave"] = seconds


@then("the metrics of the leader show {count:d} open groups of model {model}")
def then_open_groups_exported(context, count, model):
    fleet = context.simulation.fleet
    (leader,) = context.simulation.call_in_loop(fleet.leader_names)
    text = fleet.kernels_by_name[leader].get("metrics").text()
    labels = f'service="llm",workspace="-",model="{model}"'
    assert f"pimentogap_open_groups{{{labels}}} {count}\n" in text, text


@then("no other daemon exports the number of open groups")
def then_only_leader_exports(context):
    fleet = context.simulation.fleet
    leaders = context.simulation.call_in_loop(fleet.leader_names)
    for name, kernel in fleet.kernels_by_name.items():
        shown = "open_groups" in kernel.get("metrics").text()
        assert shown is (name in leaders), name


@then("exactly one daemon is leader")
def then_one_leads(context):
    leaders = context.simulation.call_in_loop(context.simulation.fleet.leader_names)
    assert len(leaders) == 1, leaders


@then("there are at least {count:d} open groups of model {model}")
def then_groups(context, count, model):
    heads = [head.id for head in context.simulation.fleet.open_group_heads(model)]
    assert len(heads) >= count, heads


@then("no replica was in two groups, and no incomplete group ran a request")
def then_groups_consistent(context):
    records = context.simulation.fleet.records
    assert not records.replicas_in_two_groups, records.replicas_in_two_groups
    assert not records.runs_in_incomplete_groups, records.runs_in_incomplete_groups


@then("every stream is complete, with each event exactly once")
def then_streams_complete(context):
    for stream in context.streams:
        assert stream.response.is_finished, (stream.id, stream.response.status)
        assert stream.events() == list(range(1, 28)), stream.events()


@then("no stream paused for more than {seconds:g} seconds")
def then_no_pause(context, seconds):
    for stream in context.streams:
        times = stream.response.write_times
        pauses = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert max(pauses) <= seconds, (stream.id, max(pauses))


@given("one head of model {model} trickles after {count:d} events")
def given_trickling(context, model, count):
    head = context.simulation.fleet.open_group_heads(model)[0]
    head.trickles_after = count


@given("every replica of the model service is {factor:g} times slower")
def given_slow(context, factor):
    for replica in context.simulation.fleet.replicas_by_id.values():
        replica.slow_factor = factor


@then("no stream had more than {count:d} attempts")
def then_few_attempts(context, count):
    for stream in context.streams:
        runs = context.simulation.fleet.records.runs_of(stream.id)
        assert len(runs) <= count, (stream.id, runs)


@then("no booking ran twice")
def then_no_booking_twice(context):
    records = context.simulation.fleet.records
    for booking in context.bookings:
        assert len(records.runs_of(booking.id)) <= 1, booking.id


@then("every booking that was refused as not run did not run")
def then_refused_not_run(context):
    records = context.simulation.fleet.records
    for booking in context.bookings:
        if booking.response.status in (408, 421, 429, 503):
            assert not records.runs_of(booking.id), booking.id


@then("every booking has a final answer")
def then_bookings_answered(context):
    for booking in context.bookings:
        assert booking.response.is_finished, booking.id


@then("at least {count:d} bookings succeed")
def then_succeed(context, count):
    good = [b for b in context.bookings if b.response.status == 200]
    assert len(good) >= count, [b.response.status for b in context.bookings]


@then("every look-up succeeds")
def then_lookups(context):
    statuses = [lookup.response.status for lookup in context.lookups]
    assert set(statuses) == {200}, statuses


@then("a look-up at any daemon gets {status:d}")
def then_lookup_status(context, status):
    for name in sorted(context.simulation.fleet.kernels_by_name):
        request = start_request(context, "GET", "/look/x", daemon=name)
        context.simulation.wait(1.0)
        assert request.response.status == status, (name, request.response.status)


@then("the version in force is {version:d}")
def then_version(context, version):
    for kernel in context.simulation.fleet.kernels_by_name.values():
        current = kernel.get("serving_configuration").current
        assert current.version == version, current.version


@then("no new request reaches the draining group")
def then_no_new_request(context):
    fleet = context.simulation.fleet
    before = len(fleet.records.runs)
    for _ in range(20):
        start_request(context, "POST", "/draft/x")
    context.simulation.wait(4.0)
    late = [run.replica for run in fleet.records.runs[before:]]
    assert late and context.draining_head not in late, late


@then("fewer than {count:d} model loads were started after the first request")
def then_loads(context, count):
    loads = context.simulation.fleet.records.loads
    assert len(loads) < count, loads


@then("the replicas receive the workspace that owns the caller's key")
def then_workspace(context):
    for stream in context.streams:
        for run in context.simulation.fleet.records.runs_of(stream.id):
            assert run.workspace == "w1", run


@when("{count:d} empty replicas are added to each of {domains:d} fabric domains")
def when_added(context, count, domains):
    fleet = context.simulation.fleet

    def add():
        for domain in range(domains):
            for index in range(count):
                fleet.add_replica(f"d{domain}", 100 + index)

    context.simulation.call_in_loop(add)


@then("every replica holds weights")
def then_all_staged(context):
    replicas = context.simulation.fleet.replicas_by_id.values()
    empty = [replica.id for replica in replicas if not replica.staged]
    assert not empty, empty


@then("there were never more than {count:d} loads at once")
def then_loading(context, count):
    most = context.simulation.fleet.records.max_concurrent_loads
    assert most <= count, most


def start_request(context, method, path, **options):
    """Send a request to a front daemon and return it while it is in flight."""

    async def start():
        return context.simulation.fleet.send_request(method, path, **options)

    request = context.simulation.run(start())
    context.simulation.tasks.append(request.task)
    return request
