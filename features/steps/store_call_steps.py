"""Steps that count the calls of daemons to the platform's store."""

from behave import then, when


@when("each answer of the store takes {seconds:g} seconds longer")
def when_slower(context, seconds):
    context.simulation.fleet.store.faults.slow_s = seconds


@when("each call to the store is counted by its daemon for {seconds:g} seconds")
def when_counted(context, seconds):
    before = _calls_by_name(context)
    context.simulation.wait(seconds)
    context.counted_s = seconds
    context.counts_by_name = {
        name: count - before[name] for name, count in _calls_by_name(context).items()
    }


def _calls_by_name(context):
    return {
        name: sum(kernel.get("store").calls_by_kind.values())
        for name, kernel in context.simulation.fleet.kernels_by_name.items()
    }


@then(
    "no more than {rate:d} calls a second were made for each relay, and {more:d} more"
)
def then_few_for_relays(context, rate, more):
    limit = rate * len(_relays(context)) + more
    total = sum(context.counts_by_name.values())
    assert total <= limit * context.counted_s, (total, limit * context.counted_s)


@then("daemons that are neither leader nor relay made none")
def then_none_of_others(context):
    (leader,) = context.simulation.call_in_loop(context.simulation.fleet.leader_names)
    counts_by_name = {
        name: count
        for name, count in context.counts_by_name.items()
        if count and name != leader and name not in _relays(context)
    }
    assert not counts_by_name, counts_by_name


@then("no more than {rate:d} calls a second were made for each daemon")
def then_few_for_all(context, rate):
    total = sum(context.counts_by_name.values())
    limit = rate * len(context.counts_by_name) * context.counted_s
    assert total <= limit, (total, limit)


def _relays(context):
    kernels = context.simulation.fleet.kernels_by_name
    return {name for name in kernels if kernels[name].get("daemons").is_relay()}
