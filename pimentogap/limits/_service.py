"""The service that admits requests, queues them or refuses them early."""

from contextlib import asynccontextmanager

from pimentogap.errors import Refused
from pimentogap.kernel import RestartOnError
from pimentogap.limits._bucket import ShareBucket
from pimentogap.limits._queue import FairQueue
from pimentogap.types import RefusalCode, not_run

ADJUST_INTERVAL_S = 0.5
INITIAL_LIMIT = 32.0
MIN_LIMIT = 4.0
INCREASE_FRACTION = 0.05
DECREASE_FACTOR = 0.9
WAITING_FRACTION = 0.1
EVEN_SHARE_FACTOR = 1.05
CAPACITY_HEADROOM = 1.1
WAIT_ESTIMATE_FACTOR = 1.5


class LimitService:
    """Enforces a daemon's shares of the fleet's limits without a call per request.

    A workspace's rate limit is divided evenly among the reachable daemons. A place
    is the right of a request to run at a service. The number of places at each
    service is a limit that grows while nearly all places are taken and its replicas
    report few waiting requests, and shrinks while they report many, but never below
    the daemon's even share of the fleet's capacity.
    """

    name = "limits"
    requires = ("configuration", "peers", "routing")
    __slots__ = ("_kernel", "_buckets_by_workspace", "_queues_by_service", "_max_queue")

    def __init__(self, *, max_queue):
        """Create the limits; at most ``max_queue`` requests wait for each service."""
        self._kernel = None
        self._buckets_by_workspace = {}
        self._queues_by_service = {}
        self._max_queue = max_queue

    async def start(self, kernel):
        """Start the task that adjusts the limits."""
        self._kernel = kernel
        kernel.get("configuration").subscribe(lambda accepted: self._resize_buckets())
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
            rate, burst = self._rate_and_burst(workspace)
            bucket = ShareBucket(rate_per_s=rate, burst=burst, now=now)
            self._buckets_by_workspace[workspace.name] = bucket
        wait_s = bucket.acquire(now)
        if wait_s > 0:
            detail = f"workspace {workspace.name} is over its request limit"
            raise Refused(not_run(RefusalCode.LIMIT, detail, retry_after_s=wait_s))

    @asynccontextmanager
    async def place(self, workspace, service_name, *, deadline, priority):
        """Hold a place at a service for the time of the context.

        :param deadline: when the request expires, in seconds of the runtime's clock.
        :raises Refused: if too many requests wait, or no place is free in time.
        """
        queue = self.queue(service_name)
        clock = self._kernel.clock
        queue_options = {"weight": workspace.weight, "priority": priority}
        wait_s = queue.expected_wait_s(workspace.name, **queue_options)
        self._check_wait(queue, wait_s, deadline - clock.time())
        try:
            async with clock.timeout(deadline - clock.time() - queue.service_time_s):
                await queue.enter(workspace.name, **queue_options)
        except TimeoutError:
            raise Refused(_deadline_refusal(wait_s))
        started_at = clock.time()
        try:
            yield
        finally:
            queue.leave(clock.time() - started_at)

    def queue(self, service_name):
        """Return the `FairQueue` of a service."""
        queue = self._queues_by_service.get(service_name)
        if queue is None:
            queue = self._queues_by_service[service_name] = FairQueue(INITIAL_LIMIT)
        return queue

    def _check_wait(self, queue, wait_s, remaining_s):
        if queue.waiting_count >= self._max_queue:
            detail = "too many requests wait already"
            raise Refused(not_run(RefusalCode.OVERLOADED, detail, retry_after_s=wait_s))
        if WAIT_ESTIMATE_FACTOR * (wait_s + queue.service_time_s) > remaining_s:
            raise Refused(_deadline_refusal(wait_s))

    def _rate_and_burst(self, workspace):
        daemons = max(1, self._kernel.get("peers").table.reach().reachable)
        burst = max(1.0, workspace.burst_requests / daemons)
        return workspace.requests_per_s / daemons, burst

    def _resize_buckets(self):
        now = self._kernel.clock.time()
        workspaces = self._kernel.get("configuration").current.by_name("workspace")
        for name in list(self._buckets_by_workspace):
            if name not in workspaces:
                del self._buckets_by_workspace[name]
                continue
            rate, burst = self._rate_and_burst(workspaces[name])
            self._buckets_by_workspace[name].resize(
                rate_per_s=rate, burst=burst, now=now
            )

    async def _adjust(self):
        """Adjust the rates to the reachable daemons and the limits to the replicas."""
        while True:
            await self._kernel.clock.sleep(ADJUST_INTERVAL_S)
            self._resize_buckets()
            for service_name, queue in self._queues_by_service.items():
                self._adjust_queue(service_name, queue)
                queue.admit()

    def _adjust_queue(self, service_name, queue):
        routing = self._kernel.get("routing")
        capacity = routing.capacity(service_name)
        if not capacity:
            return
        daemons = max(1, self._kernel.get("peers").table.reach().reachable)
        fleet_capacity = capacity * routing.servers_per_used_server(service_name)
        even_share = max(MIN_LIMIT, EVEN_SHARE_FACTOR * fleet_capacity / daemons)
        waiting = sum(replica.waiting for replica in routing.replicas(service_name))
        if waiting > WAITING_FRACTION * capacity:
            queue.limit *= DECREASE_FACTOR
        elif queue.running >= queue.limit - 1:
            queue.limit += max(1.0, queue.limit * INCREASE_FRACTION)
        max_limit = max(even_share, CAPACITY_HEADROOM * capacity)
        queue.limit = min(max_limit, max(even_share, queue.limit))


def _deadline_refusal(wait_s):
    detail = f"a place is expected in {wait_s:.1f} s, after the deadline"
    return not_run(RefusalCode.DEADLINE, detail, retry_after_s=wait_s)
