"""Runs the actions of one shard of idempotency keys at most once."""

import asyncio
from dataclasses import dataclass

from logbook import Logger

from pimentogap.actions._ring import RingLog, size_of
from pimentogap.actions._sending import Lost, NotSent, Ran
from pimentogap.actions._states import (
    ActionCall,
    Answer,
    Answered,
    AnswerRecord,
    Claimed,
    ClaimRecord,
    ClaimTable,
    DoubtRecord,
    InDoubt,
    ReleaseRecord,
    Sent,
    TakeOverRecord,
    dump_record,
    load_record,
)
from pimentogap.store import NotWritten, Unsettled, Written
from pimentogap.types import Refusal, RefusalCode, RunState, not_run

log = Logger("actions.shard")

COMMIT_INTERVAL_S = 0.03
MAX_SEGMENT_BYTES = 200_000
CLAIM_TIMEOUT_S = 1.5
RETRY_AFTER_S = 1.0
CLAIM_TIME_TOLERANCE_S = 0.001


@dataclass(frozen=True, slots=True)
class Replied:
    """The action ran; ``replayed`` tells whether the answer is a stored one."""

    answer: Answer
    replayed: bool


@dataclass(frozen=True, slots=True)
class NotReplied:
    """There is no answer; ``refusal`` says whether the action may have run."""

    refusal: Refusal


class Running:
    """An action under way. If ``abandoned`` is set, it must not be sent any more."""

    __slots__ = ("result", "abandoned")

    def __init__(self):
        self.result = asyncio.get_running_loop().create_future()
        self.abandoned = False

    def finish(self, outcome):
        """Resolve ``result`` for all waiting callers."""
        if not self.result.done():
            self.result.set_result(outcome)


class PendingRecord:
    """A queued record; ``written`` is a future of whether it was written."""

    __slots__ = ("record", "written")

    def __init__(self, record):
        self.record = record
        self.written = asyncio.get_running_loop().create_future()


class ShardOwner:
    """Claims keys in the shard's log before it sends their actions.

    The log accepts one writer for each segment number. If an owner is replaced
    while it is paused, its next write therefore fails, and it sends no more
    actions; its earlier claims without an outcome are in doubt for the new owner.
    """

    __slots__ = (
        "active",
        "table",
        "_kernel",
        "_log",
        "_owner",
        "_sender",
        "_pending",
        "_wake",
        "_running_by_key",
        "_last_commit_at",
    )

    def __init__(self, kernel, name, *, owner, sender):
        """Create an inactive owner of the shard whose log is called ``name``.

        :param owner: identifies this owner, by its daemon and incarnation.
        :param sender: the `ActionSender`.
        """
        self.active = False
        self.table = ClaimTable()
        self._kernel = kernel
        self._log = RingLog(kernel.get("store"), name)
        self._owner = owner
        self._sender = sender
        self._pending = []
        self._wake = asyncio.Event()
        self._running_by_key = {}
        self._last_commit_at = 0.0

    async def take_over(self):
        """Read the log and append this owner's record; return whether it was written.

        :raises StoreUnavailable: if the store does not answer.
        """
        records = await self._log.load()
        self.table = ClaimTable()
        for data in records:
            self.table.apply(load_record(data))
        record = dump_record(TakeOverRecord(self._owner))
        outcome = await self._log.append(self._owner, [record])
        self.active = isinstance(outcome, Written)
        return self.active

    async def write_log(self):
        """Write pending records in batches for as long as the shard is owned."""
        while self.active:
            await self._wake.wait()
            self._wake.clear()
            clock = self._kernel.clock
            await clock.sleep(self._last_commit_at + COMMIT_INTERVAL_S - clock.time())
            while self._pending and self.active:
                self._last_commit_at = clock.time()
                await self._write_segment()
                await self._compact_log()
                delay_s = self._last_commit_at + COMMIT_INTERVAL_S - clock.time()
                await clock.sleep(delay_s)

    async def run(self, call: ActionCall):
        """Run the action of ``call`` at most once.

        :return: `Replied` or `NotReplied`.
        """
        key = call.claim_key
        state = self.table.states_by_key.get(key)
        if state is not None and state.body_digest != call.body_digest:
            detail = "the key was used with another request before"
            return NotReplied(not_run(RefusalCode.KEY_REUSED, detail))
        match state:
            case None:
                self._start_action(call)
                return await self._wait_for(key, call.deadline_in_s)
            case Claimed() | Sent():
                return await self._wait_for(key, call.deadline_in_s)
            case Answered(_, _, answer):
                return Replied(answer, True)
            case InDoubt():
                return await self._resolve_doubt(call, state)

    def settle(self, key, ran, *, claimed_at):
        """Apply an operator's decision on a key; return whether the key was in doubt.

        :param ran: whether the action ran, according to the operator.
        :param claimed_at: the wall time of the claim that the operator decided;
            a later claim of the same key is left alone.
        """
        state = self.table.states_by_key.get(key)
        if not isinstance(state, InDoubt):
            return False
        if abs(state.claimed_at - claimed_at) > CLAIM_TIME_TOLERANCE_S:
            return False
        if ran:
            self._record_answer(key, state, Answer(200, "", None))
        else:
            del self.table.states_by_key[key]
            self._enqueue(ReleaseRecord(key))
        return True

    def in_doubt(self):
        """Return the `InDoubt` states by their keys."""
        states = self.table.states_by_key.items()
        return {key: state for key, state in states if isinstance(state, InDoubt)}

    async def finish(self):
        """Wait for actions under way, and up to 2 s for pending records; deactivate."""
        while self._running_by_key:
            waiting = [r.result for r in self._running_by_key.values()]
            await asyncio.wait(waiting, timeout=1.0)
            await self._kernel.clock.sleep(COMMIT_INTERVAL_S)
        if self._pending:
            await asyncio.wait([p.written for p in self._pending], timeout=2.0)
        self.active = False
        self._wake.set()

    def _start_action(self, call):
        now = self._kernel.clock.wall()
        self.table.states_by_key[call.claim_key] = Claimed(call.body_digest, now)
        running = self._running_by_key[call.claim_key] = Running()
        self._kernel.spawn("actions", self._run_action, call, running, now)

    async def _wait_for(self, key, deadline_in_s):
        """Wait for an action under way until its caller's deadline.

        An action whose claim is not written within `CLAIM_TIMEOUT_S`, or by the
        deadline of any of its callers, is abandoned.
        """
        running = self._running_by_key.get(key)
        if running is None:
            return _refuse_in_doubt("the outcome of the action was not noted")
        claim_timeout_s = min(deadline_in_s, CLAIM_TIMEOUT_S)
        done, _ = await asyncio.wait([running.result], timeout=claim_timeout_s)
        if not done and isinstance(self.table.states_by_key.get(key), Claimed):
            running.abandoned = True
            detail = "the claim on the key could not be written in time"
            code = RefusalCode.STORE_UNAVAILABLE
            return NotReplied(not_run(code, detail, retry_after_s=RETRY_AFTER_S))
        if not done and deadline_in_s > claim_timeout_s:
            await asyncio.wait(
                [running.result], timeout=deadline_in_s - claim_timeout_s
            )
        if running.result.done():
            return running.result.result()
        detail = "the action is under way; ask again with the same key"
        code = RefusalCode.IN_PROGRESS
        return NotReplied(Refusal(code, RunState.MAY_HAVE_RUN, detail, RETRY_AFTER_S))

    async def _run_action(self, call, running, claimed_at):
        """Run one action and give its outcome to the waiting callers."""
        key = call.claim_key
        outcome = None
        try:
            outcome = await self._claim_and_send(call, running, claimed_at)
        finally:
            if outcome is None:
                outcome = _refuse_in_doubt(
                    "the action failed before its outcome was known"
                )
            self._running_by_key.pop(key, None)
            running.finish(outcome)

    async def _claim_and_send(self, call, running, claimed_at):
        key, digest = call.claim_key, call.body_digest
        claim = ClaimRecord(key, digest, claimed_at, call.path)
        if not await self._enqueue(claim):
            self.table.states_by_key.pop(key, None)
            code, detail = RefusalCode.STORE_UNAVAILABLE, "the key was not claimed"
            return NotReplied(not_run(code, detail, retry_after_s=RETRY_AFTER_S))
        if running.abandoned:
            return self._release(key, RefusalCode.STORE_UNAVAILABLE, "given up in time")
        self.table.states_by_key[key] = Sent(digest, claimed_at)
        match await self._sender.send(call):
            case Ran(answer):
                self._record_answer(key, self.table.states_by_key[key], answer)
                return Replied(answer, False)
            case NotSent(detail):
                return self._release(key, RefusalCode.NO_CAPACITY, detail)
            case Lost(detail):
                doubt = InDoubt(digest, claimed_at, call.path)
                self.table.states_by_key[key] = doubt
                self._enqueue(DoubtRecord(key))
                return await self._resolve_doubt(call, doubt)

    def _release(self, key, code, detail):
        self.table.states_by_key.pop(key, None)
        self._enqueue(ReleaseRecord(key))
        return NotReplied(not_run(code, detail, retry_after_s=RETRY_AFTER_S))

    def _record_answer(self, key, state, answer):
        stored = self._sender.stored_answer(key, answer)
        answered = Answered(state.body_digest, state.claimed_at, stored)
        self.table.states_by_key[key] = answered
        self._enqueue(AnswerRecord(key, stored))

    async def _resolve_doubt(self, call, state):
        """Query the service for the outcome of an action in doubt, if it offers that.

        The answer that the action did not run is inconclusive, since the request
        may still be in transit.
        """
        answer = await self._sender.query_outcome(call)
        if answer is not None:
            self._record_answer(call.claim_key, state, answer)
            return Replied(answer, True)
        return _refuse_in_doubt("the action may have run and is not run again")

    def _enqueue(self, record):
        """Queue ``record`` for the log; return a future of whether it was written."""
        pending = PendingRecord(record)
        if not self.active:
            pending.written.set_result(False)
            return pending.written
        self._pending.append(pending)
        self._wake.set()
        return pending.written

    async def _write_segment(self):
        batch = self._next_batch()
        records = [dump_record(pending.record) for pending in batch]
        while True:
            match await self._log.append(self._owner, records):
                case Written():
                    self._resolve_written(batch, True)
                    return
                case NotWritten():
                    self._fail_claims(batch)
                    return
                case Unsettled():
                    log.debug("the outcome of writing a segment is not known yet")
                case _:
                    log.notice("{} no longer owns its shard of actions", self._owner)
                    self.active = False
                    self._resolve_written(batch + self._pending, False)
                    self._pending = []
                    return

    def _next_batch(self):
        size, count = 0, 0
        for pending in self._pending:
            size += size_of(dump_record(pending.record))
            if count and size > MAX_SEGMENT_BYTES:
                break
            count += 1
        batch, self._pending = self._pending[:count], self._pending[count:]
        return batch

    def _fail_claims(self, batch):
        """Fail the claims that were not written; queue the other records again.

        The others record how actions ended, which must not be lost.
        """
        claims = [p for p in batch if isinstance(p.record, ClaimRecord)]
        others = [p for p in batch if not isinstance(p.record, ClaimRecord)]
        self._resolve_written(claims, False)
        self._pending = others + self._pending

    def _resolve_written(self, batch, written):
        for pending in batch:
            if not pending.written.done():
                pending.written.set_result(written)

    async def _compact_log(self):
        """Merge segments if due, then drop keys and chunks past their retention."""
        if not self._log.is_merge_due():
            return
        now = self._kernel.clock.wall()
        merged = await self._log.merge(now)
        while self._log.is_full() and not merged:
            merged = await self._log.merge(now)
        before = now - self._sender.retention_s()
        self.table.expire(before)
        await self._log.drop_chunks(before)


def _refuse_in_doubt(detail):
    code = RefusalCode.IN_DOUBT
    return NotReplied(Refusal(code, RunState.MAY_HAVE_RUN, detail, RETRY_AFTER_S))
