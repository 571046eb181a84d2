"""The faults that every suite mixes into its histories."""

import asyncio
from dataclasses import dataclass

from hypothesis import strategies as st


@dataclass(frozen=True, slots=True)
class Wait:
    """Let time pass."""

    seconds: float


@dataclass(frozen=True, slots=True)
class StoreDown:
    """The platform's store stops answering."""


@dataclass(frozen=True, slots=True)
class StoreUp:
    """The platform's store answers again."""


@dataclass(frozen=True, slots=True)
class LoseAnswers:
    """The store loses this share of its answers, after the writes took effect."""

    share: float


@dataclass(frozen=True, slots=True)
class CompactWatch:
    """The store forgets its watch history."""


@dataclass(frozen=True, slots=True)
class CutStore:
    """One daemon cannot reach the store."""

    daemon: int


@dataclass(frozen=True, slots=True)
class Part:
    """Some daemons are cut off from the others."""

    daemons: tuple


@dataclass(frozen=True, slots=True)
class Heal:
    """Every link works again."""


@dataclass(frozen=True, slots=True)
class Pause:
    """One daemon stops running for a while, without noticing."""

    daemon: int


@dataclass(frozen=True, slots=True)
class Resume:
    """One daemon runs again."""

    daemon: int


@dataclass(frozen=True, slots=True)
class Kill:
    """One daemon ends at once."""

    daemon: int


@dataclass(frozen=True, slots=True)
class Start:
    """One daemon starts, with nothing kept from before."""

    daemon: int


@dataclass(frozen=True, slots=True)
class Replace:
    """One daemon stops in order and starts again."""

    daemon: int


def faults(daemons):
    """Return strategies of faults in a fleet of ``daemons``, with their shares."""
    one = st.integers(0, daemons - 1)
    some = st.sets(one, min_size=1, max_size=daemons - 1)
    return [
        (st.builds(Wait, st.sampled_from([0.05, 0.5, 2.0, 6.0])), 6),
        (st.builds(StoreDown), 1),
        (st.builds(StoreUp), 2),
        (st.builds(LoseAnswers, st.sampled_from([0.0, 0.3, 0.7])), 1),
        (st.builds(CompactWatch), 1),
        (st.builds(CutStore, one), 1),
        (st.builds(Part, some.map(lambda chosen: tuple(sorted(chosen)))), 1),
        (st.builds(Heal), 2),
        (st.builds(Pause, one), 2),
        (st.builds(Resume, one), 3),
        (st.builds(Kill, one), 2),
        (st.builds(Start, one), 4),
        (st.builds(Replace, one), 1),
    ]


async def apply_fault(fleet, fault):
    """Bring ``fault`` about in ``fleet``; return whether it was one."""
    running = fleet.daemons_by_index
    match fault:
        case Wait(seconds):
            await asyncio.sleep(seconds)
        case StoreDown():
            fleet.platform.faults.down = True
        case StoreUp():
            fleet.platform.faults.down = False
        case LoseAnswers(share):
            fleet.platform.faults.lose_answer_share = share
        case CompactWatch():
            fleet.platform.compact()
        case CutStore(daemon):
            fleet.cut_store(daemon)
        case Part(daemons):
            fleet.part(daemons)
        case Heal():
            fleet.heal()
        case Pause(daemon) if daemon in running:
            running[daemon].gate.pause()
        case Resume(daemon) if daemon in running:
            running[daemon].gate.resume()
        case Kill(daemon) if daemon in running:
            await fleet.kill_daemon(daemon)
        case Start(daemon) if daemon not in running:
            await fleet.start_daemon(daemon)
        case Replace(daemon) if daemon in running and not running[daemon].gate.paused:
            await fleet.stop_daemon(daemon)
            await fleet.start_daemon(daemon)
        case _:
            return False
    return True


async def mend_everything(fleet, daemons):
    """End every fault and run every daemon again."""
    fleet.platform.faults.down = False
    fleet.platform.faults.lose_answer_share = 0.0
    fleet.heal()
    for daemon in fleet.daemons_by_index.values():
        daemon.gate.resume()
    for index in range(daemons):
        if index not in fleet.daemons_by_index:
            await fleet.start_daemon(index)
