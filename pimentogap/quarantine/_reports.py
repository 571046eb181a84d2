"""Reports on prompt parts to the leader, and to all daemons if none leads."""

import asyncio
from collections import deque

from logbook import Logger

from pimentogap.errors import PeerUnreachable, ResponseLost
from pimentogap.quarantine._documents import decode_reports, encode_reports
from pimentogap.quarantine._judge import COLLECTION
from pimentogap.store import Conflict, Delete, Put, Written

log = Logger("quarantine.reports")

REPORT_CALL = "prompt_parts"
# What daemons report that cannot reach the leader stands in objects of their own.
REPORT_PREFIX = "reports."
CALL_TIMEOUT_S = 0.4
RETRY_DELAY_S = 0.25
WRITE_RETRY_LIMIT_S = 1.0
# Strikes of this long ago are told to a new leader.
RECENT_S = 60.0
LEADER_CHECK_INTERVAL_S = 1.0
MAX_REPORTS = 256


class ReportSender:
    """Sends the reports of this daemon until a leader has them.

    ``all_sent`` is set while nothing is left to send.
    """

    __slots__ = (
        "all_sent",
        "_kernel",
        "_lease",
        "_quarantine",
        "_judge",
        "_object_name",
        "_object_version",
        "_object_value",
        "_queue",
        "_added",
        "_recent_strikes",
        "_reported_to",
    )

    def __init__(self, kernel, quarantine, judge, daemon_id):
        """Send the reports of the daemon ``daemon_id``.

        :param quarantine: the `QuarantineService`, which applies the leader's answers.
        :param judge: the `Judge`, for the reports of the leader itself.
        """
        self.all_sent = asyncio.Event()
        self._kernel = kernel
        self._lease = kernel.get("lease")
        self._quarantine = quarantine
        self._judge = judge
        self._object_name = REPORT_PREFIX + daemon_id
        self._object_version = 0
        self._object_value = None
        self._queue = deque(maxlen=MAX_REPORTS)
        self._added = asyncio.Event()
        self._recent_strikes = deque(maxlen=MAX_REPORTS)
        self._reported_to = ""

    def add_strikes(self, strikes):
        """Send `Strike` reports, and again to each new leader for `RECENT_S`."""
        now = self._kernel.clock.time()
        for strike in strikes:
            self._recent_strikes.append((now, strike))
            self.add(strike)

    def add(self, report):
        """Send a `Strike` or `Served` report.

        The oldest is dropped if more than `MAX_REPORTS` wait.
        """
        self._queue.append(report)
        self.all_sent.clear()
        self._added.set()

    async def send(self):
        """Send what is added, in an endless loop."""
        while True:
            await self._added.wait()
            self._added.clear()
            reports = list(self._queue)
            self._queue.clear()
            if await self._deliver(reports):
                if not self._queue:
                    self.all_sent.set()
                await self._delete_object()
                continue
            self._queue.extendleft(reversed(reports))
            await self._write_object()
            await self._kernel.clock.sleep(RETRY_DELAY_S)
            self._added.set()

    async def repeat_to_new_leader(self):
        """Tell each new leader what the one before it may have taken with it."""
        while True:
            await self._kernel.clock.sleep(LEADER_CHECK_INTERVAL_S)
            now = self._kernel.clock.time()
            while self._recent_strikes and now - self._recent_strikes[0][0] > RECENT_S:
                self._recent_strikes.popleft()
            address = self._lease.leader_address
            if not self._recent_strikes or address in ("", self._reported_to):
                continue
            self._reported_to = address
            for _, strike in self._recent_strikes:
                self.add(strike)

    async def _deliver(self, reports):
        """Tell the leader; return whether it knows the reports."""
        body = encode_reports(reports)
        address = self._lease.leader_address
        if self._lease.is_held():
            self._judge.judge(*decode_reports(body))
            self._reported_to = address
            return True
        if not address:
            return False
        try:
            answer = await self._kernel.get("calls").call(
                address, REPORT_CALL, body, timeout_s=CALL_TIMEOUT_S
            )
        except (PeerUnreachable, ResponseLost) as error:
            log.info("prompt parts not reported", leader=address, error=str(error))
            return False
        if not answer:
            return False
        self._reported_to = address
        self._quarantine.apply_document(answer)
        return True

    async def _write_object(self):
        """Let the other daemons read the recent strikes, as long as no leader does."""
        strikes = [strike for _, strike in self._recent_strikes]
        value = encode_reports(strikes)
        if not strikes or (self._object_version and value == self._object_value):
            return
        call = Put(COLLECTION, self._object_name, value, self._object_version)
        match await self._write(call):
            case Written(version):
                self._object_version = version
                self._object_value = value
            case Conflict(current):
                # Left by an earlier life of this daemon; overwritten at the next try.
                self._object_version = current.version if current is not None else 0

    async def _delete_object(self):
        if self._object_version:
            call = Delete(COLLECTION, self._object_name, self._object_version)
            self._object_version = 0
            await self._write(call)

    async def _write(self, call):
        store = self._kernel.get("store")
        return await store.write(call, retry_for_s=WRITE_RETRY_LIMIT_S)
