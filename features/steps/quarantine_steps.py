"""Steps for prompt parts that crash replicas."""

from behave import given, then, when

from features.steps.platform_steps import start_request

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
    for index in range(rate * seconds):
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
