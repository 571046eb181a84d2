"""Plays one seed and prints what came of it."""

import asyncio
import contextlib
import tempfile
from pathlib import Path

import logbook

from soak._run import Soak

FIRST_PORT = 24000
SHOWN_PROBLEMS = 20


def play_seed(seed, *, seconds, daemons, callers, first_port=FIRST_PORT, keep=None):
    """Play one seed, print its problems, and tell whether there were none.

    :param seconds: for how long faults are made.
    :param keep: a folder in which the daemons' logs stay.
    """
    with contextlib.ExitStack() as stack:
        stack.enter_context(logbook.NullHandler().applicationbound())
        folder = Path(keep or stack.enter_context(tempfile.TemporaryDirectory()))
        folder = folder / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        soak = asyncio.run(_play(folder, seed, seconds, daemons, callers, first_port))
    verdict = f"{len(soak.problems)} problems" if soak.problems else "passed"
    print(
        f"soak seed {seed}: {verdict}; {len(soak.injector.spans)} disturbances;"
        f" {_statuses(soak.callers.attempts)}",
        flush=True,
    )
    for problem in soak.problems[:SHOWN_PROBLEMS]:
        print(f"  seed {seed}: {problem}")
    return not soak.problems


async def _play(folder, seed, seconds, daemons, callers, first_port):
    soak = Soak(
        folder, seed=seed, seconds=seconds, daemons=daemons, first_port=first_port
    )
    await soak.play(callers=callers, seconds=seconds)
    return soak


def _statuses(attempts):
    counts = {}
    for attempt in attempts:
        name = attempt.status if attempt.whole else "not whole"
        counts[name] = counts.get(name, 0) + 1
    return ", ".join(f"{name}: {count}" for name, count in counts.items())
