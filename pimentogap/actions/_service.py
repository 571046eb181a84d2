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
DOUBT_CALL = "actions.in_doubt"
FORWARD_GRACE_S = 0.5
RETRY_DELAY_S = 0.1
SETTLE_INTERVAL_S = 1.0


class ActionService:
    """Brings each action to the daemon that owns its key's shard.

    Which daemon that is follows from the members in reach; that there is only
    one follows from the shard's log alone.
    """

    name = "actions"
    requires = ("store", "configuration", "peers", "routing")
    __slots__ = ("_kernel", "_http", "_sender", "_owners_by_shard", "_locks_by_shard")

    def __init__(self, http):
        """Prepare to reach plain services through ``http``."""
        self._kernel = None
        self._http = http
        self._sender = None
        self._owners_by_shard = {}
        self._locks_by_shard = {}

    async def start(self, kernel):
        """Answer the actions that other daemons pass on."""
        self._kernel = kernel
        self._sender = ActionSender(kernel, self._http)
        self._locks_by_shard = {shard: asyncio.Lock() for shard in range(SHARDS)}
        peers = kernel.get("peers")
        peers.answer_calls(RUN_CALL, self._answer_run)
        peers.answer_calls(DOUBT_CALL, self._answer_in_doubt)
        kernel.spawn(self.name, self._settle_by_ticket, on_error=RestartOnError())

    async def stop(self):
        """Finish the actions under way and write what is known of them."""
        for owner in self._owners_by_shard.values():
            if owner.active:
                await owner.finish()

    async def run(self, call):
        """Run the action of ``call`` at most once, here or at its owner.

        :return: `Replied` or `NotReplied`.
        """
        clock = self._kernel.clock
        deadline = clock.time() + call.deadline_in_s
        passed_on = False
        while True:
            remaining_s = deadline - clock.time()
            if remaining_s <= 0:
                return _timed_out(passed_on)
            shard = shard_of(call.claim_key)
            owner_id = self.owner_of(shard)
            if owner_id == self._own_id():
                outcome = await self._run_here(shard, call)
            else:
                try:
                    outcome = await self._pass_on(owner_id, call, remaining_s)
                except PeerUnreachable:
                    outcome = None
                except ResponseLost:
                    passed_on = True
                    outcome = None
            if outcome is not None:
                return _kept_truthful(outcome, passed_on)
            await clock.sleep(RETRY_DELAY_S)

    def owner_of(self, shard):
        """Return the id of the daemon that is to own ``shard``."""
        members = self._kernel.get("peers").table.members_by_id.values()
        ids = [m.id for m in members if m.status == MemberStatus.ALIVE]
        ids = ids or [self._own_id()]
        return min(ids, key=lambda id: _hash(f"{shard}|{id}"))

    async def in_doubt(self):
        """Return the actions in doubt of every shard as plain data."""
        found = []
        for shard in range(SHARDS):
            owner_id = self.owner_of(shard)
            body = {"shard": shard}
            if owner_id == self._own_id():
                found.extend(await self._answer_in_doubt(body))
                continue
            peers = self._kernel.get("peers")
            found.extend(await peers.call(owner_id, DOUBT_CALL, body, timeout_s=2.0))
        return found

    def _own_id(self):
        return self._kernel.get("peers").table.own_id

    async def _run_here(self, shard, call):
        """Run ``call`` as the owner of its shard; ``None`` if that cannot be now."""
        configuration = self._kernel.get("configuration")
        if not may_serve(configuration.freshness()):
            detail = "the daemon cannot know the newest configuration"
            return NotReplied(not_run(RefusalCode.STALE, detail, retry_after_s=1.0))
        try:
            owner = await self._own_shard(shard)
        except StoreError as error:
            code = RefusalCode.STORE_UNAVAILABLE
            return NotReplied(not_run(code, str(error), retry_after_s=1.0))
        return None if owner is None else await owner.run(call)

    async def _own_shard(self, shard):
        """Return the active `ShardOwner`, taking the shard over if need be."""
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
            log.notice("shard {} is taken over", shard)
            self._owners_by_shard[shard] = owner
            self._kernel.spawn(self.name, owner.write_log, on_error=RestartOnError())
            return owner

    async def _pass_on(self, owner_id, call, remaining_s):
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
            owner = await self._own_shard(body["shard"])
        doubts = owner.in_doubt() if owner is not None else {}
        return [
            {"key": key, "path": state.path, "claimed_at": state.claimed_at}
            for key, state in doubts.items()
        ]

    async def _settle_by_ticket(self):
        """Apply operators' words on actions in doubt in the shards owned here."""
        while True:
            await self._kernel.clock.sleep(SETTLE_INTERVAL_S)
            configuration = self._kernel.get("configuration").current
            for item in configuration.by_name("settled_action").values():
                claim_key = f"{item.workspace}|{item.service}|{item.key}"
                owner = self._owners_by_shard.get(shard_of(claim_key))
                if owner is not None and owner.active:
                    owner.settle(claim_key, item.ran, claimed_at=item.claimed_at)


def shard_of(claim_key):
    """Return the shard of a key."""
    return int.from_bytes(_hash(claim_key), "big") % SHARDS


def _hash(text):
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def _timed_out(passed_on):
    detail = "the owner of the key was not reached in time"
    if passed_on:
        code = RefusalCode.IN_PROGRESS
        return NotReplied(Refusal(code, RunState.MAY_HAVE_RUN, detail, 1.0))
    return NotReplied(not_run(RefusalCode.DEADLINE, detail, retry_after_s=1.0))


def _kept_truthful(outcome, passed_on):
    """Do not call an action not run that an earlier attempt may have started.

    A key that stands for another request never stood for this one and ran it.
    """
    match outcome:
        case NotReplied(Refusal(RefusalCode.KEY_REUSED)):
            return outcome
        case NotReplied(Refusal(code, RunState.NOT_RUN, detail, wait_s)) if passed_on:
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
