"""A leader whose calls do not reach the store keeps the whole fleet out of date."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from world import BOUNDS, TROUBLE, configuration, play  # noqa: E402

APPLY_S = BOUNDS["configApplyMs"] / 1000
CUT_S = 5.5
ROUNDS = 8


async def main(world):
    keys = {"tenant-a": [f"key-{i}" for i in range(ROUNDS)], "tenant-b": ["key-of-b"]}
    await world.start(keys)
    broken = []
    version = 1
    for _ in range(ROUNDS):
        await asyncio.sleep(4.0)
        leader = world.leader()
        others = [d for name, d in world.daemons.items() if name != leader]
        if TROUBLE:
            world.store.deaf_to.add(world.daemons[leader].pid)
            world.record(f"calls of the leader {leader} do not reach the store")
        # Two changes close together; the second takes a key away.
        await asyncio.sleep(0.05)
        version += 3
        world.store.put("config", "main", configuration(version, keys))
        world.record(f"version {version} is acknowledged")
        await asyncio.sleep(0.05)
        key = keys["tenant-a"].pop(0)
        version += 2
        world.store.put("config", "main", configuration(version, keys))
        acked_at = world.record.now()
        world.record(f"version {version} without {key} is acknowledged")
        await asyncio.sleep(APPLY_S - 0.2)
        asked = [asyncio.create_task(_ask(world, daemon, key)) for daemon in others]
        results = [result for each in asked for result in await each]
        ran = {a: t for replica in world.replicas for _, a, t in replica.runs}
        for sent, attempt, status, name, *_ in results:
            if sent > acked_at + APPLY_S and attempt in ran:
                broken.append(
                    f"{attempt}, sent to {name} {sent - acked_at:.3f} s after {key} "
                    f"was taken away, ran for {ran[attempt]}: {status}"
                )
        await asyncio.sleep(max(0.0, acked_at + CUT_S - world.record.now()))
        world.store.deaf_to.clear()
        world.record("all calls reach the store")
    return broken


async def _ask(world, daemon, key):
    requests = []
    for _ in range(24):
        requests.append(asyncio.create_task(world.send(daemon, "/book/1", key)))
        await asyncio.sleep(0.05)
    return await asyncio.gather(*requests)


play(FOLDER, main)
