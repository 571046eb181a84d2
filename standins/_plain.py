"""A stand-in for a plain service whose actions must run at most once."""

import asyncio
import hashlib
import json
from dataclasses import dataclass

from standins._network import AbandonConnection, split_path


@dataclass(frozen=True, slots=True)
class ActionRun:
    """One action that the service ran, with the SHA-256 of its body in hex."""

    key: str
    path: str
    body_digest: str


class PlainServiceState:
    """The state that all servers of one plain service share, and its faults.

    ``runs`` has an `ActionRun` for each action that ran. ``delay_s`` delays the
    answers to actions. ``lose_next`` is how many of the next actions run without
    an answer, ``refuse_next`` how many are refused with status 503 and not run.
    """

    __slots__ = ("runs", "delay_s", "lose_next", "refuse_next", "lookup_count")

    def __init__(self):
        self.runs = []
        self.delay_s = 0.0
        self.lose_next = 0
        self.refuse_next = 0
        self.lookup_count = 0


class PlainServer:
    """One backend server of a plain service; ``slow_s`` delays actions and lookups."""

    __slots__ = ("id", "plain_state", "up", "slow_s")

    def __init__(self, server_id, plain_state):
        self.id = server_id
        self.plain_state = plain_state
        self.up = True
        self.slow_s = 0.0

    async def handle(self, request, reply):
        """Answer one HTTP request of the plain service."""
        if not self.up:
            raise AbandonConnection
        path, query = split_path(request)
        if path.startswith("/actions/"):
            await self._run_action(request, path, reply)
        elif path == "/status":
            ran = any(run.key == query.get("key") for run in self.plain_state.runs)
            await self._answer(reply, 200, {"ran": ran})
        else:
            await self._look_up(path, reply)

    async def _run_action(self, request, path, reply):
        plain_state = self.plain_state
        if plain_state.refuse_next > 0:
            plain_state.refuse_next -= 1
            reply.start(503, {"X-Run-State": "not_run", "Content-Length": "0"})
            return
        headers = {name.lower(): value for name, value in request.headers.items()}
        digest = hashlib.sha256(request.body).hexdigest()
        key = headers.get("idempotency-key", "")
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        plain_state.runs.append(ActionRun(key, path, digest))
        number = len(plain_state.runs)
        if plain_state.delay_s:
            await asyncio.sleep(plain_state.delay_s)
        if plain_state.lose_next > 0:
            plain_state.lose_next -= 1
            raise AbandonConnection
        await self._answer(
            reply, 200, {"confirmation": number, "key": key, "request": digest}
        )

    async def _look_up(self, path, reply):
        self.plain_state.lookup_count += 1
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        await self._answer(reply, 200, {"path": path, "server": self.id})

    async def _answer(self, reply, status, data):
        body = json.dumps(data).encode()
        reply.start(status, {"Content-Length": str(len(body))})
        await reply.data(body)
