"""Steps for admission at a pool of batching groups; no network is involved."""

import asyncio
import dataclasses
import math
import random
from collections import Counter

from behave import given, then, when
from tornado.httputil import HTTPHeaders

from pimentogap.admission import (
    CallerPatience,
    Claim,
    Prospect,
    ReturnBook,
    WaitingLine,
    decide,
)
from pimentogap.costs import GroupCost
from pimentogap.platform import PlatformHeaders
from pimentogap.types import Backend, BackendState
from standins.batching import (
    SLOTS,
    TIMINGS,
    BatchingPool,
    capacity_per_s,
    stream_route,
)
from standins.paused import PausedEventLoop

URGENT = stream_route("urgent", objective_s=0.25)
RELAXED = stream_route("relaxed", objective_s=0.8, priority=2)
SETTLING_S = 8.0
URGENCY = "X-Pimentogap-Urgency-Class"


@given("{groups:d} groups behind {daemons:d} daemons and callers with one retry")
def given_pool(context, groups, daemons, repeats=0):
    context.runner = asyncio.Runner(loop_factory=PausedEventLoop)
    context.add_cleanup(context.runner.close)
    context.pool = BatchingPool(
        groups=groups, daemons=daemons, routes=[URGENT, RELAXED], repeats=repeats
    )
    context.runner.run(context.pool.start())
    context.phases = []


@given(
    "{groups:d} groups behind {daemons:d} daemons and callers who repeat"
    " {repeats:d} times at once"
)
def given_impatient(context, groups, daemons, repeats):
    given_pool(context, groups, daemons, repeats)


async def _fill(context, share, seconds, **others):
    """Send requests in shares, each a tuple of its fraction and its kind."""
    began_at = asyncio.get_running_loop().time()
    rate = share * len(context.pool.groups) * capacity_per_s()
    sends = [context.pool.send(rate=rate * (0.9 if others else 1.0), for_s=seconds)]
    if others:
        sends.append(context.pool.send(rate=rate * 0.1, for_s=seconds, **others))
    await asyncio.gather(*sends)
    context.phases.append((began_at, began_at + seconds))


@when("requests fill {share:g} of the groups for {seconds:g} seconds")
def when_filled(context, share, seconds):
    context.runner.run(_fill(context, share, seconds))


@when(
    "requests fill {share:g} of the groups for {seconds:g} seconds,"
    " each tenth with {factor:d} times the prompt"
)
def when_mixed(context, share, seconds, factor):
    context.runner.run(_fill(context, share, seconds, prompt_tokens=800 * factor))


@when(
    "requests fill {share:g} of the groups for {seconds:g} seconds,"
    ' a tenth of them from workspace "{workspace}"'
)
def when_workspaces(context, share, seconds, workspace):
    context.runner.run(_fill(context, share, seconds, workspace=workspace))


@when(
    "requests fill {share:g} of the groups for {seconds:g} seconds,"
    " a tenth of them on a route with less priority"
)
def when_routes(context, share, seconds):
    context.runner.run(_fill(context, share, seconds, route=RELAXED))


@when(
    "all groups stand still for {seconds:g} seconds"
    " while requests fill {share:g} of them"
)
def when_still(context, seconds, share):
    until = context.phases[-1][1] + seconds
    for group in context.pool.groups:
        group.still_until = until
    context.runner.run(_fill(context, share, seconds))


def _callers(context, since=0.0, until=math.inf):
    return [each for each in context.pool.callers if since <= each.sent_at < until]


def _settle(context):
    context.runner.run(asyncio.sleep(SETTLING_S))
    context.runner.run(context.pool.stop())


def _timely_share(callers):
    return sum(each.is_in_time for each in callers) / max(1, len(callers))


def _served_share(callers):
    served = sum(each.first_event_s is not None for each in callers)
    return served / max(1, len(callers))


@then(
    "from {seconds:g} seconds after the burst {share:g} of the earlier share is in time"
)
def then_over(context, seconds, share):
    _settle(context)
    before = _timely_share(_callers(context, *context.phases[0]))
    began_at, ended_at = context.phases[-1]
    after = _timely_share(_callers(context, began_at + seconds, ended_at))
    assert after >= share * before, (before, after)


@then("in the crowd at least {share:g} of what the groups can do is in time")
def then_crowd(context, share):
    _settle(context)
    began_at, ended_at = context.phases[-1]
    timely = sum(each.is_in_time for each in _callers(context, began_at, ended_at))
    possible = (ended_at - began_at) * len(context.pool.groups) * capacity_per_s()
    assert timely >= share * possible, (timely, possible)


@then("the large ones are served at least half as often as all")
def then_large(context):
    _settle(context)
    large = [each for each in context.pool.callers if each.prompt_tokens > 800]
    shares = _served_share(large), _served_share(context.pool.callers)
    assert shares[0] >= shares[1] / 2, shares


@then('workspace "{workspace}" is served at least as often as all')
def then_workspace(context, workspace):
    _settle(context)
    own = [each for each in context.pool.callers if each.workspace == workspace]
    shares = _served_share(own), _served_share(context.pool.callers)
    assert shares[0] >= shares[1], shares


@then("that route is served at most {margin:g} more often than the other")
def then_routes(context, margin):
    _settle(context)
    relaxed = [each for each in context.pool.callers if each.route is RELAXED]
    urgent = [each for each in context.pool.callers if each.route is URGENT]
    shares = _served_share(relaxed), _served_share(urgent)
    assert shares[0] <= shares[1] + margin, shares


def _claim(name, workspace, priority):
    return Claim(
        attempt_id=name,
        service="s",
        model="m",
        workspace=workspace,
        priority=priority,
        objective_s=0.25,
        tightest_s=0.25,
        elapsed_s=0.0,
        arrived_at=0.0,
        deadline=6.0,
    )


@given("requests that wait in line")
def given_line(context):
    context.line = WaitingLine(capacity=8)
    for row in context.table:
        claim = _claim(row["name"], row["workspace"], int(row["priority"]))
        context.line.join(claim, late=row["late"] == "yes")


@when('a request of workspace "{workspace}" goes on')
def when_admitted(context, workspace):
    context.line.record_admission(_claim("z", workspace, 0), now=0.0)


@then('the rest go on in the order "{names}"')
def then_order(context, names):
    order = []
    while (claim := context.line.first(now=0.1)) is not None:
        context.line.leave(claim)
        order.append(claim.attempt_id)
    assert order == names.split(), order


@given("an engine whose {figure} is {value:g}")
def given_engine(context, figure, value):
    timings = dataclasses.replace(TIMINGS, **{figure: value})
    context.cost = GroupCost(timings, pace=1.0, slots=SLOTS)


@then("the estimated time to a first event is a number, at least 0")
def then_number(context):
    for requests in (0, 1, SLOTS, 10 * SLOTS):
        for prompt_tokens in (0, 1, 10**9):
            estimate_s = context.cost.first_event_s(requests, prompt_tokens)
            assert math.isfinite(estimate_s) and estimate_s >= 0, estimate_s


@given("callers of a route who have {seconds:g} seconds")
def given_callers_of_route(context, seconds):
    context.patience = CallerPatience()
    context.patience.elapsed_s("r", seconds, 0.0)


@then("one who has {left:g} seconds left first asked {age:g} seconds ago")
def then_age(context, left, age):
    assert math.isclose(context.patience.elapsed_s("r", left, 1.0), age)


@then("one who has {left:g} seconds left asks for the first time")
def then_first(context, left):
    assert context.patience.elapsed_s("r", left, 1.0) == 0.0


@given("a daemon that gets {rate:g} places a second for callers who come back")
def given_book(context, rate):
    context.book = ReturnBook()
    context.places_per_s = rate
    context.rng = random.Random(1)


@when("{count:d} callers with {left:g} seconds left are refused within 0.1 seconds")
def when_refused(context, count, left):
    context.left_s = left
    context.returns = sorted(
        now
        + context.book.tell(
            now, left_s=left, places_per_s=context.places_per_s, rng=context.rng
        )
        for now in (0.1 * index / count for index in range(count))
    )


@then(
    "they come back at least {gap:g} seconds apart on average, within a third of that"
)
def then_apart(context, gap):
    first, *_, last = context.returns
    assert last - first >= gap * (len(context.returns) - 1), context.returns
    assert last <= context.left_s / 3, context.returns


@then("no tenth of a second has more than {most:d} of their returns")
def then_spread(context, most):
    counts = Counter(int(at * 10) for at in context.returns)
    assert max(counts.values()) <= most, counts


@then("{share:g} of those refused once are served at their return")
def then_returns_served(context, share):
    _settle(context)
    refused = [each for each in context.pool.callers if each.refusals]
    assert _served_share(refused) >= share, (_served_share(refused), len(refused))


@given(
    "a request in time whose first event is expected after {factor:g} times"
    " its objective"
)
def given_slow(context, factor):
    context.claim = _claim("a", "x", 0)
    context.first_event_s = factor * context.claim.objective_s


@then("it is {result} at a group with {requests:g} requests for {slots:d} places")
def then_decided(context, result, requests, slots):
    prospect = Prospect(requests, slots, context.first_event_s)
    decision = decide(context.claim, prospect, now=0.0, late=False)
    assert type(decision).__name__ == result, decision


@given("a caller who sends an urgency class of its own")
def given_urgency(context):
    context.headers = HTTPHeaders({URGENCY: "0"})


def _urgencies(context, urgency):
    backend = Backend(
        id="i-1",
        service="s",
        address="10.0.0.1:80",
        availability_zone="z-a",
        state=BackendState.READY,
    )
    codec = PlatformHeaders()
    pairs = codec.forwarded_headers(context.headers) + codec.attempt_headers(
        backend=backend,
        remaining_s=1.0,
        workspace=None,
        last_event_id=None,
        urgency=urgency,
    )
    return [value for name, value in pairs if name == URGENCY]


@then("attempts with urgency {urgency:d} carry just that one")
def then_urgency(context, urgency):
    assert _urgencies(context, urgency) == [str(urgency)]


@then("attempts without an urgency carry none")
def then_no_urgency(context):
    assert _urgencies(context, None) == []
