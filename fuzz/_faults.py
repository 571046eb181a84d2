"""Faults in a fleet of daemons and its store, shared by several suites."""

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
    """The store drops this share of its answers after the writes took effect."""

    share: float


@dataclass(frozen=True, slots=True)
class CompactWatch:
    """The store discards the history that watches resume from."""


@dataclass(frozen=True, slots=True)
class CutStore:
    """One daemon cannot reach the store."""

    daemon: int


@dataclass(frozen=True, slots=True)
class Part:
    """A network partition cuts some daemons off from the others."""

    daemons: tuple


@dataclass(frozen=True, slots=True)
class Heal:
    """Every partition and every cut link to the store ends."""


@dataclass(frozen=True, slots=True)
class Pause:
    """One daemon is suspended: its traffic is held back, and it can't tell."""

    daemon: int


@dataclass(frozen=True, slots=True)
class Resume:
    """A paused daemon runs again."""

    daemon: int


@dataclass(frozen=True, slots=True)
class Kill:
    """One daemon crashes, without a shutdown."""

    daemon: int


@dataclass(frozen=True, slots=True)
class Start:
    """A stopped daemon starts, without any state of its earlier run."""

    daemon: int


@dataclass(frozen=True, slots=True)
class Replace:
    """One daemon shuts down gracefully and starts again."""

    daemon: int


def faults(daemon_count):
    """Return pairs of a strategy of faults and its integer weight.

    :param daemon_count: the number of daemons in the fleet.
    """
    any_daemon = st.integers(0, daemon_count - 1)
    some_daemons = st.sets(any_daemon, min_size=1, max_size=daemon_count - 1)
    return [
        (st.builds(Wait, st.sampled_from([0.05, 0.5, 2.0, 6.0])), 6),
        (st.builds(StoreDown), 1),
        (st.builds(StoreUp), 2),
        (st.builds(LoseAnswers, st.sampled_from([0.0, 0.3, 0.7])), 1),
        (st.builds(CompactWatch), 1),
        (st.builds(CutStore, any_daemon), 1),
        (st.builds(Part, some_daemons.map(lambda chosen: tuple(sorted(chosen)))), 1),
        (st.builds(Heal), 2),
        (st.builds(Pause, any_daemon), 2),
        (st.builds(Resume, any_daemon), 3),
        (st.builds(Kill, any_daemon), 2),
        (st.builds(Start, any_daemon), 4),
        (st.builds(Replace, any_daemon), 1),
    ]


async def apply_fault(fleet, fault):
    """Inject ``fault`` into ``fleet``; return whether it applied.

    A fault doesn't apply to a daemon in the wrong state, such as a kill of a daemon
    that isn't running.
    """
    daemons_by_index = fleet.daemons_by_index
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
            fleet.partition(daemons)
        case Heal():
            fleet.heal()
        case Pause(daemon) if daemon in daemons_by_index:
            daemons_by_index[daemon].gate.pause()
        case Resume(daemon) if daemon in daemons_by_index:
            daemons_by_index[daemon].gate.resume()
        case Kill(daemon) if daemon in daemons_by_index:
            await fleet.kill_daemon(daemon)
        case Start(daemon) if daemon not in daemons_by_index:
            await fleet.start_daemon(daemon)
        case Replace(daemon) if (
            daemon in daemons_by_index and not daemons_by_index[daemon].gate.is_paused
        ):
            await fleet.stop_daemon(daemon)
            await fleet.start_daemon(daemon)
        case _:
            return False
    return True


async def end_all_faults(fleet, daemon_count):
    """End every fault, then start the daemons that are not running.

    :param daemon_count: the number of daemons in the fleet.
    """
    fleet.platform.faults.down = False
    fleet.platform.faults.lose_answer_share = 0.0
    fleet.heal()
    for daemon in fleet.daemons_by_index.values():
        daemon.gate.resume()
    for index in range(daemon_count):
        if index not in fleet.daemons_by_index:
            await fleet.start_daemon(index)
