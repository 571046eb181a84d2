"""The service that admits requests, holds them back or refuses them early."""

from contextlib import asynccontextmanager

from pimentogap.errors import Refused
from pimentogap.kernel import RestartOnError
from pimentogap.limits._bucket import ShareBucket
from pimentogap.limits._queue import FairQueue
from pimentogap.types import RefusalCode, not_run

ADJUST_INTERVAL_S = 0.5
FIRST_LIMIT = 32.0
MINIMUM_LIMIT = 4.0
INCREASE_SHARE = 0.05
DECREASE_FACTOR = 0.9
WAITING_SHARE = 0.1
EVEN_PART_FACTOR = 1.05
CAPACITY_HEADROOM = 1.1
ESTIMATE_MARGIN = 1.5


class LimitService:
    """Holds a daemon's shares of the fleet's limits, without a call for a request.

    A workspace's limit is divided evenly among the daemons in reach. Places at
    a service are limited by a number that grows while its replicas report few
    waiting requests, and shrinks while they report many, but never below the
    daemon's even part of the fleet's capacity.
    """

    name = "limits"
    requires = ("configuration", "peers", "routing")
    __slots__ = ("_kernel", "_buckets_by_workspace", "_queues_by_service", "_max_queue")

    def __init__(self, *, max_queue):
        """Bound the requests that wait at one service to ``max_queue``."""
        self._kernel = None
        self._buckets_by_workspace = {}
        self._queues_by_service = {}
        self._max_queue = max_queue

    async def start(self, kernel):
        """Begin to adjust the limits."""
        self._kernel = kernel
        kernel.get("configuration").subscribe(lambda accepted: self._resize())
        kernel.spawn(self.name, self._adjust, on_error=RestartOnError())

    async def stop(self):
        """Do nothing; the tasks are cancelled by the kernel."""

    def charge(self, workspace):
        """Count one request against the limit of ``workspace``.

        :raises Refused: if the daemon's share of the limit is used up.
        """
        now = self._kernel.clock.time()
        bucket = self._buckets_by_workspace.get(workspace.name)
        if bucket is None:
            rate, burst = self._share(workspace)
            bucket = ShareBucket(rate_per_s=rate, burst=burst, now=now)
            self._buckets_by_workspace[workspace.name] = bucket
        wait_s = bucket.take(now)
        if wait_s > 0:
            detail = f"workspace {workspace.name} is over its request limit"
            raise Refused(not_run(RefusalCode.LIMIT, detail, retry_after_s=wait_s))

    @asynccontextmanager
    async def place(self, workspace, service_name, *, deadline, priority):
        """Hold a place at a service for the time of the context.

        :param deadline: when the request is given up, in the runtime's seconds.
        :raises Refused: if no place can be had in time.
        """
        queue = self.queue(service_name)
        clock = self._kernel.clock
        turn = {"weight": workspace.weight, "priority": priority}
        wait_s = queue.expected_wait_s(workspace.name, **turn)
        self._check_wait(queue, wait_s, deadline - clock.time())
        try:
            async with clock.timeout(deadline - clock.time() - queue.service_s):
                await queue.enter(workspace.name, **turn)
        except TimeoutError:
            raise Refused(_too_late(wait_s))
        began_at = clock.time()
        try:
            yield
        finally:
            queue.leave(clock.time() - began_at)

    def queue(self, service_name):
        """Return the `FairQueue` of a service."""
        queue = self._queues_by_service.get(service_name)
        if queue is None:
            queue = self._queues_by_service[service_name] = FairQueue(FIRST_LIMIT)
        return queue

    def _check_wait(self, queue, wait_s, remaining_s):
        if queue.waiting_count >= self._max_queue:
            detail = "too many requests wait already"
            raise Refused(not_run(RefusalCode.OVERLOADED, detail, retry_after_s=wait_s))
        if ESTIMATE_MARGIN * (wait_s + queue.service_s) > remaining_s:
            raise Refused(_too_late(wait_s))

    def _share(self, workspace):
        daemons = max(1, self._kernel.get("peers").table.reach().reachable)
        burst = max(1.0, workspace.burst_requests / daemons)
        return workspace.requests_per_s / daemons, burst

    def _resize(self):
        now = self._kernel.clock.time()
        workspaces = self._kernel.get("configuration").current.by_name("workspace")
        for name in list(self._buckets_by_workspace):
            if name not in workspaces:
                del self._buckets_by_workspace[name]
                continue
            rate, burst = self._share(workspaces[name])
            self._buckets_by_workspace[name].resize(
                rate_per_s=rate, burst=burst, now=now
            )

    async def _adjust(self):
        """Fit shares to the fleet and places to what the replicas report."""
        while True:
            await self._kernel.clock.sleep(ADJUST_INTERVAL_S)
            self._resize()
            for service_name, queue in self._queues_by_service.items():
                self._adjust_queue(service_name, queue)
                queue.admit()

    def _adjust_queue(self, service_name, queue):
        routing = self._kernel.get("routing")
        capacity = routing.capacity(service_name)
        if not capacity:
            return
        daemons = max(1, self._kernel.get("peers").table.reach().reachable)
        whole = capacity * routing.subset_factor(service_name)
        even_part = max(MINIMUM_LIMIT, EVEN_PART_FACTOR * whole / daemons)
        waiting = sum(replica.waiting for replica in routing.replicas(service_name))
        if waiting > WAITING_SHARE * capacity:
            queue.limit *= DECREASE_FACTOR
        elif queue.running >= queue.limit - 1:
            queue.limit += max(1.0, queue.limit * INCREASE_SHARE)
        most = max(even_part, CAPACITY_HEADROOM * capacity)
        queue.limit = min(most, max(even_part, queue.limit))


def _too_late(wait_s):
    detail = f"a place is expected in {wait_s:.1f} s, after the deadline"
    return not_run(RefusalCode.DEADLINE, detail, retry_after_s=wait_s)
