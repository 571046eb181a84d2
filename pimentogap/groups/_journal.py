"""Keeps the recent decisions and writes them to the store in batches."""

from collections import deque

from logbook import Logger

from pimentogap.errors import StoreError
from pimentogap.groups._decisions import (
    Decision,
    DecisionKind,
    dump_decision,
    load_decision,
)
from pimentogap.store import Put, Written

log = Logger("groups.journal")

DECISIONS = "decisions"
DECISIONS_KEPT = 300
WRITE_INTERVAL_S = 1.0
WRITE_RETRY_LIMIT_S = 2.0


class DecisionJournal:
    """The recent decisions about the groups of one region.

    Decisions that are lost before they are written affect nothing but the record.
    """

    __slots__ = ("_kernel", "_region", "_lease", "_decisions", "_last_by_group")
    __slots__ += ("_next_number", "_unwritten")

    def __init__(self, kernel, region, lease):
        self._kernel = kernel
        self._region = region
        self._lease = lease
        self._decisions = deque(maxlen=DECISIONS_KEPT)
        self._last_by_group = {}
        self._next_number = 0
        self._unwritten = False

    async def read(self):
        """Return the `Decision` objects in the store, oldest first.

        :raises StoreUnavailable: if the store does not answer.
        """
        stored = await self._kernel.get("store").get(DECISIONS, self._region)
        return [load_decision(data) for data in stored.value] if stored else []

    async def take_over(self):
        """Load what the previous holder of the lease wrote, to append to it.

        :raises StoreUnavailable: if the store does not answer.
        """
        self._decisions.clear()
        self._decisions.extend(await self.read())

    def record(self, plan_decisions):
        """Record the `PlanDecision` objects of a plan, a repeated wait only once."""
        for plan_decision in plan_decisions:
            summary = (plan_decision.action, plan_decision.seen, plan_decision.chosen)
            is_repeated = self._last_by_group.get(plan_decision.group) == summary
            if plan_decision.action == DecisionKind.WAIT and is_repeated:
                continue
            self._last_by_group[plan_decision.group] = summary
            self._next_number += 1
            decision = Decision(
                f"{self._region}-{self._lease.fence}-{self._next_number}",
                self._kernel.clock.wall(),
                plan_decision.group,
                str(plan_decision.action),
                plan_decision.seen,
                plan_decision.chosen,
                plan_decision.rejected,
                plan_decision.vms,
            )
            self._decisions.append(decision)
            self._unwritten = True
            log.info(
                "decision {}: {} {}: {} -> {}",
                decision.id,
                decision.action,
                decision.group,
                decision.seen,
                decision.chosen,
            )

    async def run(self):
        """Write new decisions once per `WRITE_INTERVAL_S` while the lease is held."""
        version = None
        while True:
            await self._kernel.clock.sleep(WRITE_INTERVAL_S)
            if self._unwritten and self._lease.is_valid():
                version = await self._write(version)

    async def _write(self, version):
        """Write the decisions; return the object's new version, ``None`` if unknown."""
        store = self._kernel.get("store")
        self._unwritten = False
        try:
            if version is None:
                stored = await store.get(DECISIONS, self._region)
                version = stored.version if stored else 0
            value = [dump_decision(decision) for decision in self._decisions]
            put = Put(DECISIONS, self._region, value, version)
            match await store.write(put, retry_for_s=WRITE_RETRY_LIMIT_S):
                case Written(written):
                    return written
        except StoreError as error:
            log.debug("decisions were not written: {}", error)
        self._unwritten = True
        return None
