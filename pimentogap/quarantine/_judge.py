"""The leader's part: judges the evidence of all daemons and writes the list."""

import asyncio

from logbook import Logger

from pimentogap.quarantine._documents import decode_list, decode_reports, encode_list
from pimentogap.quarantine._evidence import EvidenceTable
from pimentogap.quarantine._types import QuarantineList
from pimentogap.store import Conflict, Put, Written

log = Logger("quarantine.judge")

COLLECTION = "quarantine"
LIST_NAME = "parts"
RETRY_DELAY_S = 0.25
LEADER_CHECK_INTERVAL_S = 1.0
NO_LIST_ORDER = QuarantineList().order
WRITE_RETRY_LIMIT_S = 1.0


class Judge:
    """Keeps the evidence while this daemon leads, and writes each new list.

    ``version`` is that of the list's object in the store, as far as it is known.
    """

    __slots__ = (
        "version",
        "_kernel",
        "_lease",
        "_quarantine",
        "_react_s",
        "_table",
        "_table_term",
        "_stored_order",
        "_unwritten",
    )

    def __init__(self, kernel, quarantine, react_s):
        """Judge for ``quarantine``, the `QuarantineService` that applies each list."""
        self.version = 0
        self._kernel = kernel
        self._lease = kernel.get("lease")
        self._quarantine = quarantine
        self._react_s = react_s
        self._table = None
        self._table_term = 0
        self._stored_order = NO_LIST_ORDER
        self._unwritten = asyncio.Event()

    async def answer_reports(self, body):
        """Answer with the list, or with nothing if this daemon does not lead."""
        if not self._lease.is_held():
            return {}
        try:
            strikes, served = decode_reports(body)
        except (KeyError, TypeError, ValueError) as error:
            log.warning("report on prompt parts not readable", error=repr(error))
            return {}
        self.judge(strikes, served)
        return encode_list(self._current_table().quarantined())

    async def answer_trial(self, body):
        """Answer whether one request with a quarantined part may run now."""
        if not self._lease.is_held():
            return {}
        return {"granted": self.grant_trial(body.get("key"))}

    def grant_trial(self, key):
        """Return whether one request with a quarantined part may run now."""
        return self._current_table().grant_trial(key, self._kernel.clock.time())

    def judge(self, strikes, served):
        """Take `Strike` and `Served` reports into account."""
        table = self._current_table()
        now = self._kernel.clock.time()
        for strike in strikes:
            log.info(
                "prompt part struck",
                part=strike.key,
                backend=strike.life,
                id=strike.request_id,
            )
        # First, since the release of a sound part can leave a deadly one as the cause.
        for report in served:
            if table.record_answer(report.key, now - report.ago_s):
                log.notice("prompt part released", part=report.key)
        for key in table.record_strikes(strikes, now):
            log.warning("prompt part quarantined", part=key, term=self._lease.term)
        self.publish(table.quarantined())

    def record_stored(self, document):
        """Record which list the store has, and have a newer one written.

        The store loses what the system wrote when it comes back from an older copy.

        :param document: the list in the store, or ``None``.
        """
        if document is None:
            self.version = 0
            self._stored_order = NO_LIST_ORDER
        else:
            try:
                self._stored_order = decode_list(document).order
            except (KeyError, TypeError, ValueError, AttributeError):
                self._stored_order = NO_LIST_ORDER
        if self._stored_order < self._quarantine.current.order:
            self._unwritten.set()

    async def write_lists(self):
        """Write each list that the store does not have, while this daemon leads."""
        clock = self._kernel.clock
        while True:
            try:
                async with clock.timeout(LEADER_CHECK_INTERVAL_S):
                    await self._unwritten.wait()
            except TimeoutError:
                # Whether this daemon has begun to lead is looked up below.
                pass
            self._unwritten.clear()
            current = self._quarantine.current
            if not self._lease.is_held() or current.order <= self._stored_order:
                continue
            if await self._write(current):
                self._stored_order = max(self._stored_order, current.order)
            else:
                await clock.sleep(RETRY_DELAY_S)
                self._unwritten.set()

    def _current_table(self):
        """Return the evidence of the current term, continued from the last list."""
        if self._table is None or self._table_term != self._lease.term:
            self._table_term = self._lease.term
            self._table = EvidenceTable(
                self._lease.term,
                self._react_s,
                self._quarantine.current,
                self._kernel.clock.time(),
            )
        return self._table

    def publish(self, quarantined):
        """Apply a `QuarantineList` if it is newer, and have it written."""
        if quarantined.serial and quarantined.order > self._quarantine.current.order:
            self._quarantine.apply_list(quarantined)
            self._unwritten.set()

    async def _write(self, quarantined):
        """Return whether the store has this list or that of a later leader."""
        call = Put(COLLECTION, LIST_NAME, encode_list(quarantined), self.version)
        store = self._kernel.get("store")
        match await store.write(call, retry_for_s=WRITE_RETRY_LIMIT_S):
            case Written(version):
                self.version = max(self.version, version)
                return True
            case Conflict(current):
                self.version = current.version if current is not None else 0
                if current is not None:
                    self._quarantine.apply_document(current.value)
                return self._quarantine.current.order > quarantined.order
        return False
