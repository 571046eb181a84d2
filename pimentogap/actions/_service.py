"""The service that runs actions at most once, whichever daemon is asked."""

import asyncio
import hashlib
from dataclasses import asdict

from logbook import Logger

from pimentogap.actions._sending import ActionSender
from pimentogap.actions._shard import NotReplied, Replied, ShardOwner
from pimentogap.actions._states import ActionCall, Answer
from pimentogap.errors import PeerUnreachable, ResponseLost, StoreError
from pimentogap.kernel import RestartOnError
from pimentogap.peers import MemberStatus
from pimentogap.tickets import may_serve
from pimentogap.types import Refusal, RefusalCode, RunState, not_run

log = Logger("actions")

SHARDS = 2
RUN_CALL = "actions.run"
IN_DOUBT_CALL = "actions.in_doubt"
FORWARD_GRACE_S = 0.5
RETRY_DELAY_S = 0.1
SETTLE_INTERVAL_S = 1.0


class ActionService:
    """Routes each action to the daemon that owns its key's shard.

    The alive members determine which daemon that should be, and daemons may
    differ in their view of them. Only the shard's log ensures that there is one
    owner at a time.
    """

    name = "actions"
    requires = ("store", "configuration", "peers", "routing")
    __slots__ = ("_kernel", "_http", "_sender", "_owners_by_shard", "_locks_by_shard")

    def __init__(self, http):
        """Create the service.

        :param http: the HTTP client for plain services.
        """
        self._kernel = None
        self._http = http
        self._sender = None
        self._owners_by_shard = {}
        self._locks_by_shard = {}

    async def start(self, kernel):
        """Register the calls of other daemons and start to apply settled actions."""
        self._kernel = kernel
        self._sender = ActionSender(kernel, self._http)
        self._locks_by_shard = {shard: asyncio.Lock() for shard in range(SHARDS)}
        peers = kernel.get("peers")
        peers.register_call_handler(RUN_CALL, self._answer_run)
        peers.register_call_handler(IN_DOUBT_CALL, self._answer_in_doubt)
        kernel.spawn(self.name, self._apply_settled_actions, on_error=RestartOnError())

    async def stop(self):
        """Finish the actions under way and write their pending records."""
        for owner in self._owners_by_shard.values():
            if owner.active:
                await owner.finish()

    async def run(self, call):
        """Run the action of ``call`` at most once, here or at the shard's owner.

        :return: `Replied` or `NotReplied`.
        """
        clock = self._kernel.clock
        deadline = clock.time() + call.deadline_in_s
        was_forwarded = False
        while True:
            remaining_s = deadline - clock.time()
            if remaining_s <= 0:
                return _timed_out(was_forwarded)
            shard = shard_of(call.claim_key)
            owner_id = self.owner_of(shard)
            if owner_id == self._own_id():
                outcome = await self._run_here(shard, call)
            else:
                try:
                    outcome = await self._forward(owner_id, call, remaining_s)
                except PeerUnreachable:
                    outcome = None
                except ResponseLost:
                    was_forwarded = True
                    outcome = None
            if outcome is not None:
                return _with_possible_run(outcome, was_forwarded)
            await clock.sleep(RETRY_DELAY_S)

    def owner_of(self, shard):
        """Return the id of the daemon that should own ``shard``, as seen from here."""
        members = self._kernel.get("peers").table.members_by_id.values()
        ids = [m.id for m in members if m.status == MemberStatus.ALIVE]
        ids = ids or [self._own_id()]
        return min(ids, key=lambda id: _hash(f"{shard}|{id}"))

    async def in_doubt(self):
        """Return the actions in doubt of all shards as JSON-compatible objects."""
        actions = []
        for shard in range(SHARDS):
            owner_id = self.owner_of(shard)
            body = {"shard": shard}
            if owner_id == self._own_id():
                actions.extend(await self._answer_in_doubt(body))
                continue
            peers = self._kernel.get("peers")
            actions.extend(
                await peers.call(owner_id, IN_DOUBT_CALL, body, timeout_s=2.0)
            )
        return actions

    def _own_id(self):
        return self._kernel.get("peers").table.own_id

    async def _run_here(self, shard, call):
        """Run ``call`` as the owner of ``shard``.

        Returns ``None`` if the shard could not be taken over.
        """
        configuration = self._kernel.get("configuration")
        if not may_serve(configuration.freshness()):
            detail = "the daemon cannot know the newest configuration"
            return NotReplied(not_run(RefusalCode.STALE, detail, retry_after_s=1.0))
        try:
            owner = await self._ensure_owner(shard)
        except StoreError as error:
            code = RefusalCode.STORE_UNAVAILABLE
            return NotReplied(not_run(code, str(error), retry_after_s=1.0))
        return None if owner is None else await owner.run(call)

    async def _ensure_owner(self, shard):
        """Return the active `ShardOwner`, taking over the shard if necessary.

        Returns ``None`` if the record of the takeover was not written, for example
        because another daemon wrote to the shard's log first.
        """
        async with self._locks_by_shard[shard]:
            owner = self._owners_by_shard.get(shard)
            if owner is not None and owner.active:
                return owner
            own = self._kernel.get("peers").table.own
            owner = ShardOwner(
                self._kernel,
                f"claims-{shard}",
                owner=f"{own.id}/{own.incarnation}",
                sender=self._sender,
            )
            if not await owner.take_over():
                return None
            log.notice("took over shard {} of the actions", shard)
            self._owners_by_shard[shard] = owner
            self._kernel.spawn(self.name, owner.write_log, on_error=RestartOnError())
            return owner

    async def _forward(self, owner_id, call, remaining_s):
        body = {**asdict(call), "deadline_in_s": remaining_s}
        reply = await self._kernel.get("peers").call(
            owner_id, RUN_CALL, body, timeout_s=remaining_s + FORWARD_GRACE_S
        )
        return _load_outcome(reply)

    async def _answer_run(self, body):
        call = ActionCall(**body)
        shard = shard_of(call.claim_key)
        if self.owner_of(shard) != self._own_id():
            return _dump_outcome(None)
        return _dump_outcome(await self._run_here(shard, call))

    async def _answer_in_doubt(self, body):
        owner = self._owners_by_shard.get(body["shard"])
        if owner is None or not owner.active:
            owner = await self._ensure_owner(body["shard"])
        doubts = owner.in_doubt() if owner is not None else {}
        return [
            {"key": key, "path": state.path, "claimed_at": state.claimed_at}
            for key, state in doubts.items()
        ]

    async def _apply_settled_actions(self):
        """Apply operators' decisions on actions in doubt in the shards owned here."""
        while True:
            await self._kernel.clock.sleep(SETTLE_INTERVAL_S)
            configuration = self._kernel.get("configuration").current
            for item in configuration.by_name("settled_action").values():
                claim_key = f"{item.workspace}|{item.service}|{item.key}"
                owner = self._owners_by_shard.get(shard_of(claim_key))
                if owner is not None and owner.active:
                    owner.settle(claim_key, item.ran, claimed_at=item.claimed_at)


def shard_of(claim_key):
    """Return the number of the shard that has ``claim_key``."""
    return int.from_bytes(_hash(claim_key), "big") % SHARDS


def _hash(text):
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def _timed_out(was_forwarded):
    detail = "the owner of the key was not reached in time"
    if was_forwarded:
        code = RefusalCode.IN_PROGRESS
        return NotReplied(Refusal(code, RunState.MAY_HAVE_RUN, detail, 1.0))
    return NotReplied(not_run(RefusalCode.DEADLINE, detail, retry_after_s=1.0))


def _with_possible_run(outcome, was_forwarded):
    """Return ``outcome``, with "not run" changed to "may have run" where needed.

    If the call was forwarded before, an earlier attempt may have run the action.
    The exception is a key that was used with another request: then this request
    never held the key, so it did not run.
    """
    match outcome:
        case NotReplied(Refusal(RefusalCode.KEY_REUSED)):
            return outcome
        case NotReplied(Refusal(code, RunState.NOT_RUN, detail, wait_s)) if (
            was_forwarded
        ):
            refusal = Refusal(code, RunState.MAY_HAVE_RUN, detail, wait_s)
            return NotReplied(refusal)
    return outcome


def _dump_outcome(outcome):
    match outcome:
        case None:
            return {"outcome": "not_owner"}
        case Replied(answer, replayed):
            return {
                "outcome": "replied",
                "answer": asdict(answer),
                "replayed": replayed,
            }
        case NotReplied(refusal):
            return {"outcome": "refused", "refusal": asdict(refusal)}


def _load_outcome(data):
    match data:
        case {"outcome": "replied", "answer": answer, "replayed": replayed}:
            return Replied(Answer(**answer), replayed)
        case {"outcome": "refused", "refusal": refusal}:
            code = RefusalCode(refusal["code"])
            run_state = RunState(refusal["run_state"])
            return NotReplied(
                Refusal(code, run_state, refusal["detail"], refusal["retry_after_s"])
            )
    return None
