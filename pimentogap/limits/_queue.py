"""A fair queue for the requests that wait for a place at a service."""

import asyncio
import heapq

EWMA_SHARE = 0.1
INITIAL_SERVICE_S = 0.1
PRIORITY_RANKS = {"interactive": 0, "batch": 1}


class Waiting:
    """A request in the queue; ``turn`` is set when its place is free."""

    __slots__ = ("workspace", "priority", "tag", "turn", "cancelled")

    def __init__(self, workspace, priority, tag, turn):
        self.workspace = workspace
        self.priority = priority
        self.tag = tag
        self.turn = turn
        self.cancelled = False


class FairQueue:
    """Gives places in turn: interactive before batch, workspaces by weight.

    Within a priority each request gets a virtual finish tag (start-time fair
    queueing), so that a workspace with many requests waits behind its own.
    """

    __slots__ = (
        "limit",
        "running",
        "waiting_count",
        "service_s",
        "_heap",
        "_virtual_time",
        "_last_tag_by_workspace",
        "_sequence",
    )

    def __init__(self, limit):
        self.limit = limit
        self.running = 0
        self.waiting_count = 0
        self.service_s = INITIAL_SERVICE_S
        self._heap = []
        self._virtual_time = 0.0
        self._last_tag_by_workspace = {}
        self._sequence = 0

    def expected_wait_s(self, workspace, *, weight, priority):
        """Return how long a request that joins now is expected to wait.

        Only those count that would be let in before it.
        """
        if self.running < self.limit and not self.waiting_count:
            return 0.0
        mine = (PRIORITY_RANKS[priority], self._next_tag(workspace, weight))
        before = sum(
            (rank, tag) <= mine and not entry.cancelled
            for rank, tag, _, entry in self._heap
        )
        return (before + 1) * self.service_s / max(1.0, self.limit)

    async def enter(self, workspace, *, weight, priority):
        """Wait for a place. Cancelling the call gives the turn up."""
        if self.running < self.limit and not self.waiting_count:
            self.running += 1
            return
        entry = self._join(workspace, weight, priority)
        try:
            await entry.turn
        except asyncio.CancelledError:
            if entry.turn.done() and not entry.turn.cancelled():
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
            self.service_s += EWMA_SHARE * (duration_s - self.service_s)
        self.admit()

    def admit(self):
        """Let waiting requests in while there are places."""
        while self._heap and self.running < self.limit:
            entry = heapq.heappop(self._heap)[-1]
            if entry.cancelled:
                continue
            self.waiting_count -= 1
            self.running += 1
            self._virtual_time = max(self._virtual_time, entry.tag)
            entry.turn.set_result(None)

    def _join(self, workspace, weight, priority):
        tag = self._next_tag(workspace, weight)
        self._last_tag_by_workspace[workspace] = tag
        turn = asyncio.get_running_loop().create_future()
        entry = Waiting(workspace, priority, tag, turn)
        self._sequence += 1
        rank = PRIORITY_RANKS[priority]
        heapq.heappush(self._heap, (rank, tag, self._sequence, entry))
        self.waiting_count += 1
        return entry

    def _next_tag(self, workspace, weight):
        last = self._last_tag_by_workspace.get(workspace, 0.0)
        return max(self._virtual_time, last) + 1.0 / weight
