"""Steps for callers' requests to front daemons on an emulated platform."""

import asyncio

from behave import given, then, when

from features.steps.platform_steps import start_request
from pimentogap.ingress import LATE_REQUEST_DELAY_S
from standins.emulator import configuration_document, default_routes


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
    methods_and_paths = {
        "stream": ("POST", "/draft/x"),
        "look-up": ("GET", "/look/x"),
        "booking": ("POST", "/book/x"),
    }
    method, path = methods_and_paths[what]
    context.request = start_request(context, method, path, deadline_s=20.0)


@given("requests of all routes may last {seconds:g} seconds")
def given_long_routes(context, seconds):
    routes = [
        {**item, "timeoutMs": seconds * 1000, "targetLatencyMs": seconds * 1000}
        for item in default_routes()
    ]
    document = configuration_document(2, routes=routes)
    context.simulation.fleet.store.put("config", "main", document)
    context.simulation.wait(2.0)


@given("every plain replica takes {seconds:g} seconds for a request")
def given_slow_plain(context, seconds):
    for replica in context.simulation.fleet.plain_replicas_by_id.values():
        replica.work_s = seconds


@then("the answer is {status:d}")
def then_answer(context, status):
    assert context.request.response.status == status, context.request.response.status
    assert context.request.response.is_finished


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


@then("the last {count:d} streams are complete, with each event exactly once")
def then_last_streams_complete(context, count):
    check_complete(context.streams[-count:])


@then("every stream is complete, with each event exactly once")
def then_streams_complete(context):
    check_complete(context.streams)


def check_complete(streams):
    """Check that each of ``streams`` ended with every event once, in order."""
    for stream in streams:
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
@when("every replica of the model service is {factor:g} times slower")
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


@then("no new request reaches the draining group")
def then_no_new_request(context):
    fleet = context.simulation.fleet
    before = len(fleet.records.runs)
    for _ in range(20):
        start_request(context, "POST", "/draft/x")
    context.simulation.wait(4.0)
    late = [run.replica for run in fleet.records.runs[before:]]
    assert late and context.draining_head not in late, late


@then("the replicas receive the workspace that owns the caller's key")
def then_workspace(context):
    for stream in context.streams:
        for run in context.simulation.fleet.records.runs_of(stream.id):
            assert run.workspace == "w1", run


@then(
    "each look-up is refused with 503 and asked to return within"
    " {least:g} to {most:g} seconds"
)
def then_lookups_return(context, least, most):
    for lookup in context.lookups:
        assert lookup.response.status == 503, lookup.response.status
        after_s = float(lookup.response.headers.get("retry-after", "0"))
        assert least <= after_s <= most, after_s


@then("no stream is complete")
def then_none_complete(context):
    complete = [stream.id for stream in context.streams if stream.response.is_finished]
    assert not complete, complete


@then('the log has no line "{event}"')
def then_no_line(context, event):
    lines = [record.kwargs for record in context.log.records if record.msg == event]
    assert not lines, lines
