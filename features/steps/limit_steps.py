"""Steps for replicas that name a limit on requests."""

import asyncio

from behave import given, then, when

from features.steps.platform_steps import start_request

WINDOW_S = 4.0


@given(
    "{share:g} of the heads of model {model} name a limit of {limit:g} requests"
    " a second"
)
def given_limits(context, share, model, limit):
    heads = sorted(
        context.simulation.fleet.open_group_heads(model), key=lambda head: head.id
    )
    context.limited = heads[: round(share * len(heads))]
    assert context.limited and len(context.limited) < len(heads)
    context.limit_per_s = limit
    set_limit(context, str(limit))


def set_limit(context, text):
    """Let the limited heads name ``text`` as their limit from now on."""
    context.limited_at = context.simulation.call_in_loop(_now)
    for head in context.limited:
        head.limit_text = text


def _now():
    return asyncio.get_running_loop().time()


@when(
    "{rate:d} streams of model {model} arrive each second at all daemons"
    " for {seconds:g} seconds"
)
def when_streams(context, rate, model, seconds):
    names = sorted(context.simulation.fleet.kernels_by_name)
    context.streams = []
    for index in range(round(rate * seconds)):
        daemon = names[index * 7 % len(names)]
        stream = start_request(context, "POST", "/draft/x", daemon=daemon, model=model)
        context.streams.append(stream)
        context.simulation.wait(1 / rate)


@then(
    "from {wait:g} seconds after it named its limit each head got at most {factor:g}"
    " times that, and {slack:d}, in any 4 seconds"
)
def then_within_limit(context, wait, factor, slack):
    allowed = factor * context.limit_per_s * WINDOW_S + slack
    for head in context.limited:
        most = _most_in_window(context, head, context.limited_at + wait)
        assert most <= allowed, (head.id, most, allowed)


def _most_in_window(context, head, start):
    times = [
        arrival.arrived_at
        for arrival in context.simulation.fleet.records.arrivals
        if arrival.replica == head.id and arrival.arrived_at >= start
    ]
    return max(
        (sum(first <= at < first + WINDOW_S for at in times) for first in times),
        default=0,
    )


@then("at least {share:g} of the streams began at the first attempt")
def then_began(context, share):
    began = [stream for stream in context.streams if stream.response.status == 200]
    assert len(began) >= share * len(context.streams), len(began)


@when("their limits end")
def when_limits_end(context):
    set_limit(context, None)


@then(
    'the log has a line "{event}" for each of these heads, with {limit:g} and then none'
)
def then_logged(context, event, limit):
    for head in context.limited:
        named = [
            record.kwargs["per_s"]
            for record in context.log.records
            if record.msg == event and record.kwargs["backend"] == head.id
        ]
        assert named[0] == limit and named[-1] is None, (head.id, named)
