"""Steps for daemons that start."""

import asyncio

from behave import then, when

READ_LIMIT_S = 3.0
TICK_S = 0.05


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


async def _watch_holders(fleet, holders):
    """Append to ``holders``, several times a second, the names of those that lead."""
    while True:
        holders.append(tuple(fleet.leader_names()))
        await asyncio.sleep(TICK_S)


@then("never did two hold the lease")
def then_one_holder(context):
    assert len(context.holders) > 10, context.holders
    assert all(len(holders) <= 1 for holders in context.holders), context.holders
