"""Steps for daemons that start while the store may show an older copy."""

import asyncio
import random

from behave import given, then, when

from standins.emulator import configuration_document

COPY_LIMIT_S = 5.0
READ_LIMIT_S = 3.0
AWAY_S = 1.0
RESTART_S = 0.3
BEAT_S = 1.2
LATE_S = 2.0
# An entry that nobody writes is removed after three beats.
EXPIRY_S = 3 * BEAT_S
TICK_S = 0.05


@given("the store is copied once a daemon holds the lease and no group is formed")
def given_copied(context):
    """Note the moment from which the store comes back later."""
    simulation = context.simulation

    async def wait_for_leader():
        async with asyncio.timeout(COPY_LIMIT_S):
            while not simulation.fleet.leader_names():
                await asyncio.sleep(0.01)
        return asyncio.get_running_loop().time()

    context.copied_at = simulation.run(wait_for_leader())
    places = [r.place for r in simulation.fleet.replicas_by_id.values()]
    assert not any(places), places


@when(
    "the leader is killed, and starts again {when} the store comes back from the copy,"
    " to which replicas write {how}"
)
def when_leader_back_in_copy(context, when, how):
    fleet = context.simulation.fleet
    _note_before(context)

    async def run():
        (leader,) = fleet.leader_names()
        context.first_term = fleet.kernels_by_name[leader].get("lease").term
        await fleet.kill_daemon(leader)
        _take_store_away(fleet)
        await asyncio.sleep(RESTART_S)
        if when == "before":
            await fleet.start_daemon(leader, first_start=False)
            await asyncio.sleep(AWAY_S - RESTART_S)
        _bring_copy_back(context, how)
        if when == "after":
            await asyncio.sleep(TICK_S)
            await fleet.start_daemon(leader, first_start=False)

    context.simulation.run(run())


@when(
    "{who} while the store is away, which comes back from the copy, to which replicas"
    " write {how}"
)
def when_in_copy(context, who, how):
    fleet = context.simulation.fleet
    _note_before(context)

    async def run():
        names = list(fleet.kernels_by_name)
        (leader,) = fleet.leader_names()
        _take_store_away(fleet)
        match who:
            case "the whole fleet starts again":
                await _replace(fleet, names, names)
            case "the whole fleet is replaced by other daemons":
                await _replace(fleet, names, [f"other-{name}" for name in names])
            case "the leader is lost for good":
                await fleet.kill_daemon(leader)
            case "the leader is lost for good 2 s after an outage began":
                await asyncio.sleep(2.0)
                await fleet.kill_daemon(leader)
            case _:
                raise AssertionError(who)
        await asyncio.sleep(AWAY_S)
        _bring_copy_back(context, how)

    context.simulation.run(run())


async def _replace(fleet, names, later_names):
    for name in names:
        await fleet.kill_daemon(name)
    for name in later_names:
        await fleet.start_daemon(name, first_start=False)


@when(
    "the store comes back from a copy in which the lease is {shown}, and a daemon"
    " starts at once"
)
def when_lease_in_copy(context, shown):
    fleet = context.simulation.fleet

    async def run():
        (context.holder,) = fleet.leader_names()
        objects = fleet.store.objects_by_kind["leases"]
        if shown == "released":
            term = objects["formation"]["specification"]["term"]
            released = {"holder": "", "term": term}
        else:
            released = None
        fleet.store.go_back(0.0)
        if released is None:
            fleet.store.remove("leases", "formation")
        else:
            fleet.store.put("leases", "formation", released)
        await fleet.start_daemon("new", first_start=False)

    context.simulation.run(run())
    context.holders = []
    context.simulation.start_task(_watch_holders, fleet, context.holders)


async def _watch_holders(fleet, holders):
    """Append to ``holders``, several times a second, the names of those that lead."""
    while True:
        holders.append(tuple(fleet.leader_names()))
        await asyncio.sleep(TICK_S)


@when(
    "a daemon starts whose calls the store does not answer for {seconds:g} seconds, and"
    " once it has read the lease, the leader's are not answered"
)
def when_first_read_slow(context, seconds):
    fleet = context.simulation.fleet
    silent_sources = fleet.store.faults.silent_sources

    async def run():
        (leader,) = fleet.leader_names()
        silent_sources.add("new")
        # The only daemon of its zone competes for the lease.
        await fleet.start_daemon("new", zone="z-b", first_start=False)
        await asyncio.sleep(seconds)
        silent_sources.remove("new")
        lease = fleet.kernels_by_name["new"].get("lease")
        async with asyncio.timeout(READ_LIMIT_S):
            while not lease.leader_address:
                await asyncio.sleep(0.01)
        silent_sources.add(leader)

    context.simulation.run(run())
    context.holders = []
    context.simulation.start_task(_watch_holders, fleet, context.holders)


@then("the daemon that held the lease holds it")
def then_same_holder(context):
    leaders = context.simulation.call_in_loop(context.simulation.fleet.leader_names)
    assert leaders == [context.holder], (leaders, context.holder)


@then("never did two hold the lease")
def then_one_holder(context):
    assert len(context.holders) > 10, context.holders
    assert all(len(holders) <= 1 for holders in context.holders), context.holders


@then("no replica has taken an order since the store came back")
def then_no_order(context):
    fleet = context.simulation.fleet
    seqs = {id_: replica.seq for id_, replica in fleet.replicas_by_id.items()}
    before = dict.fromkeys(seqs, 0) | context.seqs_at_return
    assert seqs == before, (seqs, before)


@when("the leader is killed and starts again {seconds:g} seconds later")
def when_leader_restarts(context, seconds):
    fleet = context.simulation.fleet

    async def run():
        context.leaders_before = fleet.leader_names()
        (leader,) = context.leaders_before
        await fleet.kill_daemon(leader)
        await asyncio.sleep(seconds)
        await fleet.start_daemon(leader, first_start=False)

    context.simulation.run(run())


@when(
    "the answers of the store take {slow:g} seconds, and the leader is stopped"
    " {later:g} seconds later"
)
def when_leader_stopped(context, slow, later):
    fleet = context.simulation.fleet

    async def run():
        (leader,) = fleet.leader_names()
        context.released_by = leader
        fleet.store.faults.slow_s = slow
        await asyncio.sleep(later)
        assert leader in fleet.leader_names()
        await fleet.stop_daemon(leader)

    context.simulation.run(run())


@when("the store answers no write for {seconds:g} seconds, and the leader is stopped")
def when_leader_stopped_unanswered(context, seconds):
    fleet = context.simulation.fleet

    async def run():
        (leader,) = fleet.leader_names()
        context.released_by = leader
        fleet.store.faults.lose_answer_share = 1.0
        await asyncio.sleep(seconds)
        fleet.store.faults.lose_answer_share = 0.0
        await fleet.stop_daemon(leader)

    context.simulation.run(run())


@then("the lease in the store is released")
def then_released(context):
    objects = context.simulation.fleet.store.objects_by_kind["leases"]
    holder = objects["formation"]["specification"]["holder"]
    assert holder == "", (holder, context.released_by)


@then("every group of before is open")
def then_same_groups(context):
    groups = _open_groups(context.simulation.fleet)
    missing = context.groups_before - groups
    assert not missing, (missing, groups)


def _note_before(context):
    context.groups_before = _open_groups(context.simulation.fleet)


def _open_groups(fleet):
    heads = fleet.open_group_heads("large") + fleet.open_group_heads("small")
    return {head.place.group for head in heads}


def _take_store_away(fleet):
    fleet.store.faults.down = True
    fleet.store.drop_watches()


def _bring_copy_back(context, how):
    store = context.simulation.fleet.store
    loop = asyncio.get_running_loop()
    store.go_back(loop.time() - context.copied_at)
    store.put("config", "main", configuration_document(1))
    store.faults.down = False
    match how:
        case "at their next beats":
            _write_at_beats(context.simulation.fleet)
        case "all at once 2 s later":
            loop.call_later(LATE_S, store.write_again)
        case "at their next beats, but for the head of a group":
            _write_but_for(context, lambda members: members[:1])
        case "at their next beats, but for the last member of a group":
            _write_but_for(context, lambda members: members[-1:])
        case "at their next beats, but for the members of a group":
            _write_but_for(context, lambda members: members)
        case _:
            raise AssertionError(how)


def _write_but_for(context, choose):
    """Let all replicas write again but for some of an open group, chosen by rank.

    The spares of the fabric domain are lost, so that a new group there would need them.
    """
    fleet = context.simulation.fleet
    head = fleet.open_group_heads("large")[0]
    loop = asyncio.get_running_loop()
    for id_ in choose(head.place.members):
        fleet.replicas_by_id[id_].cut_from_store = True
        loop.call_later(EXPIRY_S, fleet.store.remove, "servers", id_)
    for spare in fleet.replicas_by_id.values():
        if spare.domain == head.domain and spare.place is None:
            fleet.lose_replica(spare.id)
            fleet.store.remove("servers", spare.id)
    _write_at_beats(fleet)


def _write_at_beats(fleet):
    beats = random.Random(1)
    for replica in fleet.replicas_by_id.values():
        delay_s = beats.uniform(0.0, BEAT_S)
        asyncio.get_running_loop().call_later(delay_s, replica.publish)
