"""A fair queue for requests that wait under the concurrency limit of a service."""

import asyncio
import heapq

EWMA_WEIGHT = 0.1
INITIAL_SERVICE_TIME_S = 0.1
PRIORITY_RANKS = {"interactive": 0, "batch": 1}


class QueueEntry:
    """A request in the queue.

    ``admission`` is a future that is done when the request gets a place; ``tag`` is
    its virtual finish tag.
    """

    __slots__ = ("workspace", "priority", "tag", "admission", "cancelled")

    def __init__(self, workspace, priority, tag, admission):
        self.workspace = workspace
        self.priority = priority
        self.tag = tag
        self.admission = admission
        self.cancelled = False


class FairQueue:
    """Admits requests in order: interactive before batch, workspaces by weight.

    Up to ``limit`` requests run at once; each has a place. Within a priority each
    request gets a virtual finish tag (start-time fair queueing), so that a workspace
    with many requests delays its own and not those of others. ``service_time_s`` is
    a moving average of how long requests run.
    """

    __slots__ = (
        "limit",
        "running",
        "waiting_count",
        "service_time_s",
        "_heap",
        "_virtual_time",
        "_last_tag_by_workspace",
        "_sequence",
    )

    def __init__(self, limit):
        self.limit = limit
        self.running = 0
        self.waiting_count = 0
        self.service_time_s = INITIAL_SERVICE_TIME_S
        self._heap = []
        self._virtual_time = 0.0
        self._last_tag_by_workspace = {}
        self._sequence = 0

    def expected_wait_s(self, workspace, *, weight, priority):
        """Return the expected wait in seconds of a request that would be queued now.

        Only waiting requests that would be admitted before it count.
        """
        if self.running < self.limit and not self.waiting_count:
            return 0.0
        own_position = (PRIORITY_RANKS[priority], self._next_tag(workspace, weight))
        count_ahead = sum(
            (rank, tag) <= own_position and not entry.cancelled
            for rank, tag, _, entry in self._heap
        )
        return (count_ahead + 1) * self.service_time_s / max(1.0, self.limit)

    async def enter(self, workspace, *, weight, priority):
        """Wait for a place; `leave` gives it back. Cancelling removes the request."""
        if self.running < self.limit and not self.waiting_count:
            self.running += 1
            return
        entry = self._join(workspace, weight, priority)
        try:
            await entry.admission
        except asyncio.CancelledError:
            if entry.admission.done() and not entry.admission.cancelled():
                self.leave(None)
            else:
                entry.cancelled = True
                self.waiting_count -= 1
            raise

    def leave(self, duration_s):
        """Give a place back.

        :param duration_s: how long the request ran, or ``None`` if it did not.
        """
        self.running -= 1
        if duration_s is not None:
            self.service_time_s += EWMA_WEIGHT * (duration_s - self.service_time_s)
        self.admit()

    def admit(self):
        """Admit waiting requests while fewer than ``limit`` run."""
        while self._heap and self.running < self.limit:
            entry = heapq.heappop(self._heap)[-1]
            if entry.cancelled:
                continue
            self.waiting_count -= 1
            self.running += 1
            self._virtual_time = max(self._virtual_time, entry.tag)
            entry.admission.set_result(None)

    def _join(self, workspace, weight, priority):
        tag = self._next_tag(workspace, weight)
        self._last_tag_by_workspace[workspace] = tag
        admission = asyncio.get_running_loop().create_future()
        entry = QueueEntry(workspace, priority, tag, admission)
        self._sequence += 1
        rank = PRIORITY_RANKS[priority]
        heapq.heappush(self._heap, (rank, tag, self._sequence, entry))
        self.waiting_count += 1
        return entry

    def _next_tag(self, workspace, weight):
        last_tag = self._last_tag_by_workspace.get(workspace, 0.0)
        return max(self._virtual_time, last_tag) + 1.0 / weight
