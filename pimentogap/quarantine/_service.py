"""The service that finds prompt parts that crash backend servers, and blocks them."""

import asyncio
from collections import OrderedDict, deque

from logbook import Logger

from pimentogap.errors import PeerUnreachable, ResponseLost
from pimentogap.kernel import RestartOnError
from pimentogap.quarantine._documents import (
    decode_list,
    decode_reports,
    encode_list,
    encode_reports,
)
from pimentogap.quarantine._evidence import EvidenceTable
from pimentogap.quarantine._memory import PartMemory
from pimentogap.quarantine._types import (
    Allowed,
    Blocked,
    QuarantineList,
    Served,
    Strike,
    Trial,
    part_key,
)
from pimentogap.store import Conflict, Delete, Put, Written

log = Logger("quarantine")

COLLECTION = "quarantine"
OBJECT = "parts"
# What daemons report that cannot reach the leader stands in objects of their own.
REPORT_PREFIX = "reports."
REPORT_CALL = "prompt_parts"
TRIAL_CALL = "prompt_part_trial"
CALL_TIMEOUT_S = 0.4
# A request that was lost waits this long for the verdict before it is sent again.
VERDICT_WAIT_S = 0.1
RETRY_DELAY_S = 0.25
WRITE_RETRY_LIMIT_S = 1.0
# Strikes of this long ago are told to a new leader.
RECENT_S = 60.0
LEADER_CHECK_INTERVAL_S = 1.0
MAX_REPORTS = 256
MAX_PARTS_PER_REQUEST = 32
# A daemon asks for a trial of one part at most once in this time.
TRIAL_ASK_INTERVAL_S = 0.5
# What daemons decide without a leader holds this long; a new leader acts before.
PROVISIONAL_S = 10.0
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
    ``changed`` is a future that the next change of the list ends.
    """

    name = "quarantine"
    requires = ("store", "relay", "lease", "calls")
    __slots__ = (
        "changed",
        "loaded",
        "_id",
        "_react_s",
        "_kernel",
        "_store",
        "_lease",
        "_calls",
        "_memory",
        "_list",
        "_known_by_key",
        "_version",
        "_table",
        "_table_term",
        "_reports",
        "_reports_added",
        "_reports_sent",
        "_recent_strikes",
        "_reported_to",
        "_reported_keys",
        "_unwritten",
        "_provisional_table",
        "_provisional_until_by_key",
        "_own_version",
        "_own_reports",
    )

    def __init__(self, daemon_id, react_s):
        """Set the time in which daemons must react to a part that crashes servers.

        :param daemon_id: names the object of this daemon's reports.
        :param react_s: in seconds; the platform states it.
        """
        self._id = daemon_id
        self.changed = None
        self.loaded = False
        self._react_s = react_s
        self._kernel = None
        self._store = None
        self._lease = None
        self._calls = None
        self._memory = PartMemory()
        self._list = QuarantineList()
        self._known_by_key = {}
        self._version = 0
        self._table = None
        self._table_term = 0
        self._reports = deque(maxlen=MAX_REPORTS)
        self._reports_added = asyncio.Event()
        self._reports_sent = asyncio.Event()
        self._recent_strikes = deque(maxlen=MAX_REPORTS)
        self._reported_to = ""
        self._reported_keys = OrderedDict()
        self._unwritten = asyncio.Event()
        self._provisional_table = None
        self._provisional_until_by_key = {}
        self._own_version = 0
        self._own_reports = None

    async def start(self, kernel):
        """Follow the list, and start the tasks that report and write."""
        self._kernel = kernel
        self._store = kernel.get("store")
        self._lease = kernel.get("lease")
        self._calls = kernel.get("calls")
        self.changed = asyncio.get_running_loop().create_future()
        self._calls.register(REPORT_CALL, self._receive_reports)
        self._calls.register(TRIAL_CALL, self._receive_trial)
        kernel.get("relay").follow(COLLECTION, self._apply_update)
        for task in (self._send_reports, self._repeat_to_new_leader, self._write_list):
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
        now = self._kernel.clock.time()
        blocked = []
        for part in parts:
            key = part_key(service, part)
            until = self._provisional_until_by_key.get(key, 0.0)
            if now < until and self._memory.answered_at(key) is None:
                blocked.append(Blocked(key, until - now))
            known = self._known_by_key.get(key)
            if known is not None and not self._is_refuted(key, known):
                trial_at = known.known_at + known.part.trial_after_s
                blocked.append(Blocked(key, max(0.0, trial_at - now)))
        return max(blocked, key=lambda item: item.trial_in_s, default=ALLOWED)

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
        for part in parts:
            key = part_key(service, part)
            self._memory.record_answer(key, now)
            if key in self._known_by_key or self._reported_keys.pop(key, False):
                self._add_report(Served(key, 0.0))

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
        now = self._kernel.clock.time()
        for strike in strikes:
            self._recent_strikes.append((now, strike))
            self._reported_keys[strike.key] = True
            self._add_report(strike)
        while len(self._reported_keys) > MAX_REPORTS:
            self._reported_keys.popitem(last=False)
        try:
            async with self._kernel.clock.timeout(VERDICT_WAIT_S):
                await self._reports_sent.wait()
        except TimeoutError:
            log.debug("no verdict in time", id=request_id)

    def _is_refuted(self, key, known):
        """Return whether this daemon has seen the part answered."""
        answered_at = self._memory.answered_at(key)
        if answered_at is None:
            return False
        return not known.part.convicted_again or answered_at > known.known_at

    def _apply_update(self, update):
        self.loaded = True
        stored = update.objects + tuple(
            change.stored for change in update.changes if not change.removed
        )
        for item in stored:
            if item.name == OBJECT:
                self._version = max(self._version, item.version)
                self._apply_data(item.value)
            elif item.name.startswith(REPORT_PREFIX):
                self._judge_provisionally(item)

    def _judge_provisionally(self, stored):
        """Block what the reports that daemons wrote without a leader amount to."""
        try:
            strikes, _ = decode_reports(stored.value)
        except (KeyError, TypeError, ValueError) as error:
            log.warning(
                "report on prompt parts not readable",
                name=stored.name,
                error=repr(error),
            )
            return
        if self._lease.is_held():
            self._judge(strikes, ())
            return
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

    def _notify(self):
        changed, self.changed = self.changed, self.changed.get_loop().create_future()
        changed.set_result(None)

    def _apply_data(self, data):
        try:
            newer = decode_list(data)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.error("quarantine list not readable", error=repr(error))
            return
        self._apply_list(newer)

    def _apply_list(self, newer):
        if newer.order <= self._list.order:
            return
        now = self._kernel.clock.time()
        known_by_key = {}
        for key, part in newer.parts_by_key.items():
            known = self._known_by_key.get(key)
            if known is None or known.part != part:
                known = KnownPart(part, now)
            known_by_key[key] = known
        for key in known_by_key.keys() - self._known_by_key.keys():
            self._report_if_refuted(key, known_by_key[key])
        self._log_changes(known_by_key, newer)
        self._list = newer
        self._known_by_key = known_by_key
        self._provisional_table = None
        self._provisional_until_by_key.clear()
        self._notify()

    def _report_if_refuted(self, key, known):
        if self._is_refuted(key, known):
            ago_s = self._kernel.clock.time() - self._memory.answered_at(key)
            self._add_report(Served(key, ago_s))

    def _log_changes(self, known_by_key, newer):
        added = known_by_key.keys() - self._known_by_key.keys()
        removed = self._known_by_key.keys() - known_by_key.keys()
        if added or removed:
            log.notice(
                "quarantine changed",
                blocked=sorted(added),
                released=sorted(removed),
                known=len(known_by_key),
                term=newer.term,
                serial=newer.serial,
            )

    def _add_report(self, report):
        self._reports.append(report)
        self._reports_sent.clear()
        self._reports_added.set()

    async def _send_reports(self):
        while True:
            await self._reports_added.wait()
            self._reports_added.clear()
            reports = list(self._reports)
            self._reports.clear()
            if await self._deliver(reports):
                if not self._reports:
                    self._reports_sent.set()
                await self._withdraw_own_reports()
                continue
            self._reports.extendleft(reversed(reports))
            await self._store_own_reports()
            await self._kernel.clock.sleep(RETRY_DELAY_S)
            self._reports_added.set()

    async def _store_own_reports(self):
        """Let the other daemons read the recent strikes, as long as no leader does."""
        strikes = [strike for _, strike in self._recent_strikes]
        if not strikes:
            return
        value = encode_reports(strikes)
        if value == self._own_reports and self._own_version:
            return
        name = REPORT_PREFIX + self._id
        call = Put(COLLECTION, name, value, self._own_version)
        match await self._store.write(call, retry_for_s=WRITE_RETRY_LIMIT_S):
            case Written(version):
                self._own_version = version
                self._own_reports = value
            case Conflict(current):
                # Left by an earlier life of this daemon; overwritten at the next try.
                self._own_version = current.version if current is not None else 0

    async def _withdraw_own_reports(self):
        if self._own_version:
            name = REPORT_PREFIX + self._id
            call = Delete(COLLECTION, name, self._own_version)
            self._own_version = 0
            await self._store.write(call, retry_for_s=WRITE_RETRY_LIMIT_S)

    async def _deliver(self, reports):
        """Tell the leader; return whether it knows the reports."""
        body = encode_reports(reports)
        if self._lease.is_held():
            self._judge(*decode_reports(body))
            return True
        address = self._lease.leader_address
        if not address:
            return False
        try:
            answer = await self._calls.call(
                address, REPORT_CALL, body, timeout_s=CALL_TIMEOUT_S
            )
        except (PeerUnreachable, ResponseLost) as error:
            log.info("prompt parts not reported", leader=address, error=str(error))
            return False
        if not answer:
            return False
        self._reported_to = address
        self._apply_data(answer)
        return True

    async def _repeat_to_new_leader(self):
        """Tell a new leader what the one before it may have taken with it."""
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
                self._add_report(strike)

    async def _receive_reports(self, body):
        """Answer with the list, or with nothing if this daemon does not lead."""
        if not self._lease.is_held():
            return {}
        try:
            strikes, served = decode_reports(body)
        except (KeyError, TypeError, ValueError) as error:
            log.warning("report on prompt parts not readable", error=repr(error))
            return {}
        self._judge(strikes, served)
        return encode_list(self._current_table().quarantined())

    def _judge(self, strikes, served):
        table = self._current_table()
        now = self._kernel.clock.time()
        for strike in strikes:
            log.info(
                "prompt part struck",
                part=strike.key,
                backend=strike.life,
                id=strike.request_id,
            )
        convicted = table.record_strikes(strikes, now)
        released = [
            item.key
            for item in served
            if table.record_answer(item.key, now - item.ago_s)
        ]
        for key in convicted:
            log.warning("prompt part quarantined", part=key, term=self._lease.term)
        for key in released:
            log.notice("prompt part released", part=key, term=self._lease.term)
        self._publish(table)

    def _current_table(self):
        """Return the evidence of the current term, continued from the last list."""
        if self._table is None or self._table_term != self._lease.term:
            self._table_term = self._lease.term
            self._table = EvidenceTable(
                self._lease.term, self._react_s, self._list, self._kernel.clock.time()
            )
        return self._table

    def _publish(self, table):
        quarantined = table.quarantined()
        if quarantined.serial and quarantined.order > self._list.order:
            self._apply_list(quarantined)
            self._unwritten.set()

    async def _write_list(self):
        """Write each new list of this leader to the store."""
        while True:
            await self._unwritten.wait()
            self._unwritten.clear()
            if self._lease.is_held() and not await self._write(self._list):
                await self._kernel.clock.sleep(RETRY_DELAY_S)
                self._unwritten.set()

    async def _write(self, quarantined):
        """Return whether the store has the list, or that of a later leader."""
        call = Put(COLLECTION, OBJECT, encode_list(quarantined), self._version)
        match await self._store.write(call, retry_for_s=WRITE_RETRY_LIMIT_S):
            case Written(version):
                self._version = max(self._version, version)
                return True
            case Conflict(current):
                self._version = current.version if current is not None else 0
                if current is not None:
                    self._apply_data(current.value)
                return self._list.order > quarantined.order
        return False

    async def _may_try(self, key):
        """Ask the leader whether one request with a quarantined part may run."""
        known = self._known_by_key[key]
        now = self._kernel.clock.time()
        if now - known.asked_at < TRIAL_ASK_INTERVAL_S:
            return False
        known.asked_at = now
        if self._lease.is_held():
            return self._current_table().grant_trial(key, now)
        address = self._lease.leader_address
        if not address:
            return False
        try:
            answer = await self._calls.call(
                address, TRIAL_CALL, {"key": key}, timeout_s=CALL_TIMEOUT_S
            )
        except (PeerUnreachable, ResponseLost) as error:
            log.info("no answer to a trial", leader=address, error=str(error))
            return False
        return bool(answer.get("granted"))

    async def _receive_trial(self, body):
        if not self._lease.is_held():
            return {}
        now = self._kernel.clock.time()
        granted = self._current_table().grant_trial(body.get("key"), now)
        return {"granted": granted}
