"""Steps for the pace of backend servers; no network is involved."""

import math

from behave import given, then, when

from pimentogap.pace import Evidence, PaceBook, Room, Sign
from pimentogap.placement import BackendLoad
from standins.pacing import Fails, Knee, PacedServer, Slow

TICK_S = 0.2
TROUBLES_BY_BEHAVIOUR = {
    "answers well": (),
    "is slow for 3 seconds": (Slow(0.0, 3.0),),
    "is slow for 30 seconds": (Slow(0.0, 30.0),),
    "is slow for 3 and from 10 to 14 seconds": (Slow(0.0, 3.0), Slow(10.0, 14.0)),
    "is slow for ever": (Slow(0.0, math.inf),),
    "fails for 40 seconds": (Fails(0.0, 40.0),),
    "answers in time up to 16 requests": (Knee(16),),
}


@given("a server with {slots:d} slots that {behaviour}")
def given_server(context, slots, behaviour):
    context.slots = slots
    context.troubles = TROUBLES_BY_BEHAVIOUR[behaviour]


@when("it is paced for {seconds:d} seconds, and by a fixed ramp as well")
def when_paced(context, seconds):
    context.paced = PacedServer(context.slots, context.troubles).run(seconds)
    ramped = PacedServer(context.slots, context.troubles)
    context.ramped = ramped.run(seconds, ramp=True)


@then("it is used in full at most half as long after {since:g} seconds as by a ramp")
def then_full_soon(context, since):
    """Compare with a ramp that begins when the server is able to answer."""
    paced_s = context.paced.full_after_s(since, context.slots)
    ramp_s = context.ramped.full_after_s(0.0, context.slots)
    assert paced_s <= ramp_s / 2, (paced_s, ramp_s)


@then("outside of its slow times at most {share:g} of its answers are late")
def then_seldom_late(context, share):
    slow = [trouble for trouble in context.troubles if isinstance(trouble, Slow)]
    late = context.paced.count(Sign.SLOW, outside=slow)
    in_time = context.paced.count(Sign.GOOD, outside=slow)
    assert late <= share * (late + in_time), (late, in_time)


@then("it answers late at most {times:g} times as often as by the ramp")
def then_late(context, times):
    late, by_ramp = (
        trace.count(Sign.SLOW) for trace in (context.paced, context.ramped)
    )
    assert late <= times * by_ramp, (late, by_ramp)


@then("it answers in time at least {times:g} times as often as by the ramp")
def then_in_time(context, times):
    good, by_ramp = (
        trace.count(Sign.GOOD) for trace in (context.paced, context.ramped)
    )
    assert good >= times * by_ramp, (good, by_ramp)


@then("its limit is never below {least:g} requests")
def then_limit_never_below(context, least):
    assert context.paced.least_limit(0.0, math.inf) >= least


@then("it fails at most {times:g} times as often as by the ramp")
def then_fails_seldom(context, times):
    failed, by_ramp = (
        trace.count(Sign.FAILED) for trace in (context.paced, context.ramped)
    )
    assert failed <= times * by_ramp, (failed, by_ramp)


@then("it is tried at least once in each {seconds:g} seconds")
def then_tried(context, seconds):
    sent_at = [at_s for at_s, _ in context.paced.requests]
    gaps = [after - before for before, after in zip(sent_at, sent_at[1:], strict=False)]
    assert max(gaps) <= seconds, max(gaps)


@then("it is used in full at most {most:g} seconds after {since:g} seconds")
def then_full_after(context, most, since):
    after_s = context.paced.full_after_s(since, context.slots)
    assert after_s <= most, after_s


@given("{count:d} servers with {slots:d} slots that are listed and answer well")
def given_servers(context, count, slots):
    context.now = 0.0
    context.book = PaceBook()
    context.rooms = {f"server-{index}": Room("model", slots) for index in range(count)}
    pass_time(context, 12.0, context.rooms)


def pass_time(context, seconds, rooms):
    """List ``rooms`` for a time in which those listed answer well, fully used."""
    for _ in range(round(seconds / TICK_S)):
        context.now += TICK_S
        context.book.record_listed(rooms, context.now)
        limits = {key: context.book.limit(key, room) for key, room in rooms.items()}
        context.book.record_evidence(
            {key: Evidence(good=max(1, int(limits[key] / 2))) for key in rooms}
        )
        for key in rooms:
            context.book.update(key, limits[key], context.now)


def listed_limits(context):
    """Return the limits of the servers that are listed now."""
    return {key: context.book.limit(key, room) for key, room in context.rooms.items()}


@when("{count:d} of them are away for {seconds:g} seconds and come back")
def when_away(context, count, seconds):
    context.returned = list(context.rooms)[:count]
    left = {
        key: room for key, room in context.rooms.items() if key not in context.returned
    }
    pass_time(context, seconds, left)
    context.now += TICK_S
    context.book.record_listed(context.rooms, context.now)


@when(
    "{count:d} of them are away for {seconds:g} seconds"
    " and come back as new incarnations"
)
def when_started_again(context, count, seconds):
    left = dict(list(context.rooms.items())[count:])
    room = next(iter(context.rooms.values()))
    pass_time(context, seconds, left)
    context.returned = [f"server-{index}-again" for index in range(count)]
    context.rooms = left | dict.fromkeys(context.returned, room)
    context.now += TICK_S
    context.book.record_listed(context.rooms, context.now)


@when("{seconds:g} seconds pass and all servers answer well")
def when_all_answer(context, seconds):
    pass_time(context, seconds, context.rooms)


@then(
    "the limit of each of the {count:d} is {limit:g},"
    " and of each other one at least {least:g}"
)
def then_limits(context, count, limit, least):
    limits = listed_limits(context)
    assert len(context.returned) == count
    assert {limits[key] for key in context.returned} == {limit}, limits
    assert min(limits[key] for key in limits if key not in context.returned) >= least


@then(
    "the limit of each of the {count:d} is at least {limit:g},"
    " and of each other one at least {least:g}"
)
def then_limits_at_least(context, count, limit, least):
    limits = listed_limits(context)
    assert min(limits[key] for key in context.returned) >= limit, limits
    assert min(limits[key] for key in limits if key not in context.returned) >= least


@given("a daemon that has run for {seconds:g} seconds without servers")
def given_no_servers(context, seconds):
    context.now = 0.0
    context.book = PaceBook()
    pass_time(context, seconds, {})


@when("{count:d} servers with {slots:d} slots are listed at once")
def when_listed(context, count, slots):
    rooms = {f"server-{index}": Room("model", slots) for index in range(count)}
    context.now += TICK_S
    context.book.record_listed(rooms, context.now)


@then("the limit of each is {limit:g}")
def then_each_limit(context, limit):
    assert set(context.book.limits_by_key().values()) == {limit}


@when("the daemon stands still for {seconds:g} seconds")
def when_still(context, seconds):
    context.now += seconds
    context.book.record_listed(context.rooms, context.now)


@then("the limit of each is at least {least:g}")
def then_each_at_least(context, least):
    assert min(context.book.limits_by_key().values()) >= least


@given(
    "a group with {slots:d} slots and a limit of {limit:g},"
    " which has {requests:g} requests"
)
def given_group(context, slots, limit, requests):
    context.load = BackendLoad("b", slots, limit=limit)
    context.load.record_others(requests, 0.0)


@then("its busy share is {share:g}")
def then_busy_share(context, share):
    assert math.isclose(context.load.busy_share(0.0), share)


@when(
    "{share:g} of all answers are slow for {seconds:g} seconds, and all of one server"
)
def when_many_slow(context, share, seconds):
    context.slowest = next(iter(context.rooms))
    for _ in range(round(seconds / TICK_S)):
        context.now += TICK_S
        context.book.record_listed(context.rooms, context.now)
        slow = dict.fromkeys(context.rooms, round(share * 10))
        slow[context.slowest] = 10
        context.book.record_evidence(
            {key: Evidence(good=10 - slow[key], slow=slow[key]) for key in slow}
        )
        for key, room in context.rooms.items():
            limit = context.book.limit(key, room)
            context.book.update(key, limit, context.now)


@then(
    "the limit of that one is at most {most:g},"
    " and of each other one at least {least:g}"
)
def then_slowest(context, most, least):
    limits = context.book.limits_by_key()
    assert limits.pop(context.slowest) <= most, limits
    assert min(limits.values()) >= least, limits


@when("a relay says that nothing may be sent to one of them, and is lost")
def when_told_nothing(context):
    context.slowest = next(iter(context.rooms))
    context.book.follow(context.slowest, 0.0, context.now)
    assert context.book.limits_by_key()[context.slowest] == 0


@when("{seconds:g} second passes without a request to it")
def when_no_request(context, seconds):
    for _ in range(round(seconds / TICK_S)):
        context.now += TICK_S
        context.book.record_listed(context.rooms, context.now)
        context.book.record_evidence(dict.fromkeys(context.rooms, Evidence()))
        context.book.update(context.slowest, 0, context.now)


@when("it answers well for {seconds:g} seconds")
def when_it_answers(context, seconds):
    pass_time(context, seconds, context.rooms)


@then("the limit of that one is {limit:g}")
def then_limit_of_one(context, limit):
    assert context.book.limits_by_key()[context.slowest] == limit
