"""Steps on front daemons before an emulated platform."""

import asyncio

import logbook
from behave import given, then, when

from pimentogap.ingress import LATE_REQUEST_DELAY_S
from pimentogap.store import Stored
from standins.emulator import (
    EmulatedFleet,
    configuration_document,
)

FORMED_WITHIN_S = 6.0


@given("a platform with {domains:d} fabric domains of {size:d} and {daemons:d} daemons")
def given_platform(context, domains, size, daemons):
    async def start():
        fleet = EmulatedFleet()
        await fleet.start(daemons=daemons, domains=domains, domain_size=size)
        return fleet

    context.paused.fleet = context.paused.run(start())


@given("its groups are open")
def given_open(context):
    context.paused.wait(FORMED_WITHIN_S)
    assert context.paused.fleet.open_groups("large")
    assert context.paused.fleet.open_groups("small")


@given("traffic has begun")
def given_traffic(context):
    request = begin(context, "GET", "/look/first")
    context.paused.wait(0.5)
    assert request.response.status == 200


@given("no configuration has been written")
def given_no_configuration(context):
    async def start():
        fleet = EmulatedFleet()
        await fleet.start_daemon("front-0")
        return fleet

    context.paused.fleet = context.paused.run(start())


@when("{seconds:g} seconds pass")
def when_pass(context, seconds):
    context.paused.wait(seconds)


@when("{count:d} streams of model {model} are requested")
def when_streams(context, count, model):
    names = sorted(context.paused.fleet.kernels_by_name)
    context.streams = [
        begin(context, "POST", "/draft/x", daemon=names[i % len(names)], model=model)
        for i in range(count)
    ]


@when("{count:d} bookings are requested")
def when_bookings(context, count):
    names = sorted(context.paused.fleet.kernels_by_name)
    context.bookings = [
        begin(context, "POST", "/book/x", daemon=names[i % len(names)])
        for i in range(count)
    ]


@when("{count:d} look-ups are requested")
def when_lookups(context, count):
    context.lookups = [begin(context, "GET", "/look/x") for _ in range(count)]


@when("a member of a group of model {model} is lost for good")
def when_member_lost(context, model):
    fleet = context.paused.fleet
    head = fleet.open_groups(model)[0]
    context.lost = head.place.members[-1]
    fleet.lose_replica(context.lost)


@when("a member of the last group of model {model} is lost for good")
def when_last_member_lost(context, model):
    fleet = context.paused.fleet
    head = fleet.open_groups(model)[-1]
    context.lost = head.place.members[-1]
    fleet.lose_replica(context.lost)


@when("the head of a group of model {model} is lost for good")
def when_head_lost(context, model):
    fleet = context.paused.fleet
    context.lost = fleet.open_groups(model)[0].id
    fleet.lose_replica(context.lost)


@when("the head of a group of model {model} is cut off from the store")
def when_head_cut(context, model):
    head = context.paused.fleet.open_groups(model)[0]
    head.cut_from_store = True
    context.lost = head.id


@when("its entry lapses")
def when_lapses(context):
    context.paused.fleet.store.remove("servers", context.lost)


@when("the leader is killed")
def when_leader_killed(context):
    fleet = context.paused.fleet
    (leader,) = fleet.leaders()
    context.paused.run(fleet.kill_daemon(leader))


@when("the relay is cut off from the store in silence")
def when_relay_cut(context):
    fleet = context.paused.fleet

    def give_lead_to_another():
        # The leader reads the store itself; the relay must be another daemon.
        leaders = fleet.leaders()
        relays = set(fleet.kernels_by_name) - set(leaders)
        context.cut = sorted(relays)[0]
        value = {"zone": "z-a", "address": f"{context.cut}:27002"}
        for kernel in fleet.kernels_by_name.values():
            kernel.get("daemons").update_from_list([Stored(context.cut, 1, value)])

    context.paused.read(give_lead_to_another)
    document = {**configuration_document(1), "note": "makes every daemon ask again"}
    fleet.store.put("config", "main", document)
    context.paused.wait(1.0)
    fleet.store.faults.silent_sources.add(context.cut)


@when(
    "the store is silent to {whom} for {seconds:g} seconds,"
    " and version {version:d} is written"
)
def when_silent_for(context, whom, seconds, version):
    fleet = context.paused.fleet
    faults = fleet.store.faults
    faults.silent = whom == "everybody"
    if not faults.silent:
        faults.silent_sources.update(fleet.kernels_by_name)
    context.paused.wait(seconds / 2)
    fleet.store.put("config", "main", configuration_document(version))
    context.paused.wait(seconds / 2)
    faults.silent = False
    faults.silent_sources.clear()


@then("the version in force at all others is {version:d}")
def then_version_at_others(context, version):
    for name, kernel in context.paused.fleet.kernels_by_name.items():
        current = kernel.get("serving_configuration").current
        assert name == context.cut or current.version == version, name


@when("two daemons that do not lead take each other for the relay")
def when_cycle(context):
    fleet = context.paused.fleet
    leaders = context.paused.read(fleet.leaders)
    first, second = sorted(set(fleet.kernels_by_name) - set(leaders))[:2]

    def take(name, other):
        value = {"zone": "z-a", "address": f"{other}:27002"}
        daemons = fleet.kernels_by_name[name].get("daemons")
        daemons.update_from_list([Stored(other, 1, value)])

    context.paused.read(lambda: (take(first, second), take(second, first)))


@when("the relays of front-2 are front-0 and, in another zone, front-1")
def when_relays(context):
    value = {"zone": "z-b", "address": "front-1:27002"}
    context.paused.read(
        lambda: context.paused.fleet.store.put("daemons", "front-1", value)
    )


@when("front-0 is killed")
def when_front_killed(context):
    context.paused.run(context.paused.fleet.kill_daemon("front-0"))
    store = context.paused.fleet.kernels_by_name["front-2"].get("store")
    context.watches_before = store.calls_by_kind.get("Watch", 0)


@when("{count:d} versions of the configuration are written, one each {pause:g} seconds")
def when_versions(context, count, pause):
    for version in range(2, 2 + count):
        document = configuration_document(version)
        context.paused.fleet.store.put("config", "main", document)
        context.paused.wait(pause)
    context.last_version = 1 + count


@then("front-2 has the last version, and made no more than {most:d} watches meanwhile")
def then_watches(context, most):
    kernel = context.paused.fleet.kernels_by_name["front-2"]
    watches = kernel.get("store").calls_by_kind["Watch"] - context.watches_before
    context.paused.wait(1.0)
    current = kernel.get("serving_configuration").current
    assert current.version == context.last_version, current.version
    assert watches <= most, watches


@when("every daemon is killed and started again")
def when_all_killed(context):
    fleet = context.paused.fleet

    async def restart():
        names = list(fleet.kernels_by_name)
        for name in names:
            await fleet.kill_daemon(name)
        for name in names:
            await fleet.start_daemon(name)

    context.paused.run(restart())


@when("a replica of a group of model {model} says that it drains")
def when_drains(context, model):
    fleet = context.paused.fleet
    head = fleet.open_groups(model)[0]
    context.draining = head.place.members[-1]
    replica = fleet.replicas_by_id[context.draining]
    replica.state = "draining"
    replica.publish()
    context.drained_head = head.id


@when("the store is {state}")
def when_store(context, state):
    faults = context.paused.fleet.store.faults
    faults.down = state == "down"
    faults.silent = state == "silent"


@when("every entry of model replicas lapses")
def when_all_lapse(context):
    fleet = context.paused.fleet
    for id_ in fleet.replicas_by_id:
        fleet.store.remove("servers", id_)


@when("every model replica writes its entry again")
def when_all_return(context):
    for replica in context.paused.fleet.replicas_by_id.values():
        replica.publish()


@when("the store forgets its history")
def when_forgets(context):
    context.paused.fleet.store.drop_history()


@when("version {version:d} of the configuration has no key")
def when_keys_gone(context, version):
    document = configuration_document(version, keys=())
    context.paused.fleet.store.put("config", "main", document)


@when("version {version:d} of the configuration is written")
def when_version(context, version):
    document = configuration_document(version)
    context.paused.fleet.store.put("config", "main", document)


@when("a configuration that cannot be read is written")
def when_unreadable(context):
    context.paused.fleet.store.put("config", "main", {"version": 9, "routes": 7})


@given("front-0 was told to stop {ago:g} seconds ago, with {span:g} seconds in all")
def given_stopping(context, ago, span):
    forwarding = context.paused.fleet.kernels_by_name["front-0"].get("forwarding")

    def end():
        began_at = asyncio.get_running_loop().time() - ago
        forwarding.prepare_stop(
            began_at + span, refuse_long_at=began_at + LATE_REQUEST_DELAY_S
        )

    context.paused.read(end)


@when("front-0 gets a {what}")
def when_asked(context, what):
    method, path = {"stream": ("POST", "/draft/x"), "look-up": ("GET", "/look/x")}[what]
    context.request = begin(context, method, path)


@then("the answer is {status:d}")
def then_answer(context, status):
    assert context.request.response.status == status, context.request.response.status
    assert context.request.response.ended


@given("the log is read")
def given_log(context):
    context.log = logbook.TestHandler(level="INFO")
    context.log.push_application()
    context.add_cleanup(context.log.pop_application)


@when("the callers leave")
def when_leave(context):
    def leave():
        for stream in context.streams:
            stream.task.cancel()

    context.paused.read(leave)
    context.paused.wait(0.1)


@then('the line "{event}" of the first stream has a send that was "{what}"')
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
    for replica in context.paused.fleet.plain_by_id.values():
        replica.lose_answers = share


@when("all replicas of the plain service refuse {share:g} of their requests")
def when_refusals(context, share):
    for replica in context.paused.fleet.plain_by_id.values():
        replica.refusals = share


@when("replica {index:d} of the plain service is dark")
def when_plain_dark(context, index):
    context.paused.fleet.plain_by_id[f"p-{index}"].dark = True


@when("{share:g} of the orders are carried out late and not answered")
def when_orders_late(context, share):
    for replica in context.paused.fleet.replicas_by_id.values():
        replica.late_orders = share


@when("orders to leave take {seconds:g} seconds")
def when_leaves_slow(context, seconds):
    for replica in context.paused.fleet.replicas_by_id.values():
        replica.order_delays_s["leave"] = seconds


@then("the metrics of the leader show {count:d} open groups of model {model}")
def then_shown(context, count, model):
    fleet = context.paused.fleet
    (leader,) = context.paused.read(fleet.leaders)
    text = fleet.kernels_by_name[leader].get("metrics").text()
    labels = f'service="llm",workspace="-",model="{model}"'
    assert f"pimentogap_open_groups{{{labels}}} {count}\n" in text, text


@then("no other daemon shows open groups")
def then_not_shown(context):
    fleet = context.paused.fleet
    leaders = context.paused.read(fleet.leaders)
    for name, kernel in fleet.kernels_by_name.items():
        shown = "open_groups" in kernel.get("metrics").text()
        assert shown is (name in leaders), name


@then("one daemon leads")
def then_one_leads(context):
    leaders = context.paused.read(context.paused.fleet.leaders)
    assert len(leaders) == 1, leaders


@then("there are at least {count:d} open groups of model {model}")
def then_groups(context, count, model):
    heads = [head.id for head in context.paused.fleet.open_groups(model)]
    assert len(heads) >= count, heads


@then("no promise about groups was broken")
def then_no_breach(context):
    records = context.paused.fleet.records
    assert not records.two, records.two
    assert not records.partial, records.partial


@then("every stream is whole, each event once")
def then_streams_whole(context):
    for stream in context.streams:
        assert stream.response.ended, (stream.id, stream.response.status)
        assert stream.events() == list(range(1, 28)), stream.events()


@then("no stream paused for more than {seconds:g} seconds")
def then_no_pause(context, seconds):
    for stream in context.streams:
        times = stream.response.times
        pauses = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert max(pauses) <= seconds, (stream.id, max(pauses))


@then("no booking ran twice")
def then_not_twice(context):
    records = context.paused.fleet.records
    for booking in context.bookings:
        assert len(records.runs_of(booking.id)) <= 1, booking.id


@then("every booking that was refused with a promise did not run")
def then_promise(context):
    records = context.paused.fleet.records
    for booking in context.bookings:
        if booking.response.status in (408, 421, 429, 503):
            assert not records.runs_of(booking.id), booking.id


@then("every booking has a final answer")
def then_booked(context):
    for booking in context.bookings:
        assert booking.response.ended, booking.id


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
    for name in sorted(context.paused.fleet.kernels_by_name):
        request = begin(context, "GET", "/look/x", daemon=name)
        context.paused.wait(1.0)
        assert request.response.status == status, (name, request.response.status)


@then("the version in force is {version:d}")
def then_version(context, version):
    for kernel in context.paused.fleet.kernels_by_name.values():
        current = kernel.get("serving_configuration").current
        assert current.version == version, current.version


@then("no new request reaches the draining group")
def then_nothing_new(context):
    fleet = context.paused.fleet
    before = len(fleet.records.runs)
    for _ in range(20):
        begin(context, "POST", "/draft/x")
    context.paused.wait(4.0)
    late = [run.replica for run in fleet.records.runs[before:]]
    assert late and context.drained_head not in late, late


@then("fewer than {count:d} model loads were started after the first request")
def then_loads(context, count):
    loads = context.paused.fleet.records.loads
    assert len(loads) < count, loads


@then("the workspace at the replicas is the one that holds the key")
def then_workspace(context):
    for stream in context.streams:
        for run in context.paused.fleet.records.runs_of(stream.id):
            assert run.workspace == "w1", run


@when("{count:d} empty replicas are added to each of {domains:d} fabric domains")
def when_added(context, count, domains):
    fleet = context.paused.fleet

    def add():
        for domain in range(domains):
            for index in range(count):
                fleet.add_replica(f"d{domain}", 100 + index)

    context.paused.read(add)


@then("there were never more than {count:d} loads at once")
def then_loading(context, count):
    most = context.paused.fleet.records.most_loading
    assert most <= count, most


def begin(context, method, path, **options):
    """Send a request on the paused clock."""

    async def start():
        return context.paused.fleet.begin(method, path, **options)

    request = context.paused.run(start())
    context.paused.tasks.append(request.task)
    return request
