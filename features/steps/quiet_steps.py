"""Steps for replicas that say that they leave, or that they want quiet."""

import asyncio
from collections import Counter

from behave import then, when


def _plain(context, index):
    return context.simulation.fleet.plain_replicas_by_id[f"p-{index}"]


@when("plain replica {index:d} says in its answers that it leaves, and {more}")
def when_leaving(context, index, more):
    _plain(context, index).says_leaving = True
    context.simulation.fleet.store.faults.down = more == "the store is down"


@when("plain replica {index:d} is noted to have been told of")
def when_noted(context, index):
    context.noted_at = context.simulation.call_in_loop(
        lambda: asyncio.get_running_loop().time()
    )


@then("plain replica {index:d} got no request since")
def then_none_since(context, index):
    late = [
        run
        for run in context.simulation.fleet.records.runs
        if run.replica == f"p-{index}" and run.started_at >= context.noted_at
    ]
    assert not late, len(late)
    assert all(item.response.status == 200 for item in context.lookups)


@when(
    'plain replica {index:d} turns requests away and asks for "{text}" seconds of quiet'
)
def when_quiet(context, index, text):
    _plain(context, index).quiet_text = text


@when('every plain replica turns requests away and asks for "{text}" seconds of quiet')
def when_all_quiet(context, text):
    for replica in context.simulation.fleet.plain_replicas_by_id.values():
        replica.quiet_text = text
    context.quiet_s = float(text)


@then("each daemon sent it between {least:d} and {most:d} requests")
def then_few_sent(context, least, most):
    sent = Counter(source for source, _ in _plain(context, 0).turned_away)
    names = context.simulation.fleet.kernels_by_name
    assert all(least <= sent[name] <= most for name in names), sent


@then("all look-ups were answered")
def then_answered(context):
    assert all(item.response.status == 200 for item in context.lookups)


@then("those refused were told to return no earlier than the quiet ends")
def then_told(context):
    ends_by_daemon = {}
    for replica in context.simulation.fleet.plain_replicas_by_id.values():
        for source, at in replica.turned_away:
            end = at + context.quiet_s
            ends_by_daemon.setdefault(source, {}).setdefault(replica.id, end)
    refused = [item for item in context.lookups if item.response.status == 503]
    assert len(refused) == len(context.lookups)
    for item in refused[len(refused) // 2 :]:
        returns_at = item.sent_at + float(item.response.headers["retry-after"])
        first_end = min(ends_by_daemon[item.daemon].values())
        assert returns_at >= first_end - 0.01, (returns_at, first_end)
