"""A plain replica with slots, a queue and a load report, which can crash."""

import asyncio

from standins._network import AbandonConnection
from standins.emulator._plain import PlainReplica
from standins.emulator._records import Run

# Of the time that a request takes; the sheet's standard deviation.
WORK_SPREAD = 0.5
MIN_WORK_SHARE = 0.3


class SlottedReplica(PlainReplica):
    """A plain replica that runs at most ``slots`` requests at once and queues some.

    A request beyond ``slots`` and ``queue`` is refused as not run. Each answer reports
    the load. ``slow_factor`` multiplies the time that a request takes. While
    ``is_down`` is set, nothing is published; whoever serves its address closes that.
    """

    __slots__ = (
        "slots",
        "queue",
        "slow_factor",
        "state",
        "running",
        "waiting",
        "_free_slots",
    )

    def __init__(self, *, slots, queue, work_s, **fields):
        """Create a replica that has just started, and publish its entry.

        :param fields: the arguments of `PlainReplica`.
        """
        self.slots = slots
        self.queue = queue
        self.slow_factor = 1.0
        self.state = "ready"
        self.running = 0
        self.waiting = 0
        self._free_slots = asyncio.Semaphore(slots)
        super().__init__(**fields)
        self.work_s = work_s

    def restart(self):
        """Start again under the same id with ``born`` one higher, empty."""
        self.is_down = False
        self.born += 1
        self.running = self.waiting = 0
        self._free_slots = asyncio.Semaphore(self.slots)
        self.publish("ready")

    def publish(self, state):
        """Write the replica's entry to the store, with ``state``."""
        self.state = state
        if self.is_down or self.is_silent:
            return
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "seq": 1,
            "born": self.born,
        }
        self._store.put("servers", self.id, entry)

    async def _run(self, headers, reply):
        if self.running + self.waiting >= self.slots + self.queue:
            refusal = {"X-Pimentogap-Not-Executed": "1", "Content-Length": "0"}
            reply.start(503, {**refusal, **self._load_report()})
            return
        free_slots = self._free_slots
        self.waiting += 1
        try:
            await free_slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await self._work(headers, reply)
        finally:
            self.running -= 1
            free_slots.release()

    async def _work(self, headers, reply):
        attempt_id = headers.get("x-pimentogap-attempt-id", "")
        workspace = headers.get("x-pimentogap-tenant")
        now = asyncio.get_running_loop().time()
        self._records.runs.append(Run(attempt_id, self.id, workspace, now))
        share = max(MIN_WORK_SHARE, self._random.gauss(1.0, WORK_SPREAD))
        await asyncio.sleep(self.work_s * share * self.slow_factor)
        if self.is_silent or self._random.random() < self.lose_answer_share:
            raise AbandonConnection
        failed = self._random.random() < self.error_share
        body = f"answer to {attempt_id}".encode()
        answer = {
            "Content-Length": str(len(body)),
            "X-Pimentogap-Attempt-Id": attempt_id,
            "X-Pimentogap-Replica-Seal": f"seal-{self.id}",
            **self._load_report(),
        }
        if self.state == "draining":
            answer["Connection"] = "close"
        reply.start(500 if failed else 200, answer)
        await reply.data(body)

    def _load_report(self):
        load = f"{self.running},{self.waiting},{self.slots}"
        return {"X-Pimentogap-Replica-Load": load}
