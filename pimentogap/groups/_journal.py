"""Keeps the recent decisions and writes them to the store in batches."""

from collections import deque

from logbook import Logger

from pimentogap.errors import StoreError
from pimentogap.groups._decisions import Action, Decision, dump_decision, load_decision
from pimentogap.store import Put, Written

log = Logger("groups.journal")

DECISIONS = "decisions"
DECISIONS_KEPT = 300
WRITE_INTERVAL_S = 1.0
WRITE_GIVE_UP_S = 2.0


class DecisionJournal:
    """The decisions on the groups of one region. Losing some loses only records."""

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
        """Go on from what the holder of the lease before has written."""
        self._decisions.clear()
        self._decisions.extend(await self.read())

    def record(self, plan_decisions):
        """Note what a plan decided; that a group still waits is noted once."""
        for decided in plan_decisions:
            summary = (decided.action, decided.seen, decided.chosen)
            repeated = self._last_by_group.get(decided.group) == summary
            if decided.action == Action.WAIT and repeated:
                continue
            self._last_by_group[decided.group] = summary
            self._next_number += 1
            decision = Decision(
                f"{self._region}-{self._lease.fence}-{self._next_number}",
                self._kernel.clock.wall(),
                decided.group,
                str(decided.action),
                decided.seen,
                decided.chosen,
                decided.rejected,
                decided.vms,
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
        """Write new decisions at most once in an interval, while the lease is held."""
        version = None
        while True:
            await self._kernel.clock.sleep(WRITE_INTERVAL_S)
            if self._unwritten and self._lease.valid():
                version = await self._write(version)

    async def _write(self, version):
        """Write the decisions; return the object's version, ``None`` if unknown."""
        store = self._kernel.get("store")
        self._unwritten = False
        try:
            if version is None:
                stored = await store.get(DECISIONS, self._region)
                version = stored.version if stored else 0
            value = [dump_decision(decision) for decision in self._decisions]
            put = Put(DECISIONS, self._region, value, version)
            match await store.write(put, give_up_after_s=WRITE_GIVE_UP_S):
                case Written(written):
                    return written
        except StoreError as error:
            log.debug("decisions are not written: {}", error)
        self._unwritten = True
        return None
