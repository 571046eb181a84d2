"""The faults of a soak: their kinds, their random schedule and their injection."""

import asyncio
import signal
import time
from dataclasses import dataclass

from soak._leaving import CutFromStore, Leave, leave
from soak._links import Blocked, Clear, Delayed
from soak._spans import FaultSpan, Scope

STOP_GRACE_S = 8.0
RESTART_DELAY_RANGE_S = (0.2, 1.5)
# No fault starts earlier, so that the first one hits a fleet that serves.
FAULT_FREE_START_S = 2.0
FAULT_KIND_COUNT_RANGE = (1, 6)
PLANNED_ONLY_PROBABILITY = 0.25


@dataclass(frozen=True, slots=True)
class DelayLink:
    """One link delays every chunk by ``delay_s``."""

    kind: str
    index: int
    delay_s: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class BlockLink:
    """One link forwards nothing for a while, in one direction or in both."""

    kind: str
    index: int
    towards_target: bool
    from_target: bool
    duration_s: float


@dataclass(frozen=True, slots=True)
class ResetLink:
    """Every open connection of one link is reset."""

    kind: str
    index: int


@dataclass(frozen=True, slots=True)
class SilenceLink:
    """Every open connection of one link stays open but forwards nothing any more."""

    kind: str
    index: int


@dataclass(frozen=True, slots=True)
class StopDaemon:
    """Planned: a daemon gets SIGTERM and is restarted after it has exited."""

    index: int


@dataclass(frozen=True, slots=True)
class KillDaemon:
    """A daemon gets SIGKILL and is restarted after a short delay."""

    index: int


@dataclass(frozen=True, slots=True)
class PauseDaemon:
    """A daemon is suspended with SIGSTOP, and continued with SIGCONT."""

    index: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class HangUpDaemon:
    """Planned: a daemon gets SIGHUP, which excuses nothing."""

    index: int


@dataclass(frozen=True, slots=True)
class StoreFault:
    """The store is in one of ``STORE_STATES``.

    A lossy store applies some writes late and never answers them; a forgetful one
    drops its history of changes, which ends older watches.
    """

    state: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class ReplicaFault:
    """A model replica is in one of ``REPLICA_STATES``; a drain is planned.

    A lost replica answers nothing; a cut one can't write to the store.
    """

    state: str
    index: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class LateOrders:
    """Model replicas apply a share of their orders late and never answer these."""

    share: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class PlainFault:
    """Plain replicas drop a share of their answers and refuse a share of requests."""

    lost_share: float
    refused_share: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class WriteVersions:
    """Planned: the operator writes ``count`` versions in quick succession."""

    count: int


LINK_KINDS = ("callers", "store", "replica")
STORE_STATES = ("down", "silent", "slow", "lossy", "forgetful")
REPLICA_STATES = ("lost", "cut", "draining", "slow")


def schedule(rng, seconds, *, daemons, replicas):
    """Return the faults of one soak as pairs of time and fault, sorted by time.

    Each soak draws only a few kinds of faults, and some soaks only planned work,
    because every other fault excuses breaches: without them the checks are strictest.

    :param seconds: the end of the period in which faults start.
    :param replicas: the number of model replicas.
    """
    count = max(4, int(seconds * rng.uniform(0.5, 1.1)))
    planned = [
        (lambda: StopDaemon(rng.randrange(daemons)), 4),
        (lambda: HangUpDaemon(rng.randrange(daemons)), 2),
        (lambda: WriteVersions(rng.randint(1, 5)), 4),
    ]
    faults = (
        (
            lambda: DelayLink(
                *_draw_link(rng, daemons, replicas), *_draw_times(rng, 0.02, 0.3)
            ),
            2,
        ),
        (
            lambda: BlockLink(
                *_draw_link(rng, daemons, replicas),
                *rng.choice(((True, True), (True, False), (False, True))),
                rng.uniform(0.5, 5.0),
            ),
            3,
        ),
        (lambda: ResetLink(*_draw_link(rng, daemons, replicas)), 2),
        (lambda: SilenceLink(*_draw_link(rng, daemons, replicas)), 2),
        (lambda: KillDaemon(rng.randrange(daemons)), 3),
        (lambda: PauseDaemon(rng.randrange(daemons), rng.uniform(0.5, 6.0)), 2),
        (lambda: StoreFault(rng.choice(STORE_STATES), rng.uniform(0.5, 6.0)), 3),
        (
            lambda: ReplicaFault(
                rng.choice(REPLICA_STATES),
                rng.randrange(replicas),
                rng.uniform(1.0, 8.0),
            ),
            5,
        ),
        (lambda: LateOrders(rng.uniform(0.1, 0.6), rng.uniform(2.0, 8.0)), 2),
        (lambda: PlainFault(rng.uniform(0, 0.2), rng.uniform(0, 0.3), 4.0), 2),
    )
    if rng.random() < PLANNED_ONLY_PROBABILITY:
        kinds = planned
    else:
        kinds = rng.sample(faults, rng.randint(*FAULT_KIND_COUNT_RANGE)) + planned
    factories, weights = zip(*kinds, strict=True)
    times = sorted(rng.uniform(FAULT_FREE_START_S, seconds) for _ in range(count))
    return [(at, rng.choices(factories, weights)[0]()) for at in times]


def _draw_link(rng, daemons, replicas):
    kind = rng.choice(LINK_KINDS)
    return kind, rng.randrange(replicas if kind == "replica" else daemons)


def _draw_times(rng, min_delay_s, max_delay_s):
    return rng.uniform(min_delay_s, max_delay_s), rng.uniform(1.0, 6.0)


class Injector:
    """Injects and ends faults; those that can excuse breaches have a `FaultSpan`."""

    __slots__ = ("spans", "_platform", "_daemons", "_links_by_kind", "_random", "tasks")

    def __init__(self, platform, daemons, links_by_kind, rng):
        self.spans = []
        self.tasks = set()
        self._platform = platform
        self._daemons = daemons
        self._links_by_kind = links_by_kind
        self._random = rng

    def was_disturbed(self, daemon, since, until, *, planned=True, replicas=True):
        """Return whether a fault of ``daemon`` or of all daemons overlaps that time.

        :param planned: whether planned work counts as a fault.
        :param replicas: whether faults of replicas alone count.
        """
        return any(
            span.started_at <= until
            and span.ended_at >= since
            and span.daemon in (None, daemon.name)
            and (planned or not span.planned)
            and (replicas or span.scope is not Scope.REPLICA)
            for span in self.spans
        )

    def inject(self, fault):
        """Start a task that applies ``fault`` and ends it after its duration."""
        task = asyncio.ensure_future(self._apply(fault))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def begin_span(self, cause, daemon=None, *, scope=Scope.DAEMON, planned=False):
        """Record and return a `FaultSpan` that starts now."""
        name = daemon.name if daemon else None
        span = FaultSpan(cause, name, scope=scope, planned=planned)
        self.spans.append(span)
        return span

    async def _apply(self, fault):
        match fault:
            case DelayLink(kind, index, delay_s, duration_s):
                await self._impair_link(kind, index, Delayed(delay_s), duration_s)
            case BlockLink(kind, index, towards_target, from_target, duration_s):
                await self._impair_link(
                    kind, index, Blocked(towards_target, from_target), duration_s
                )
            case ResetLink(kind, index):
                self._link(kind, index).reset()
                self._begin_link_span(kind, index).end()
            case SilenceLink(kind, index):
                self._link(kind, index).silence()
                self._begin_link_span(kind, index).end()
            case StopDaemon(index):
                await self._stop(self._daemons[index])
            case KillDaemon(index):
                await self._kill(self._daemons[index])
            case PauseDaemon(index, duration_s):
                await self._pause(self._daemons[index], duration_s)
            case HangUpDaemon(index):
                self._daemons[index].signal(signal.SIGHUP)
            case StoreFault(state, duration_s):
                await self._apply_store_fault(state, duration_s)
            case ReplicaFault(state, index, duration_s):
                await self._apply_replica_fault(state, index, duration_s)
            case LateOrders(share, duration_s):
                await self._delay_orders(duration_s, late_order_share=share)
            case PlainFault(lost_share, refused_share, duration_s):
                await self._apply_plain_fault(lost_share, refused_share, duration_s)
            case CutFromStore(index, towards_store, from_store, duration_s):
                await self._cut_from_store(
                    self._daemons[index], Blocked(towards_store, from_store), duration_s
                )
            case Leave() as fault:
                span = self.begin_span("leaving", scope=Scope.REPLICA, planned=True)
                await leave(self._platform, fault)
                span.end()
            case WriteVersions(count):
                for _ in range(count):
                    self._platform.write_version()
                    await asyncio.sleep(0.3)

    def _link(self, kind, index):
        links = self._links_by_kind[kind]
        return links[index % len(links)]

    def _begin_link_span(self, kind, index):
        match kind:
            case "replica":
                return self.begin_span("replica link", scope=Scope.REPLICA)
            case "store":
                return self.begin_span("store link")
        return self.begin_span(f"{kind} link", self._daemons[index])

    async def _impair_link(self, kind, index, condition, duration_s):
        link = self._link(kind, index)
        span = self._begin_link_span(kind, index)
        link.set_condition(condition)
        await asyncio.sleep(duration_s)
        link.set_condition(Clear())
        span.end()

    async def _cut_from_store(self, daemon, condition, duration_s):
        (link,) = self._links_by_kind["store"]
        span = self.begin_span("store cut", daemon)
        link.set_condition(condition, owner=daemon.name)
        await asyncio.sleep(duration_s)
        link.set_condition(Clear(), owner=daemon.name)
        span.end()

    async def _stop(self, daemon):
        if not daemon.is_running or daemon.stopping_since is not None:
            return
        span = self.begin_span("stop", daemon, planned=True)
        ended = await daemon.stop(STOP_GRACE_S)
        if not ended and not self.was_disturbed(
            daemon, span.started_at, time.monotonic(), planned=False, replicas=False
        ):
            span.cause = "stop that took too long"
        await self._restart_after_delay(daemon, span)

    async def _kill(self, daemon):
        if not daemon.is_running:
            return
        span = self.begin_span("kill", daemon)
        await daemon.kill()
        await self._restart_after_delay(daemon, span)

    async def _restart_after_delay(self, daemon, span):
        await asyncio.sleep(self._random.uniform(*RESTART_DELAY_RANGE_S))
        if not daemon.is_running:
            daemon.start()
        span.end()

    async def _pause(self, daemon, duration_s):
        if not daemon.is_running:
            return
        span = self.begin_span("pause", daemon)
        daemon.pause()
        await asyncio.sleep(duration_s)
        daemon.resume()
        span.end()

    async def _apply_store_fault(self, state, duration_s):
        store, faults = self._platform.store, self._platform.store.faults
        span = self.begin_span(f"store {state}")
        match state:
            case "down":
                faults.down = True
            case "silent":
                faults.silent = True
            case "slow":
                faults.slow_s = 0.2
            case "lossy":
                faults.lose_answer_share, faults.late_writes_s = 0.3, 6.0
            case "forgetful":
                store.drop_history()
        await asyncio.sleep(duration_s)
        faults.down = faults.silent = False
        faults.slow_s = faults.lose_answer_share = faults.late_writes_s = 0.0
        span.end()

    async def _apply_replica_fault(self, state, index, duration_s):
        replica = list(self._platform.model_replicas.values())[index]
        planned = state == "draining"
        span = self.begin_span(f"replica {state}", scope=Scope.REPLICA, planned=planned)
        match state:
            case "lost":
                self._platform.silence_replica(replica)
            case "cut":
                self._platform.partition_from_store(replica)
            case "draining":
                self._platform.drain(replica)
            case "slow":
                replica.slow_factor = 5.0
        await asyncio.sleep(duration_s)
        replica.slow_factor = 1.0
        if state != "slow":
            self._platform.restart(replica)
        span.end()

    async def _delay_orders(self, duration_s, *, late_order_share):
        span = self.begin_span("late orders", scope=Scope.REPLICA)
        for replica in self._platform.model_replicas.values():
            replica.late_order_share = late_order_share
        await asyncio.sleep(duration_s)
        for replica in self._platform.model_replicas.values():
            replica.late_order_share = 0.0
        span.end()

    async def _apply_plain_fault(self, lost_share, refused_share, duration_s):
        span = self.begin_span("plain replica faults", scope=Scope.REPLICA)
        for replica in self._platform.plain_replicas.values():
            replica.lose_answer_share, replica.refusal_share = lost_share, refused_share
        await asyncio.sleep(duration_s)
        for replica in self._platform.plain_replicas.values():
            replica.lose_answer_share = replica.refusal_share = 0.0
        span.end()
