"""Steps for replicas that name a limit on requests."""

import asyncio

from behave import given, then, when

from features.steps.platform_steps import start_request

WINDOW_S = 4.0
SETTLING_S = 2.0


@given(
    "{share:g} of the heads of model {model} name a limit of {limit:g} requests"
    " a second"
)
def given_limits(context, share, model, limit):
    heads = sorted(
        context.simulation.fleet.open_group_heads(model), key=lambda head: head.id
    )
    context.limited = heads[: round(share * len(heads))]
    assert context.limited
    context.limit_per_s = limit
    context.streams = []
    _set_limit(context, f"{limit:g}")


@given('their limit becomes "{text}"')
@when('their limit becomes "{text}"')
def when_limit_becomes(context, text):
    _set_limit(context, None if text == "none" else text)


def _set_limit(context, text):
    context.limited_at = context.simulation.call_in_loop(_now)
    for head in context.limited:
        head.limit_text = text


def _now():
    return asyncio.get_running_loop().time()


@when(
    "{rate:d} streams of model {model} arrive each second at {where}"
    " for {seconds:g} seconds"
)
def when_streams(context, rate, model, where, seconds):
    """Send streams to "all daemons" in turn, or to the daemon that is named."""
    context.streams = []
    _send_streams(context, rate, model, seconds, where=where)


def _send_streams(context, rate, model, seconds, *, where="all daemons", act=None):
    """Send streams evenly; call ``act(index)`` before each of them."""
    fleet = context.simulation.fleet
    for index in range(round(rate * seconds)):
        if act is not None:
            act(index / rate)
        names = sorted(fleet.kernels_by_name)
        daemon = names[index * 7 % len(names)] if where == "all daemons" else where
        stream = start_request(context, "POST", "/draft/x", daemon=daemon, model=model)
        context.streams.append(stream)
        context.simulation.wait(1 / rate)


@when(
    "{what} while {rate:d} streams of model {model} arrive each second"
    " for {seconds:g} seconds"
)
def when_trouble(context, what, rate, model, seconds):
    act = TROUBLES_BY_NAME[what](context)
    _send_streams(context, rate, model, seconds, act=act)


def _kill_leader(context):
    fleet = context.simulation.fleet

    def act(at_s):
        if at_s == 1.0:
            context.simulation.run(fleet.kill_daemon(fleet.leader_names()[0]))

    return act


def _roll(context):
    """Stop each daemon and start it again 0.5 s later, one each 1.5 s."""
    fleet = context.simulation.fleet
    names = sorted(fleet.kernels_by_name)

    def act(at_s):
        index, phase = divmod(at_s, 1.5)
        if index < len(names) and phase == 0.0:
            context.simulation.run(fleet.stop_daemon(names[int(index)]))
        if index < len(names) and phase == 0.5:
            context.simulation.run(fleet.start_daemon(names[int(index)]))

    return act


def _kill_half(context):
    fleet = context.simulation.fleet

    def act(at_s):
        if at_s == 1.0:
            for name in sorted(fleet.kernels_by_name)[::2]:
                context.simulation.run(fleet.kill_daemon(name))

    return act


def _cut_two(context):
    fleet = context.simulation.fleet

    def act(at_s):
        if at_s == 1.0:
            pair = [
                kernel.get("calls").address for kernel in fleet.kernels_by_name.values()
            ][:2]
            fleet.cut_calls |= {tuple(pair), tuple(reversed(pair))}

    return act


def _silence_store(context):
    def act(at_s):
        if at_s == 1.0:
            context.simulation.fleet.store.faults.silent = True

    return act


TROUBLES_BY_NAME = {
    "the leader is killed": _kill_leader,
    "each daemon is stopped and started in turn": _roll,
    "half of the daemons are killed": _kill_half,
    "calls between two daemons fail": _cut_two,
    "the store is silent": _silence_store,
}


@when("no more arrive but those refused, when they were told to")
def when_refused_return(context):
    fleet = context.simulation.fleet
    refused = [stream for stream in context.streams if stream.response.status == 503]
    assert refused
    names = sorted(fleet.kernels_by_name)
    returns = sorted(
        (stream.sent_at + float(stream.response.headers["retry-after"]), index)
        for index, stream in enumerate(refused)
    )
    context.returned = []
    for at, index in returns:
        context.simulation.wait(max(0.0, at - context.simulation.call_in_loop(_now)))
        daemon = names[index % len(names)]
        context.returned.append(
            start_request(context, "POST", "/draft/x", daemon=daemon)
        )
    context.simulation.wait(SETTLING_S)


@then("at least {share:g} of those who returned were served")
def then_returned_served(context, share):
    served = [item for item in context.returned if item.response.status == 200]
    assert len(served) >= share * len(context.returned), (
        len(served),
        len(context.returned),
    )


@then(
    "from {wait:g} seconds after it named its limit each head got at most {factor:g}"
    " times that, and {slack:d}, in any 4 seconds"
)
def then_within_limit(context, wait, factor, slack):
    allowed = factor * context.limit_per_s * WINDOW_S + slack
    for head in context.limited:
        times = _arrival_times(context, head, context.limited_at + wait)
        most = max(
            (sum(first <= at < first + WINDOW_S for at in times) for first in times),
            default=0,
        )
        assert most <= allowed, (head.id, most, allowed)


@then(
    "from {wait:g} seconds after it named its limit each head got at least {factor:g}"
    " times that a second"
)
def then_used(context, wait, factor):
    start = context.limited_at + wait
    seconds = context.simulation.call_in_loop(_now) - start
    for head in context.limited:
        got = len(_arrival_times(context, head, start))
        assert got >= factor * context.limit_per_s * seconds, (head.id, got, seconds)


def _arrival_times(context, head, start):
    return [
        arrival.arrived_at
        for arrival in context.simulation.fleet.records.arrivals
        if arrival.replica == head.id and arrival.arrived_at >= start
    ]


@then("at least {share:g} of the streams began at the first attempt")
def then_began(context, share):
    context.simulation.wait(SETTLING_S)
    attempts_by_id = {}
    for arrival in context.simulation.fleet.records.arrivals:
        count = attempts_by_id.get(arrival.attempt_id, 0)
        attempts_by_id[arrival.attempt_id] = count + 1
    began = [
        stream
        for stream in context.streams
        if stream.response.status == 200 and attempts_by_id[stream.id] == 1
    ]
    assert len(began) >= share * len(context.streams), (
        len(began),
        len(context.streams),
    )


@then("between {least:g} and {most:g} of the streams began")
def then_share_began(context, least, most):
    context.simulation.wait(SETTLING_S)
    began = [stream for stream in context.streams if stream.response.status == 200]
    share = len(began) / len(context.streams)
    assert least <= share <= most, share


@then('the log has {lines} line "{event}" for these heads')
def then_lines(context, lines, event):
    ids = {head.id for head in context.limited}
    logged = [
        record.kwargs
        for record in context.log.records
        if record.msg == event and record.kwargs["backend"] in ids
    ]
    assert bool(logged) is (lines == "a"), logged


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
