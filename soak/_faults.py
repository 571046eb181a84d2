"""The faults of a soak: what they are, when they come, and how they are made."""

import asyncio
import signal
import time
from dataclasses import dataclass
from enum import StrEnum

from soak._links import Clear, Cut, Delayed

GRACE_S = 8.0
RESTART_DELAY_S = (0.2, 1.5)
# Kept free at the start, for a system that stands, and at the end.
LEAD_S = 2.0
KINDS_IN_A_SOAK = (1, 6)
PLANNED_ONLY_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class DelayLink:
    """Every piece on the links of one kind and number waits."""

    kind: str
    index: int
    seconds: float
    for_s: float


@dataclass(frozen=True, slots=True)
class CutLink:
    """A link passes nothing for a while, in one direction or in both."""

    kind: str
    index: int
    towards: bool
    back: bool
    for_s: float


@dataclass(frozen=True, slots=True)
class ResetLink:
    """Every connection of a link is reset."""

    kind: str
    index: int


@dataclass(frozen=True, slots=True)
class SilenceLink:
    """Every connection of a link falls silent for good."""

    kind: str
    index: int


@dataclass(frozen=True, slots=True)
class StopDaemon:
    """A daemon gets SIGTERM, and starts again when it has ended."""

    index: int


@dataclass(frozen=True, slots=True)
class KillDaemon:
    """A daemon gets SIGKILL, and starts again a little later."""

    index: int


@dataclass(frozen=True, slots=True)
class PauseDaemon:
    """A daemon gets SIGSTOP, and SIGCONT later."""

    index: int
    for_s: float


@dataclass(frozen=True, slots=True)
class HangUpDaemon:
    """A daemon gets SIGHUP."""

    index: int


@dataclass(frozen=True, slots=True)
class StoreFault:
    """The store is down, silent, slow, loses answers to writes, or its history."""

    state: str
    for_s: float


@dataclass(frozen=True, slots=True)
class ReplicaFault:
    """A model replica is lost, cut off from the store, drains, or is slow."""

    state: str
    index: int
    for_s: float


@dataclass(frozen=True, slots=True)
class LateOrders:
    """A share of the orders is carried out late and never answered."""

    share: float
    for_s: float


@dataclass(frozen=True, slots=True)
class BadAnswers:
    """Plain replicas lose a share of their answers and refuse another."""

    lost: float
    refused: float
    for_s: float


@dataclass(frozen=True, slots=True)
class Configure:
    """The operator writes ``count`` versions in quick succession."""

    count: int


LINK_KINDS = ("callers", "store", "replica")
STORE_STATES = ("down", "silent", "slow", "lossy", "forgetful")
REPLICA_STATES = ("lost", "cut", "draining", "slow")


def schedule(rng, seconds, *, daemons, replicas):
    """Return pairs of a time and a fault for one soak, in the order of the times.

    Each soak has a few kinds of faults only, and some have planned work alone, so
    that the strictest checks, which excuse nothing that was disturbed, apply.
    """
    count = max(4, int(seconds * rng.uniform(0.5, 1.1)))
    planned = [
        (lambda: StopDaemon(rng.randrange(daemons)), 4),
        (lambda: HangUpDaemon(rng.randrange(daemons)), 2),
        (lambda: Configure(rng.randint(1, 5)), 4),
    ]
    faults = (
        (lambda: DelayLink(*_link(rng, daemons, replicas), *_pair(rng, 0.02, 0.3)), 2),
        (
            lambda: CutLink(
                *_link(rng, daemons, replicas),
                *rng.choice(((True, True), (True, False), (False, True))),
                rng.uniform(0.5, 5.0),
            ),
            3,
        ),
        (lambda: ResetLink(*_link(rng, daemons, replicas)), 2),
        (lambda: SilenceLink(*_link(rng, daemons, replicas)), 2),
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
        (lambda: BadAnswers(rng.uniform(0, 0.2), rng.uniform(0, 0.3), 4.0), 2),
    )
    if rng.random() < PLANNED_ONLY_SHARE:
        kinds = planned
    else:
        kinds = rng.sample(faults, rng.randint(*KINDS_IN_A_SOAK)) + planned
    functions, weights = zip(*kinds, strict=True)
    times = sorted(rng.uniform(LEAD_S, seconds) for _ in range(count))
    return [(at, rng.choices(functions, weights)[0]()) for at in times]


def _link(rng, daemons, replicas):
    kind = rng.choice(LINK_KINDS)
    return kind, rng.randrange(replicas if kind == "replica" else daemons)


def _pair(rng, least_s, most_s):
    return rng.uniform(least_s, most_s), rng.uniform(1.0, 6.0)


class Scope(StrEnum):
    """What a disturbance harms: daemons and what they reach, or replicas alone."""

    DAEMON = "daemon"
    REPLICA = "replica"


class Span:
    """A time in which something was disturbed; ``daemon`` is ``None`` for all."""

    __slots__ = ("what", "daemon", "scope", "planned", "began_at", "ended_at")

    def __init__(self, what, daemon, *, scope, planned):
        self.what = what
        self.daemon = daemon
        self.scope = scope
        self.planned = planned
        self.began_at = time.monotonic()
        self.ended_at = float("inf")

    def end(self):
        """Note that the disturbance is over."""
        self.ended_at = time.monotonic()


class Injector:
    """Makes faults and mends them, and remembers when each one was in force."""

    __slots__ = ("spans", "_platform", "_daemons", "_links_by_kind", "_random", "tasks")

    def __init__(self, platform, daemons, links_by_kind, rng):
        self.spans = []
        self.tasks = set()
        self._platform = platform
        self._daemons = daemons
        self._links_by_kind = links_by_kind
        self._random = rng

    def disturbed(self, daemon, began_at, ended_at, *, planned=True, replicas=True):
        """Tell whether ``daemon``, or all of them, were disturbed in that time.

        :param planned: whether planned work counts as a disturbance.
        :param replicas: whether what harms replicas alone counts as one.
        """
        return any(
            span.began_at <= ended_at
            and span.ended_at >= began_at
            and span.daemon in (None, daemon.name)
            and (planned or not span.planned)
            and (replicas or span.scope is not Scope.REPLICA)
            for span in self.spans
        )

    def begin(self, fault):
        """Make ``fault`` in a task of its own, which mends it in time."""
        task = asyncio.ensure_future(self._apply(fault))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def span(self, what, daemon=None, *, scope=Scope.DAEMON, planned=False):
        """Begin a `Span` and return it."""
        name = daemon.name if daemon else None
        span = Span(what, name, scope=scope, planned=planned)
        self.spans.append(span)
        return span

    async def _apply(self, fault):
        match fault:
            case DelayLink(kind, index, seconds, for_s):
                await self._harm(kind, index, Delayed(seconds), for_s)
            case CutLink(kind, index, towards, back, for_s):
                await self._harm(kind, index, Cut(towards, back), for_s)
            case ResetLink(kind, index):
                self._link(kind, index).reset()
                self._link_span(kind, index).end()
            case SilenceLink(kind, index):
                self._link(kind, index).silence()
                self._link_span(kind, index).end()
            case StopDaemon(index):
                await self._stop(self._daemons[index])
            case KillDaemon(index):
                await self._kill(self._daemons[index])
            case PauseDaemon(index, for_s):
                await self._pause(self._daemons[index], for_s)
            case HangUpDaemon(index):
                self._daemons[index].signal(signal.SIGHUP)
            case StoreFault(state, for_s):
                await self._harm_store(state, for_s)
            case ReplicaFault(state, index, for_s):
                await self._harm_replica(state, index, for_s)
            case LateOrders(share, for_s):
                await self._set_replicas(for_s, late_orders=share)
            case BadAnswers(lost, refused, for_s):
                await self._spoil_answers(lost, refused, for_s)
            case Configure(count):
                for _ in range(count):
                    self._platform.configure()
                    await asyncio.sleep(0.3)

    def _link(self, kind, index):
        links = self._links_by_kind[kind]
        return links[index % len(links)]

    def _link_span(self, kind, index):
        match kind:
            case "replica":
                return self.span("replica link", scope=Scope.REPLICA)
            case "store":
                return self.span("store link")
        return self.span(f"{kind} link", self._daemons[index])

    async def _harm(self, kind, index, condition, for_s):
        link = self._link(kind, index)
        span = self._link_span(kind, index)
        link.set(condition)
        await asyncio.sleep(for_s)
        link.set(Clear())
        span.end()

    async def _stop(self, daemon):
        if not daemon.running or daemon.stopping_since is not None:
            return
        span = self.span("stop", daemon, planned=True)
        ended = await daemon.stop(GRACE_S)
        if not ended and not self.disturbed(
            daemon, span.began_at, time.monotonic(), planned=False, replicas=False
        ):
            span.what = "stop that took too long"
        await self._start_again(daemon, span)

    async def _kill(self, daemon):
        if not daemon.running:
            return
        span = self.span("kill", daemon)
        await daemon.kill()
        await self._start_again(daemon, span)

    async def _start_again(self, daemon, span):
        await asyncio.sleep(self._random.uniform(*RESTART_DELAY_S))
        if not daemon.running:
            daemon.start()
        span.end()

    async def _pause(self, daemon, for_s):
        if not daemon.running:
            return
        span = self.span("pause", daemon)
        daemon.pause()
        await asyncio.sleep(for_s)
        daemon.resume()
        span.end()

    async def _harm_store(self, state, for_s):
        store, faults = self._platform.store, self._platform.store.faults
        span = self.span(f"store {state}")
        match state:
            case "down":
                faults.down = True
            case "silent":
                faults.silent = True
            case "slow":
                faults.slow_s = 0.2
            case "lossy":
                faults.lose_answers, faults.late_writes_s = 0.3, 6.0
            case "forgetful":
                store.drop_history()
        await asyncio.sleep(for_s)
        faults.down = faults.silent = False
        faults.slow_s = faults.lose_answers = faults.late_writes_s = 0.0
        span.end()

    async def _harm_replica(self, state, index, for_s):
        replica = list(self._platform.models.values())[index]
        planned = state == "draining"
        span = self.span(f"replica {state}", scope=Scope.REPLICA, planned=planned)
        match state:
            case "lost":
                self._platform.lose(replica)
            case "cut":
                self._platform.cut_off(replica)
            case "draining":
                self._platform.drain(replica)
            case "slow":
                replica.slow_x = 5.0
        await asyncio.sleep(for_s)
        replica.slow_x = 1.0
        if state != "slow":
            self._platform.restart(replica)
        span.end()

    async def _set_replicas(self, for_s, *, late_orders):
        span = self.span("late orders", scope=Scope.REPLICA)
        for replica in self._platform.models.values():
            replica.late_orders = late_orders
        await asyncio.sleep(for_s)
        for replica in self._platform.models.values():
            replica.late_orders = 0.0
        span.end()

    async def _spoil_answers(self, lost, refused, for_s):
        span = self.span("bad answers", scope=Scope.REPLICA)
        for replica in self._platform.plain.values():
            replica.lose_answers, replica.refusals = lost, refused
        await asyncio.sleep(for_s)
        for replica in self._platform.plain.values():
            replica.lose_answers = replica.refusals = 0.0
        span.end()
