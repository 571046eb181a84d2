"""Runs the soak of one seed and prints the result."""

import asyncio
import contextlib
import tempfile
from pathlib import Path

import logbook

from soak._callers import STAYING
from soak._daemons import ROOT
from soak._run import Soak

FIRST_PORT = 24000
MAX_SHOWN_PROBLEMS = 20


def play_seed(
    seed,
    *,
    seconds,
    daemons,
    callers,
    first_port=FIRST_PORT,
    keep=None,
    stuttering=None,
    habits=STAYING,
    code=ROOT,
):
    """Run the soak of one seed, print its problems, and return whether it passed.

    :param seconds: how long faults are injected.
    :param first_port: the first of the ports that the deployment uses.
    :param keep: a folder that keeps the daemons' logs, instead of a temporary one.
    :param stuttering: the options of the replicas' `Stutter`; by default, none
        stutters.
    :param habits: the `Habits` of the callers.
    :param code: the folder of the checkout that the daemons run.
    """
    with contextlib.ExitStack() as stack:
        stack.enter_context(logbook.NullHandler().applicationbound())
        folder = Path(keep or stack.enter_context(tempfile.TemporaryDirectory()))
        folder = folder / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        soak = asyncio.run(
            _play(
                callers,
                folder,
                seed=seed,
                seconds=seconds,
                daemons=daemons,
                first_port=first_port,
                stuttering=stuttering,
                habits=habits,
                code=code,
            )
        )
    verdict = f"{len(soak.problems)} problems" if soak.problems else "passed"
    print(
        f"soak seed {seed}: {verdict}; {len(soak.injector.spans)} disturbances;"
        f" {_count_statuses(soak.callers.attempts)}",
        flush=True,
    )
    for problem in soak.problems[:MAX_SHOWN_PROBLEMS]:
        print(f"  seed {seed}: {problem}")
    return not soak.problems


async def _play(callers, folder, *, seconds, **options):
    soak = Soak(folder, seconds=seconds, **options)
    await soak.play(callers=callers, seconds=seconds)
    return soak


def _count_statuses(attempts):
    counts = {}
    for attempt in attempts:
        name = attempt.status if attempt.is_complete else "incomplete"
        counts[name] = counts.get(name, 0) + 1
    return ", ".join(f"{name}: {count}" for name, count in counts.items())
