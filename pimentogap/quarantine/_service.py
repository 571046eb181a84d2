"""The service that finds prompt parts that crash backend servers, and blocks them."""

import asyncio
from collections import OrderedDict

from logbook import Logger

from pimentogap.errors import InvalidDocument, PeerUnreachable, ResponseLost
from pimentogap.kernel import RestartOnError
from pimentogap.metrics import Series
from pimentogap.quarantine._documents import decode_reports
from pimentogap.quarantine._evidence import EvidenceTable, time_to_trial_s
from pimentogap.quarantine._judge import COLLECTION, Judge
from pimentogap.quarantine._memory import PartMemory
from pimentogap.quarantine._reports import REPORT_CALL, REPORT_PREFIX, ReportSender
from pimentogap.quarantine._types import (
    Allowed,
    Blocked,
    QuarantineList,
    Served,
    Strike,
    Trial,
    part_key,
)

log = Logger("quarantine")

TRIAL_CALL = "prompt_part_trial"
TRIAL_CALL_TIMEOUT_S = 0.4
# A daemon asks for a trial of one part at most once in this time.
TRIAL_ASK_INTERVAL_S = 0.5
# A request that was lost waits this long for the verdict before it is sent again.
VERDICT_WAIT_S = 0.1
# What daemons decide without a leader holds this long; a new leader acts before.
PROVISIONAL_S = 10.0
MAX_PARTS_PER_REQUEST = 32
# A watch that the store lost is noticed in the time in which all daemons must know.
WATCH_WAIT_S = 1.6
MAX_REPORTED_KEYS = 256
ALLOWED = Allowed()


class KnownPart:
    """A quarantined part, and since when this daemon knows its last strike."""

    __slots__ = ("part", "known_at", "asked_at")

    def __init__(self, part, known_at):
        self.part = part
        self.known_at = known_at
        self.asked_at = -TRIAL_ASK_INTERVAL_S


class QuarantineService:
    """Blocks requests with prompt parts that crash backend servers.

    A daemon that loses a backend server reports the parts of the requests that waited
    there for their first event, unless it has seen a part answered. The leader
    compares the reports and writes the list of quarantined parts to the store, which
    every daemon follows. A daemon that has seen a quarantined part answered tells the
    leader, which releases it. Other parts are released by the trial of one request.
    While no leader answers, reports go to the store, and each daemon blocks for a while
    what it finds in them.

    ``current`` is the newest `QuarantineList`; ``loaded`` says that the store was read.
    ``changed`` is a future that the next change of what is blocked ends.
    """

    name = "quarantine"
    requires = ("store", "relay", "lease", "calls", "metrics")
    __slots__ = (
        "current",
        "loaded",
        "changed",
        "_id",
        "_react_s",
        "_kernel",
        "_judge",
        "_reports",
        "_memory",
        "_known_by_key",
        "_reported_keys",
        "_provisional_table",
        "_provisional_until_by_key",
    )

    def __init__(self, daemon_id, react_s):
        """Set the time in which daemons must react to a part that crashes servers.

        :param daemon_id: names the object of this daemon's reports.
        :param react_s: in seconds; the platform states it.
        """
        self.current = QuarantineList()
        self.loaded = False
        self.changed = None
        self._id = daemon_id
        self._react_s = react_s
        self._kernel = None
        self._judge = None
        self._reports = None
        self._memory = PartMemory()
        self._known_by_key = {}
        self._reported_keys = OrderedDict()
        self._provisional_table = None
        self._provisional_until_by_key = {}

    async def start(self, kernel):
        """Follow the list, and start the tasks that report and write."""
        self._kernel = kernel
        self.changed = asyncio.get_running_loop().create_future()
        self._judge = Judge(kernel, self, self._react_s)
        self._reports = ReportSender(kernel, self, self._judge, self._id)
        calls = kernel.get("calls")
        calls.register(REPORT_CALL, self._judge.answer_reports)
        calls.register(TRIAL_CALL, self._judge.answer_trial)
        kernel.get("relay").follow(
            COLLECTION, self._apply_update, watch_wait_s=WATCH_WAIT_S
        )
        for task in (
            self._reports.send,
            self._reports.repeat_to_new_leader,
            self._judge.list.write_lists,
        ):
            kernel.spawn(self.name, task, on_error=RestartOnError())

    async def stop(self):
        """Do nothing; the kernel ends the tasks."""

    def blocked_keys(self):
        """Return the keys of the quarantined parts that this daemon knows."""
        return frozenset(self._known_by_key)

    def find_blocked(self, service, parts):
        """Return `Allowed` or `Blocked` for a request with these prompt parts."""
        if not self._known_by_key and not self._provisional_until_by_key:
            return ALLOWED
        keys = [part_key(service, part) for part in parts]
        blocked = self._provisionally_blocked(keys) + self._quarantined(keys)
        return max(blocked, key=lambda item: item.trial_in_s, default=ALLOWED)

    def _provisionally_blocked(self, keys):
        now = self._kernel.clock.time()
        return [
            Blocked(key, self._provisional_until_by_key[key] - now)
            for key in keys
            if now < self._provisional_until_by_key.get(key, 0.0)
            and self._memory.answered_at(key) is None
        ]

    def _quarantined(self, keys):
        now = self._kernel.clock.time()
        known_by_key = {
            key: self._known_by_key[key]
            for key in keys
            if key in self._known_by_key and not self._is_refuted(key)
        }
        blocked = []
        for key, known in known_by_key.items():
            trial_after_s = known.part.trial_after_s
            if len(known_by_key) > 1:
                trial_after_s = time_to_trial_s(
                    known.part.strikes, self._react_s, several=True
                )
            trial_in_s = max(0.0, known.known_at + trial_after_s - now)
            blocked.append(Blocked(key, trial_in_s))
        return blocked

    async def screen(self, service, parts):
        """Return `Allowed`, `Blocked` or `Trial` for a request with these parts."""
        verdict = self.find_blocked(service, parts)
        match verdict:
            case Blocked(key, trial_in_s) if trial_in_s <= 0:
                if await self._may_try(key):
                    log.info("trial of a quarantined part", part=key)
                    return Trial(key)
        return verdict

    def record_answer(self, service, parts):
        """Record that a backend server wrote an answer to a request with ``parts``."""
        now = self._kernel.clock.time()
        for part in parts[:MAX_PARTS_PER_REQUEST]:
            key = part_key(service, part)
            self._memory.record_answer(key, now)
            if key in self._known_by_key or self._reported_keys.pop(key, False):
                self._reports.add(Served(key, 0.0))

    async def report_lost(self, service, parts, backend, request_id):
        """Report a request that waited for its first event when its server ended.

        Returns once the leader has its verdict, or after `VERDICT_WAIT_S`.
        """
        life = f"{backend.id}/{backend.incarnation}"
        keys = [part_key(service, part) for part in parts[:MAX_PARTS_PER_REQUEST]]
        strikes = [
            Strike(key, life, request_id)
            for key in keys
            if key in self._known_by_key or self._memory.is_strike(key)
        ]
        if not strikes:
            return
        for strike in strikes:
            self._reported_keys[strike.key] = True
        while len(self._reported_keys) > MAX_REPORTED_KEYS:
            self._reported_keys.popitem(last=False)
        self._reports.add_strikes(strikes)
        try:
            async with self._kernel.clock.timeout(VERDICT_WAIT_S):
                await self._reports.all_sent.wait()
        except TimeoutError:
            log.debug("no verdict in time", id=request_id)

    def apply_document(self, document):
        """Apply a list that `encode_list` turned into plain data, if it is newer."""
        self._judge.list.apply_document(document)

    def publish(self, newer):
        """Apply the `QuarantineList` ``newer`` and write it, as the leader."""
        self._judge.publish(newer)

    def apply_list(self, newer):
        """Block the parts of the `QuarantineList` ``newer``, if it is newer."""
        if newer.order <= self.current.order:
            return
        now = self._kernel.clock.time()
        before, self._known_by_key = self._known_by_key, {}
        for key, part in newer.parts_by_key.items():
            known = before.get(key)
            if known is None or known.part != part:
                known = KnownPart(part, now)
            self._known_by_key[key] = known
        added = self._known_by_key.keys() - before.keys()
        for key in added:
            self._report_if_refuted(key)
        self.current = newer
        # Whoever leads knows by now what daemons found without a leader.
        self._provisional_table = None
        self._provisional_until_by_key.clear()
        self._log_change(added, before.keys() - self._known_by_key.keys())
        gauge = Series("quarantined_parts", "-", "-")
        self._kernel.get("metrics").set_gauge(gauge, len(self._known_by_key))
        self._notify()

    def _is_refuted(self, key):
        """Return whether this daemon has seen a quarantined part answered."""
        known = self._known_by_key[key]
        answered_at = self._memory.answered_at(key)
        if answered_at is None:
            return False
        return not known.part.convicted_again or answered_at > known.known_at

    def _report_if_refuted(self, key):
        if self._is_refuted(key):
            ago_s = self._kernel.clock.time() - self._memory.answered_at(key)
            self._reports.add(Served(key, ago_s))

    def _log_change(self, added, removed):
        if added or removed:
            log.notice(
                "quarantine changed",
                blocked=sorted(added),
                released=sorted(removed),
                known=len(self._known_by_key),
                term=self.current.term,
                serial=self.current.serial,
            )

    def _notify(self):
        changed, self.changed = self.changed, self.changed.get_loop().create_future()
        changed.set_result(None)

    def _apply_update(self, update):
        self.loaded = True
        self._judge.list.apply_update(update)
        stored = update.objects + tuple(
            change.stored for change in update.changes if not change.removed
        )
        for item in stored:
            if item.name.startswith(REPORT_PREFIX):
                self._apply_reports(item)

    def _apply_reports(self, stored):
        """Judge reports that a daemon wrote because no leader answered it."""
        try:
            strikes, _ = decode_reports(stored.value)
        except InvalidDocument as error:
            log.warning(
                "report on prompt parts not readable",
                name=stored.name,
                error=str(error),
            )
            return
        if self._kernel.get("lease").is_held():
            self._judge.judge(strikes, ())
        else:
            self._judge_provisionally(strikes)

    def _judge_provisionally(self, strikes):
        now = self._kernel.clock.time()
        if self._provisional_table is None:
            nothing = QuarantineList()
            self._provisional_table = EvidenceTable(0, self._react_s, nothing, now)
        convicted = self._provisional_table.record_strikes(strikes, now)
        for key in convicted:
            self._provisional_until_by_key[key] = now + PROVISIONAL_S
            log.warning("prompt part blocked without a leader", part=key)
        if convicted:
            self._notify()

    async def _may_try(self, key):
        """Ask the leader whether one request with a quarantined part may run."""
        known = self._known_by_key[key]
        now = self._kernel.clock.time()
        if now - known.asked_at < TRIAL_ASK_INTERVAL_S:
            return False
        known.asked_at = now
        lease = self._kernel.get("lease")
        if lease.is_held():
            return self._judge.grant_trial(key)
        address = lease.leader_address
        if not address:
            return False
        try:
            answer = await self._kernel.get("calls").call(
                address, TRIAL_CALL, {"key": key}, timeout_s=TRIAL_CALL_TIMEOUT_S
            )
        except (PeerUnreachable, ResponseLost) as error:
            log.info("no answer to a trial", leader=address, error=str(error))
            return False
        return bool(answer.get("granted"))
