"""The leader's part: judges the evidence of all daemons and writes the list."""

from logbook import Logger

from pimentogap.errors import InvalidDocument
from pimentogap.quarantine._documents import decode_list, decode_reports, encode_list
from pimentogap.quarantine._evidence import EvidenceTable
from pimentogap.quarantine._types import QuarantineList
from pimentogap.relay import LeaderList

log = Logger("quarantine.judge")

COLLECTION = "quarantine"
LIST_NAME = "parts"


class Judge:
    """Keeps the evidence while this daemon leads, and writes each new list.

    ``list`` is the `LeaderList` by which every daemon follows the list.
    """

    __slots__ = (
        "list",
        "_kernel",
        "_lease",
        "_quarantine",
        "_react_s",
        "_table",
        "_table_term",
    )

    def __init__(self, kernel, quarantine, react_s):
        """Judge for ``quarantine``, the `QuarantineService` that applies each list."""
        self.list = LeaderList(
            kernel,
            collection=COLLECTION,
            name=LIST_NAME,
            encode=encode_list,
            decode=decode_list,
            current=lambda: quarantine.current,
            accept=quarantine.apply_list,
            empty=QuarantineList(),
        )
        self._kernel = kernel
        self._lease = kernel.get("lease")
        self._quarantine = quarantine
        self._react_s = react_s
        self._table = None
        self._table_term = 0

    async def answer_reports(self, body):
        """Answer with the list, or with nothing if this daemon does not lead."""
        if not self._lease.is_held():
            return {}
        try:
            strikes, served = decode_reports(body)
        except InvalidDocument as error:
            log.warning("report on prompt parts not readable", error=str(error))
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
            self.list.request_write()
