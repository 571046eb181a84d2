"""A relay that lost its way to the store makes its zone keep servers that have left."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from world import BOUNDS, TROUBLE, play  # noqa: E402

DRAIN_S = BOUNDS["drainMs"] / 1000
CUT_S = 5.5
LITTLE_LONGER_S = 0.4
KEY = "key-of-a"


async def main(world):
    await world.start({"tenant-a": [KEY], "tenant-b": ["key-of-b"]})
    await asyncio.sleep(4.0)
    leader = world.leader()
    zone = "bzh-pl" if leader == "front-bzh-lo-1" else "bzh-lo"
    cut = f"front-{zone}-1"
    others = [
        daemon
        for name, daemon in world.daemons.items()
        if daemon.zone == zone and name not in (cut, leader)
    ]
    world.record(f"leader {leader}; cut {cut}; asked {[d.name for d in others]}")
    if TROUBLE:
        pid = world.daemons[cut].pid
        world.store.silent_to.add(pid)
        world.record(f"{cut} is cut off from the store")
        await asyncio.sleep(CUT_S)
        world.store.silent_to.discard(pid)
        world.record(f"{cut} reaches the store again")
    else:
        await asyncio.sleep(CUT_S)
    sending = [asyncio.create_task(_book(world, daemon)) for daemon in others]
    await asyncio.sleep(0.9)
    # Two of the three replicas leave, one second after the other.
    leaving = [asyncio.create_task(_leave(world, world.replicas[0]))]
    await asyncio.sleep(1.0)
    leaving.append(asyncio.create_task(_leave(world, world.replicas[1])))
    broken = [text for each in leaving for text in await each]
    await asyncio.gather(*sending)
    ran = {attempt for each in world.replicas for _, attempt, _ in each.runs}
    for _, attempt, status, *_ in world.answers:
        if attempt in ran and status != 200:
            world.record(f"booking {attempt} ran, and its client got {status}")
    return broken


async def _leave(world, replica):
    """Take the replica's entry away; it serves on for a while, and exits."""
    replica.listed = False
    world.store.remove("servers", replica.id)
    gone_at = world.record.now()
    world.record(f"{replica.id} is gone from the store; it serves on for a while")
    await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
    replica.exit()
    world.record(f"{replica.id} exits")
    return [
        f"booking {attempt} reached {replica.id} {at - gone_at:.3f} s after it was gone"
        for at, attempt in replica.arrivals
        if at > gone_at + DRAIN_S
    ]


async def _book(world, daemon):
    requests = []
    for _ in range(130):
        requests.append(asyncio.create_task(world.send(daemon, "/book/1", KEY)))
        await asyncio.sleep(0.04)
    await asyncio.gather(*requests)


play(FOLDER, main)
