"""The named troubles of a run that measures service, and their injection."""

import asyncio
from dataclasses import dataclass

from soak._faults import (
    KillDaemon,
    LateOrders,
    PauseDaemon,
    ReplicaFault,
    StopDaemon,
    StoreFault,
)
from standins.emulator import MODEL_SERVICE, PLAIN_SERVICE

# About as long as the platform's own drills last.
TROUBLE_S = 5.5


@dataclass(frozen=True, slots=True)
class CrashReplicas:
    """The first ``count`` replicas of a service crash and are back later."""

    service: str
    count: int
    down_s: float


@dataclass(frozen=True, slots=True)
class SilenceReplicas:
    """The first ``count`` replicas of a service answer nothing for a while."""

    service: str
    count: int
    duration_s: float


@dataclass(frozen=True, slots=True)
class SlowReplicas:
    """The first ``count`` replicas of a service take ``factor`` times as long."""

    service: str
    count: int
    factor: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class FaultyAnswers:
    """The first ``count`` replicas of a service fail or lose shares of answers."""

    service: str
    count: int
    error_share: float
    lost_share: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class ReleasePlain:
    """Planned: the plain replicas are replaced one after the other."""

    pause_s: float


@dataclass(frozen=True, slots=True)
class AddRoutes:
    """Planned: the configuration grows by ``count`` routes, in four versions."""

    count: int


@dataclass(frozen=True, slots=True)
class StopFleet:
    """Planned: all daemons get SIGTERM at once and start again after their exit."""


def troubles(shape):
    """Return the troubles by name, each a list of pairs of seconds and fault.

    The seconds count from the trouble's start.
    """
    heads = shape.domains * shape.replicas_per_domain // 6
    many = max(1, shape.daemons * 55 // 100)
    return {
        "none": [],
        "kill": [(0.0, KillDaemon(0))],
        "herd": [(0.0, KillDaemon(index)) for index in range(many)],
        "freeze": [(0.0, PauseDaemon(1, TROUBLE_S))],
        "roll": [(2.5 * index, StopDaemon(index)) for index in range(shape.daemons)],
        "fleet": [(0.0, StopFleet())],
        "store-down": [(0.0, StoreFault("down", TROUBLE_S))],
        "store-silent": [(0.0, StoreFault("silent", TROUBLE_S))],
        "store-slow": [(0.0, StoreFault("slow", TROUBLE_S))],
        "store-lossy": [(0.0, StoreFault("lossy", TROUBLE_S))],
        "model-crash": [(0.0, CrashReplicas(MODEL_SERVICE, heads, 4.5))],
        "model-dark": [(0.0, SilenceReplicas(MODEL_SERVICE, heads, TROUBLE_S))],
        "model-slow": [(0.0, SlowReplicas(MODEL_SERVICE, heads, 5.0, TROUBLE_S))],
        "model-grey": [(0.0, FaultyAnswers(MODEL_SERVICE, heads, 0.3, 0.0, TROUBLE_S))],
        "model-cut": [
            (0.0, ReplicaFault("cut", index, TROUBLE_S)) for index in range(heads)
        ],
        "model-lost-answers": [
            (0.0, FaultyAnswers(MODEL_SERVICE, heads, 0.0, 0.3, TROUBLE_S))
        ],
        "late-orders": [
            (0.0, LateOrders(0.35, TROUBLE_S)),
            (0.5, CrashReplicas(MODEL_SERVICE, 4, 4.5)),
        ],
        "plain-crash": [(0.0, CrashReplicas(PLAIN_SERVICE, 1, 4.5))],
        "plain-crash-two": [(0.0, CrashReplicas(PLAIN_SERVICE, 2, 4.5))],
        "plain-dark": [(0.0, SilenceReplicas(PLAIN_SERVICE, 1, TROUBLE_S))],
        "plain-dark-two": [(0.0, SilenceReplicas(PLAIN_SERVICE, 2, TROUBLE_S))],
        "plain-slow": [(0.0, SlowReplicas(PLAIN_SERVICE, 1, 5.0, TROUBLE_S))],
        "plain-slow-two": [(0.0, SlowReplicas(PLAIN_SERVICE, 2, 10.0, TROUBLE_S))],
        "plain-grey": [(0.0, FaultyAnswers(PLAIN_SERVICE, 1, 0.45, 0.0, TROUBLE_S))],
        "plain-lost-answers": [
            (0.0, FaultyAnswers(PLAIN_SERVICE, 3, 0.0, 0.1, TROUBLE_S))
        ],
        "big-config": [(0.0, AddRoutes(350))],
        "release": [(0.0, ReleasePlain(1.0))],
    }


class TroubleInjector:
    """Injects faults of daemons and store by an `Injector`, those of replicas itself.

    ``lost_by_replica`` has the time spans, of the monotonic clock, in which a fault
    may have cost the answers of a replica.
    """

    __slots__ = ("tasks", "lost_by_replica", "_injector", "_platform", "_daemons")

    def __init__(self, injector, platform, daemons):
        self.tasks = set()
        self.lost_by_replica = {}
        self._injector = injector
        self._platform = platform
        self._daemons = daemons

    def inject(self, fault):
        """Start a task that applies ``fault`` and ends it."""
        task = asyncio.ensure_future(self._apply(fault))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def wait(self):
        """Wait until every fault has ended."""
        while tasks := [*self.tasks, *self._injector.tasks]:
            await asyncio.wait(tasks)

    async def _apply(self, fault):
        match fault:
            case CrashReplicas(service, count, down_s):
                replicas = self._replicas(service, count)
                await asyncio.gather(
                    *(self._platform.crash(replica, down_s) for replica in replicas)
                )
            case SilenceReplicas(service, count, duration_s):
                replicas = self._replicas(service, count)
                for replica in replicas:
                    self._platform.silence_replica(replica)
                await asyncio.sleep(duration_s)
                for replica in replicas:
                    self._platform.restart(replica)
            case SlowReplicas(service, count, factor, duration_s):
                replicas = self._replicas(service, count)
                for replica in replicas:
                    replica.slow_factor = factor
                await asyncio.sleep(duration_s)
                for replica in replicas:
                    replica.slow_factor = 1.0
            case FaultyAnswers(service, count, error_share, lost_share, duration_s):
                servers = self._servers(service, count)
                for server in servers:
                    server.error_share, server.lost_share = error_share, lost_share
                await asyncio.sleep(duration_s)
                for server in servers:
                    server.error_share = server.lost_share = 0.0
            case ReleasePlain(pause_s):
                for replica in list(self._platform.plain_replicas.values()):
                    await self._platform.release(replica)
                    await asyncio.sleep(pause_s)
            case AddRoutes(count):
                for step in range(1, 5):
                    self._platform.write_version(more_routes=count * step // 4)
                    await asyncio.sleep(1.0)
            case StopFleet():
                for index in range(len(self._daemons)):
                    self._injector.inject(StopDaemon(index))
            case _:
                self._injector.inject(fault)

    def _replicas(self, service, count):
        return list(self._platform.replicas(service).values())[:count]

    def _servers(self, service, count):
        servers = self._platform.servers_by_id
        return [servers[replica.id] for replica in self._replicas(service, count)]
