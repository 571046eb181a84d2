"""Steps for the timeouts of streams; no network is involved."""

from behave import given, then, when

from pimentogap.placement import ModelLatency

ATTEMPTS = 100
INTERVAL_S = 0.05


@given(
    "first events that take {usual:g} seconds, and a least timeout of {least:g} seconds"
)
def given_first_events(context, usual, least):
    context.latency = ModelLatency()
    context.usual_s = usual
    context.least_s = least
    context.now = 0.0


@when("{stalls:d} of 100 attempts stall ({pattern})")
def when_attempts(context, stalls, pattern):
    for index in range(ATTEMPTS):
        context.now += INTERVAL_S
        if index * stalls // ATTEMPTS != (index + 1) * stalls // ATTEMPTS:
            context.latency.record_stall()
        else:
            context.latency.record_first_event(context.usual_s, context.now)


@then("the timeout for a first event is from {low:g} to {high:g} seconds")
def then_timeout(context, low, high):
    timeout_s = context.latency.first_event_timeout_s(context.least_s, context.now)
    assert low <= timeout_s <= high, timeout_s
