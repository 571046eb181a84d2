"""A prompt part that crashes replicas stands behind 32 others."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from bed import Bed, run  # noqa: E402
from engines import (  # noqa: E402
    DEADLY_PART,
    EngineReplica,
    add_models,
    judge,
    send_prompts,
)

SOUND_PARTS = [f"{number:08x}" for number in range(35)]
POSITION = 32


async def main(trouble):
    bed = Bed(FOLDER, daemons=3)
    try:
        replicas = add_models(bed, EngineReplica)
        if trouble:
            for replica in replicas:
                replica.is_deadly = lambda parts: DEADLY_PART in parts
        await bed.start()
        await asyncio.sleep(8)
        sent = await send_prompts(bed, replicas, SOUND_PARTS, POSITION, for_s=40)
        return judge(bed, replicas, *sent)
    finally:
        bed.end()


run(main)
