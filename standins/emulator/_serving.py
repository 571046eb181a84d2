"""Runs requests at the head of a model group, in the emulator."""

import asyncio
import json

from standins._network import AbandonConnection
from standins.emulator._records import Arrival, Crash, Run

EVENT_TOKENS = 5
TRICKLE_INTERVAL_S = 0.1
# Longer than any client waits for an answer.
SILENCE_S = 3600.0


class ModelServer:
    """The part of a `ModelReplica` that runs requests."""

    __slots__ = ("_replica",)

    def __init__(self, replica):
        self._replica = replica

    async def serve(self, headers, reply):
        """Run a request if the replica is the head of an open group, else refuse it."""
        replica = self._replica
        place = replica.place
        if place is None or place.rank or place.state != "open":
            await refuse(reply, 421)
            return
        if place.model != headers.get("x-pimentogap-model"):
            await refuse(reply, 421)
            return
        if replica.running >= replica.slots * 3:
            await refuse(reply, 503)
            return
        replica.running += 1
        try:
            await self._run(headers, reply, place)
        finally:
            replica.running -= 1

    async def _run(self, headers, reply, place):
        replica = self._replica
        attempt_id = headers.get("x-pimentogap-attempt-id", "")
        prompt, output = headers["x-pimentogap-token-count"].split(",")
        first = int(headers.get("last-event-id", "0")) + 1
        parts = _prompt_parts(headers)
        arrived_at = asyncio.get_running_loop().time()
        replica.records.arrivals.append(
            Arrival(attempt_id, replica.id, parts, arrived_at)
        )
        if replica.record_arrival():
            replica.records.cold_crashes.append((replica.id, arrived_at))
            replica.crash()
            raise AbandonConnection
        await self._simulate_work(place, int(prompt) / replica.engine["read_per_s"])
        self._crash_if_deadly(parts)
        self._record_if_incomplete(place)
        now = asyncio.get_running_loop().time()
        workspace = headers.get("x-pimentogap-tenant")
        replica.records.runs.append(Run(attempt_id, replica.id, workspace, now))
        head = {
            "Content-Type": "text/event-stream",
            "X-Pimentogap-Attempt-Id": attempt_id,
            "X-Pimentogap-Replica-Seal": f"seal-{replica.id}",
            "X-Pimentogap-Replica-Load": f"{replica.running},0,{replica.slots}",
        }
        if replica.limit_text is not None:
            head["Server-Limit"] = replica.limit_text
        if replica.says_leaving:
            head["Server-Leaving"] = "1"
            replica.records.leaving_answers.append((attempt_id, replica.id))
        reply.start(200, head)
        events = -(-int(output) // EVENT_TOKENS)
        for number in range(first, events + 1):
            if replica.trickles_after is not None and number > replica.trickles_after:
                await self._trickle(reply)
            step_s = replica.engine["step_ms"] / 1000 * EVENT_TOKENS
            await self._simulate_work(place, step_s)
            await reply.data(f"id: {number}\ndata: {attempt_id}/{number}\n\n".encode())

    def _crash_if_deadly(self, parts):
        for part in parts:
            if part in self._replica.deadly_parts:
                now = asyncio.get_running_loop().time()
                self._replica.records.crashes.append(Crash(self._replica.id, part, now))
                self._replica.crash()
                raise AbandonConnection

    async def _trickle(self, reply):
        """Send parts of an event that never ends, until the caller closes."""
        while True:
            await asyncio.sleep(TRICKLE_INTERVAL_S)
            await reply.data(b":")

    async def _simulate_work(self, place, seconds):
        """Wait for ``seconds``, scaled by the group's slowness and the replica's load.

        If a member is lost, the group stalls and breaks instead, as on the platform.

        :raises AbandonConnection: if a member is lost, or the replica has crashed.
        """
        replica = self._replica
        members = [replica.peers_by_id.get(id_) for id_ in place.members]
        if any(not self._is_in_group(member, place) for member in members):
            await asyncio.sleep(replica.engine.get("stallMs", 4000) / 1000)
            if replica.place is place and place.state == "open":
                place.state = "broken"
                replica.publish()
            raise AbandonConnection
        pace = max(member.slow_factor for member in members)
        try:
            async with asyncio.timeout(
                seconds * pace * (1 + replica.running / replica.slots)
            ):
                await replica.crashed.wait()
            raise AbandonConnection
        except TimeoutError:
            pass
        if replica.is_silent:
            await asyncio.sleep(SILENCE_S)

    def _is_in_group(self, member, place):
        if member is None or member.is_silent or member.place is None:
            return False
        return (member.place.group, member.place.epoch) == (place.group, place.epoch)

    def _record_if_incomplete(self, place):
        """Record a run in a group of which a member never became ready."""
        replica = self._replica
        size = replica.model(place.model)["size"]
        ready = [
            id_
            for id_ in place.members
            if (id_, place.group, place.epoch, place.members)
            in replica.records.ready_members
        ]
        if len(ready) != size:
            replica.records.runs_in_incomplete_groups.append((replica.id, place.group))


async def refuse(reply, status):
    """Refuse a request as not run."""
    await answer(reply, status, {}, {"X-Pimentogap-Not-Executed": "1"})


async def answer(reply, status, data, headers=None):
    """Answer a request with ``data`` as JSON."""
    body = json.dumps(data).encode()
    reply.start(status, {"Content-Length": str(len(body)), **(headers or {})})
    await reply.data(body)


def _prompt_parts(headers):
    """Return the ids of the shared parts of a request's prompt."""
    entries = headers.get("x-pimentogap-prompt-prefix", "").split(",")[:-1]
    return tuple(entry.partition(":")[0] for entry in entries)
