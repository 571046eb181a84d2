"""A replica of a plain service; some of its requests are not idempotent."""

import asyncio
import random

from standins._network import AbandonConnection
from standins.emulator._records import Arrival, Run

WORK_S = 0.03
# Longer than any client waits for an answer.
SILENCE_S = 3600.0


class PlainReplica:
    """One replica of a plain service, with faults that can be set at any time.

    While ``is_silent`` is set, no request is answered. ``lose_answer_share``,
    ``error_share`` and ``refusal_share`` are shares of the requests, from 0 to 1: run
    without an answer, run and answered with status 500, and refused with status 503
    without being run.
    ``work_s`` is the time that one request takes, ``answer_bytes`` the least size of
    its answer. While ``says_leaving`` is set, its answers say that it leaves. With
    ``quiet_text`` it turns each request away and asks for that many seconds of quiet;
    ``turned_away`` has the source and time of each.
    While ``is_down`` is set, the process has exited; ``born`` counts its starts. A
    replica with ``cut_from_store`` has left without a report.
    """

    __slots__ = (
        "id",
        "service",
        "address",
        "zone",
        "is_silent",
        "lose_answer_share",
        "error_share",
        "refusal_share",
        "work_s",
        "answer_bytes",
        "says_leaving",
        "quiet_text",
        "turned_away",
        "is_down",
        "cut_from_store",
        "born",
        "_store",
        "_records",
        "_random",
    )

    def __init__(self, *, id_, service, address, zone, store, records, seed):
        self.id = id_
        self.service = service
        self.address = address
        self.zone = zone
        self.is_silent = False
        self.lose_answer_share = 0.0
        self.error_share = 0.0
        self.refusal_share = 0.0
        self.work_s = WORK_S
        self.answer_bytes = 0
        self.says_leaving = False
        self.quiet_text = None
        self.turned_away = []
        self.is_down = False
        self.cut_from_store = False
        self.born = 1
        self._store = store
        self._records = records
        self._random = random.Random(f"{id_}-{seed}")
        self.publish("ready")

    def publish(self, state):
        """Write the replica's entry to the store, with ``state``."""
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "coldLeftMs": 0,
            "seq": 1,
            "born": self.born,
        }
        self._store.put("servers", self.id, entry)

    def leave(self, *, silently=False):
        """Report that the replica is draining, or only begin to, ``silently``."""
        self.cut_from_store = silently
        if not silently:
            self.publish("draining")

    def exit(self):
        """End the process; nothing is answered until it starts again."""
        self.is_down = True

    def restart(self):
        """Start again under the same id, without the faults of before."""
        self.is_silent = self.is_down = False
        self.says_leaving = self.cut_from_store = False
        self.born += 1
        self.publish("ready")

    async def handle(self, request, reply, source=""):
        """Answer one HTTP request, or refuse it as the faults say."""
        if self.is_silent:
            await asyncio.sleep(SILENCE_S)
        if self.is_down:
            raise AbandonConnection
        headers = {name.lower(): value for name, value in request.headers.items()}
        if headers.get("x-pimentogap-expect-replica", self.id) != self.id:
            reply.start(421, {"Content-Length": "0"})
            return
        if self.quiet_text is not None:
            now = asyncio.get_running_loop().time()
            self.turned_away.append((source, now))
            refusal = {
                "X-Pimentogap-Not-Executed": "1",
                "X-Pimentogap-Attempt-Id": headers.get("x-pimentogap-attempt-id", ""),
                "Content-Length": "0",
                "Retry-After": self.quiet_text,
            }
            reply.start(503, refusal)
            return
        if self._random.random() < self.refusal_share:
            refusal = {"X-Pimentogap-Not-Executed": "1", "Content-Length": "0"}
            reply.start(503, refusal)
            return
        await self._run(headers, reply)

    async def _run(self, headers, reply):
        attempt_id = headers.get("x-pimentogap-attempt-id", "")
        now = asyncio.get_running_loop().time()
        self._records.arrivals.append(Arrival(attempt_id, self.id, (), now))
        workspace = headers.get("x-pimentogap-tenant")
        self._records.runs.append(Run(attempt_id, self.id, workspace, now))
        await asyncio.sleep(self.work_s)
        if self._random.random() < self.lose_answer_share:
            raise AbandonConnection
        failed = self._random.random() < self.error_share
        body = f"answer to {attempt_id}".encode().ljust(self.answer_bytes, b".")
        answer = {
            "Content-Length": str(len(body)),
            "X-Pimentogap-Attempt-Id": attempt_id,
            "X-Pimentogap-Replica-Seal": f"seal-{self.id}",
        }
        if self.says_leaving:
            answer["Server-Leaving"] = "1"
            self._records.leaving_answers.append((attempt_id, self.id))
        reply.start(500 if failed else 200, answer)
        await reply.data(body)
