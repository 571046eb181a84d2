"""A daemon is stopped in order while it passes on streams whose ids grow by five."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from bed import Bed, route, run  # noqa: E402

# An event holds five tokens, and its id says how many came so far.
EVENT_IDS = range(5, 105, 5)
GRACE_S = 8.0


async def main(trouble):
    bed = Bed(FOLDER, daemons=3)
    try:
        for _ in range(3):
            replica = bed.add_replica("app", slots=20)
            replica.event_ids = EVENT_IDS
        draft = route(
            "draft", "/draft/", "streaming", "app", timeout_ms=6000, target_ms=500
        )
        bed.configure(7, [draft | {"targetGapMs": 300}], [{"name": "app", "maxConns": 200}])
        await bed.start()
        await asyncio.sleep(4)
        daemon = bed.daemons[0]
        streams = [
            asyncio.ensure_future(bed.ask_stream(daemon, "/draft/x")) for _ in range(10)
        ]
        await asyncio.sleep(0.05)
        if trouble:
            bed.record.write("sigterm", machine=daemon.name)
            daemon.process.terminate()
        results = await asyncio.gather(*streams)
        if trouble:
            await asyncio.wait_for(daemon.process.wait(), GRACE_S + 1)
        arrived = {id_ for replica in bed.replicas for _, _, id_ in replica.arrivals}
        cut = [r for r in results if not r[3] and r[0] in arrived]
        events = sorted({r[2] for r in cut})
        print(f"{len(cut)} of {len(results)} streams were cut, after {events} events")
        if not trouble:
            print("there was no planned work, so the rule says nothing of them")
        bed.record.write("judged", cut=len(cut), planned=trouble)
        return trouble and bool(cut)
    finally:
        bed.end()


run(main)
