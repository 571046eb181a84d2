"""Steps for prompt parts that crash replicas."""

import asyncio

from behave import given, then, when

from features.steps.platform_steps import start_request
from standins.emulator import configuration_document, default_routes

FIFTH = 5
STREAMS_PER_S = 30


@given("streams of {count:d} first parts have been served for {seconds:d} seconds")
def given_served(context, count, seconds):
    context.first_parts = [f"first-{index}" for index in range(count)]
    context.streams = []
    _send_streams(context, STREAMS_PER_S, seconds)


@given('the part "{part}" crashes each replica that begins to write on it')
def given_deadly(context, part):
    for replica in context.simulation.fleet.replicas_by_id.values():
        replica.deadly_parts = (part,)


@when('{count:d} streams with the parts "{first}" and "{second}" are requested')
def when_parts(context, count, first, second):
    context.streams = [
        start_request(context, "POST", "/draft/x", parts=(first, second))
        for _ in range(count)
    ]


@when(
    "{rate:d} streams arrive each second for {seconds:d} seconds,"
    ' and {share:g} of them have the part "{part}"'
)
def when_tainted(context, rate, seconds, share, part):
    context.streams = []
    _send_streams(context, rate, seconds, part=part, every=round(1 / share))


def _send_streams(context, rate, seconds, *, part=None, every=0):
    """Send streams to all daemons; every ``every``-th has ``part`` after its first."""
    names = sorted(context.simulation.fleet.kernels_by_name)
    for index in range(round(rate * seconds)):
        is_tainted = every > 0 and index % every == every - 1
        first = context.first_parts[0 if is_tainted else index % 12]
        stream = start_request(
            context,
            "POST",
            "/draft/x",
            daemon=names[index % len(names)],
            parts=(first, part) if is_tainted else (first,),
        )
        context.streams.append(stream)
        context.simulation.wait(1 / rate)


@then(
    'at most {most:d} requests with "{part}" were sent later than {seconds:g} seconds'
    " after the fifth crash"
)
def then_few_late(context, most, part, seconds):
    records = context.simulation.fleet.records
    if len(records.crashes) < FIFTH:
        return
    limit = records.crashes[FIFTH - 1].at + seconds
    late = [
        arrival
        for arrival in records.arrivals
        if part in arrival.parts and arrival.arrived_at > limit
    ]
    assert len(late) <= most, len(late)


@then("at most {most:d} replicas crashed")
def then_few_crashes(context, most):
    crashes = context.simulation.fleet.records.crashes
    assert len(crashes) <= most, [(crash.replica, crash.at) for crash in crashes]


@then(
    "at least {share:g} of the sound streams of the same first part began at the first"
    " attempt from {seconds:g} seconds after the last crash that counts"
)
def then_sound_served(context, share, seconds):
    fleet = context.simulation.fleet
    counted = fleet.records.crashes[:FIFTH]
    start = counted[-1].at + seconds
    arrivals_by_id = {}
    for arrival in fleet.records.arrivals:
        arrivals_by_id.setdefault(arrival.attempt_id, []).append(arrival)
    sound = [
        stream
        for stream in context.streams
        if stream.sent_at >= start and stream.parts == (context.first_parts[0],)
    ]
    served = [
        stream
        for stream in sound
        if stream.response.status == 200 and len(arrivals_by_id[stream.id]) == 1
    ]
    assert len(sound) >= 20, len(sound)
    assert len(served) >= share * len(sound), (len(served), len(sound))


@then(
    'the log lines "{first}" and "{second}" of the first stream name "{part}"',
)
def then_logged_parts(context, first, second, part):
    id_ = context.streams[0].id
    for event in (first, second):
        lines = [
            record.kwargs
            for record in context.log.records
            if record.msg == event and record.kwargs.get("id") == id_
        ]
        assert lines and part in lines[0]["parts"], (event, lines)


@when("every daemon has loaded the list of quarantined parts")
def when_loaded(context):
    for _ in range(40):
        context.simulation.wait(0.1)
        if all(service.loaded for service in quarantines(context)):
            return
    raise AssertionError("the list was not loaded within 4 s")


@then('every daemon refuses a request with the part "{part}" as not run, at once')
def then_refused(context, part):
    names = sorted(context.simulation.fleet.kernels_by_name)
    requests = [
        start_request(context, "POST", "/draft/x", daemon=name, parts=("x", part))
        for name in names
    ]
    context.simulation.wait(0.05)
    statuses = [request.response.status for request in requests]
    assert statuses == [503] * len(names), statuses
    assert all(float(r.response.headers["retry-after"]) > 0 for r in requests)


@when('{event} while streams with the part "{part}" arrive for {seconds:d} seconds')
def when_event_amid(context, event, part, seconds):
    what, _, crashes = event.partition(" after ")
    threshold = int(crashes.split()[0])
    context.streams = []
    fleet = context.simulation.fleet
    has_happened = False
    for _ in range(seconds * 2):
        _send_streams(context, STREAMS_PER_S, 0.5, part=part, every=15)
        if not has_happened and len(fleet.records.crashes) >= threshold:
            has_happened = True
            EVENTS_BY_NAME[what](context)
    assert has_happened


def kill_leader(context):
    fleet = context.simulation.fleet
    for name in context.simulation.call_in_loop(fleet.leader_names):
        context.simulation.run(fleet.kill_daemon(name))


def cut_off_relay(context):
    """Cut the first daemon that does not lead off from the store and the others."""
    fleet = context.simulation.fleet
    leaders = context.simulation.call_in_loop(fleet.leader_names)
    relay = sorted(set(fleet.kernels_by_name) - set(leaders))[0]
    fleet.store.faults.silent_sources.add(relay)
    for name in fleet.kernels_by_name:
        fleet.cut_calls.add((f"{name}:27002", f"{relay}:27002"))


def drop_history(context):
    context.simulation.fleet.store.drop_history()


def fail_calls(context):
    """Let each call to the leader fail for 1 s."""
    fleet = context.simulation.fleet
    leaders = context.simulation.call_in_loop(fleet.leader_names)
    pairs = {
        (f"{name}:27002", f"{leader}:27002")
        for name in fleet.kernels_by_name
        for leader in leaders
    }
    fleet.cut_calls.update(pairs)
    _send_streams(context, STREAMS_PER_S, 1, part="deadly", every=15)
    fleet.cut_calls.difference_update(pairs)


EVENTS_BY_NAME = {
    "the leader is killed": kill_leader,
    "a relay is cut off": cut_off_relay,
    "the store forgets its history": drop_history,
    "calls to the leader fail for 1 s": fail_calls,
}


@when(
    'requests with the parts "{first}" and "{second}" arrive until both are quarantined'
)
def when_both_quarantined(context, first, second):
    names = sorted(context.simulation.fleet.kernels_by_name)
    for index in range(20):
        start_request(
            context,
            "POST",
            "/draft/x",
            daemon=names[index % len(names)],
            parts=(first, second),
        )
        context.simulation.wait(0.2)
        if all(is_quarantined(quarantines(context)[0], p) for p in (first, second)):
            context.crashed_at = context.simulation.call_in_loop(_now)
            return
    raise AssertionError("the parts were not quarantined")


@when('the part "{key}" is quarantined')
def when_quarantined(context, key):
    document = {"term": 99, "serial": 1, "parts": {key: [3, 1.0, False]}}
    context.simulation.call_in_loop(
        lambda: context.simulation.fleet.store.put("quarantine", "parts", document)
    )


@given("streams cannot be resumed")
def given_no_resume(context):
    routes = default_routes()
    routes[0] = {**routes[0], "streamResume": False}
    document = configuration_document(2, routes=routes)
    context.simulation.call_in_loop(
        lambda: context.simulation.fleet.store.put("config", "main", document)
    )


@then("the first stream is a trial that was answered")
def then_trial_answered(context):
    stream = context.streams[0]
    assert stream.response.status == 200, stream.response.body
    assert stream.response.is_finished
    assert stream.events() == list(range(1, 28)), stream.events()


@then("the first stream got {status:d} and has an attempt that was withdrawn")
def then_withdrawn(context, status):
    stream = context.streams[0]
    assert stream.response.status == status, stream.response.status
    assert len(context.simulation.fleet.records.runs_of(stream.id)) == 0


@when('heads crash under 2 new requests with the part "{part}", {count:d} in all')
def when_heads_crash(context, count, part):
    """Crash heads at which one of two requests waits, until ``count`` have crashed."""
    fleet = context.simulation.fleet
    for replica in fleet.replicas_by_id.values():
        replica.slow_factor = 30
    names = sorted(fleet.kernels_by_name)
    crashed = set()
    for index in range(2):
        start_request(context, "POST", "/draft/x", daemon=names[index], parts=(part,))
        context.simulation.wait(0.05)
        crash_heads_with(context, part, crashed, most=count - 1 + index)
        context.simulation.wait(0.05)
    crash_heads_with(context, part, crashed, most=count)
    assert len(crashed) == count, crashed
    for replica in fleet.replicas_by_id.values():
        replica.slow_factor = 1.0
    context.crashed_at = context.simulation.call_in_loop(_now)
    context.simulation.wait(0.2)


def crash_heads_with(context, part, crashed, *, most):
    """Crash the heads that a request with the part has reached."""
    fleet = context.simulation.fleet

    def crash():
        for arrival in fleet.records.arrivals:
            if arrival.parts != (part,) or arrival.arrived_at < _now() - 0.3:
                continue
            if arrival.replica not in crashed and len(crashed) < most:
                crashed.add(arrival.replica)
                fleet.replicas_by_id[arrival.replica].crash()

    context.simulation.call_in_loop(crash)


@then('the part "{part}" is quarantined')
def then_part_quarantined(context, part):
    assert any(is_quarantined(service, part) for service in quarantines(context))


@then('the part "{part}" is not quarantined')
def then_part_not_quarantined(context, part):
    assert not any(is_quarantined(service, part) for service in quarantines(context))


@then('requests with the part "{part}" are served again within {seconds:g} seconds')
def then_served_again(context, part, seconds):
    limit = context.crashed_at + seconds
    names = sorted(context.simulation.fleet.kernels_by_name)
    for index in range(1000):
        request = start_request(
            context,
            "POST",
            "/draft/x",
            daemon=names[index % len(names)],
            parts=(part,),
        )
        context.simulation.wait(0.1)
        is_blocked = request.response.body == b"part_quarantined\n"
        if context.simulation.call_in_loop(_now) > limit:
            assert not is_blocked, request.response.body
            if index % len(names) == len(names) - 1:
                return


def _now():
    return asyncio.get_running_loop().time()


def quarantines(context):
    kernels = context.simulation.fleet.kernels_by_name.values()
    return [kernel.get("quarantine") for kernel in kernels]


def is_quarantined(service, part):
    return part in {key.partition("/")[2] for key in service.blocked_keys()}
