"""The service through which all others call the platform's object API."""

import asyncio
import math

from logbook import Logger

from pimentogap.errors import StoreAnswerLost, StoreError, StoreUnavailable
from pimentogap.store._calls import (
    Conflict,
    Delete,
    Get,
    List,
    ListVms,
    NotWritten,
    Put,
    Unsettled,
    VmList,
    Watch,
    Written,
)
from pimentogap.store._revisions import Revision

log = Logger("store")

CALL_TIMEOUT_S = 1.0
RETRY_BASE_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0
BREAKER_FAILURES = 5
# The breaker opens for longer each time that the store still fails. With the read that
# follows, a change is in force 2 s after the store's return.
BREAKER_OPEN_S = 0.5
MAX_BREAKER_OPEN_S = 0.8
BREAKER_GROWTH = 1.25
# One call is tried in this time while it is not known whether the store answers again.
TRIAL_INTERVAL_S = 0.3
# No further attempt of a read starts after this time; the last one may end later.
# The same holds for each `WRITE_RETRY_LIMIT_S` that is passed to `StoreClient.write`.
READ_RETRY_LIMIT_S = 3.0
# Calls that fail for less than this are no outage.
MIN_OUTAGE_S = 1.5
# No entry expires between two answers that are no further apart than this, since its
# server writes it more than once meanwhile.
MAX_ANSWER_GAP_S = 2.0
OBJECTS_PER_PAGE = 500


class Breaker:
    """A circuit breaker that refuses calls after several failures in a row.

    After a while it lets one call through, and all others once a call succeeds.
    """

    __slots__ = ("_clock", "_failures", "_open_until", "_next_open_s", "_closed")

    def __init__(self, clock):
        self._clock = clock
        self._failures = 0
        self._open_until = 0.0
        self._next_open_s = BREAKER_OPEN_S
        self._closed = asyncio.Event()

    def is_in_doubt(self):
        """Return whether the last calls have failed, be it open or not."""
        return self._failures >= BREAKER_FAILURES

    def open_s(self):
        """Return for how many seconds the breaker stays open; 0 if it is not."""
        return max(0.0, self._open_until - self._clock.time())

    def check(self):
        """Raise `StoreUnavailable` while the breaker is open."""
        if self.open_s() > 0:
            raise StoreUnavailable("the store has failed several calls in a row")
        if self.is_in_doubt():
            self._open_until = self._clock.time() + TRIAL_INTERVAL_S

    def record_success(self):
        """Close the breaker."""
        self._failures = 0
        self._open_until = 0.0
        self._next_open_s = BREAKER_OPEN_S
        self._closed.set()
        self._closed = asyncio.Event()

    def record_failure(self):
        """Count a failure and open the breaker if the limit is reached."""
        self._failures += 1
        if self.is_in_doubt():
            self._open_until = self._clock.time() + self._next_open_s
            longer_s = self._next_open_s * BREAKER_GROWTH
            self._next_open_s = min(MAX_BREAKER_OPEN_S, longer_s)

    async def wait_while_open(self):
        """Wait until a call may be tried, or one has succeeded."""
        while (remaining_s := self.open_s()) > 0:
            try:
                async with self._clock.timeout(remaining_s):
                    await self._closed.wait()
            except TimeoutError:
                # It may have opened again meanwhile.
                continue


class StoreClient:
    """Calls the platform's object API with deadlines, jittered retries and a breaker.

    ``calls_by_kind`` counts every attempt of a call, watches included, by the name
    of its class. ``last_answer_at`` is the time of the last successful call. ``era`` is
    that of the store's answers, which rises when the store has gone back to a copy, and
    ``era_since`` the time of this client's first answer in it.
    """

    name = "store"
    requires = ()
    __slots__ = (
        "_transport",
        "_kernel",
        "_breaker",
        "calls_by_kind",
        "last_answer_at",
        "_last_call_at",
        "_timeout_s",
        "_vm_list",
        "_failing_since",
        "_answering_since",
        "era",
        "era_since",
    )

    def __init__(self, transport, *, timeout_s=CALL_TIMEOUT_S):
        """Bind the client to a transport.

        :param transport: an object with ``call(call, *, timeout_s)``.
        :param timeout_s: seconds that one attempt of a call may take.
        """
        self._transport = transport
        self._timeout_s = timeout_s
        self._kernel = None
        self._breaker = None
        self.calls_by_kind = {}
        self.last_answer_at = -math.inf
        self._last_call_at = -math.inf
        self._vm_list = VmList("", ())
        self._failing_since = None
        self._answering_since = math.inf
        self.era = 0
        self.era_since = math.inf

    async def start(self, kernel):
        """Use the clock and the random numbers of ``kernel``."""
        self._kernel = kernel
        self._breaker = Breaker(kernel.clock)

    async def stop(self):
        """Do nothing; calls in progress belong to their callers."""

    def answering_s(self):
        """Return for how long the store has answered calls without a gap, in seconds.

        A gap is longer than `MAX_ANSWER_GAP_S`, or one in which the store went back.
        """
        now = self._kernel.clock.time()
        if now - self.last_answer_at > MAX_ANSWER_GAP_S:
            return 0.0
        return max(0.0, now - self._answering_since)

    def has_called(self):
        """Return whether this daemon has called the store just before.

        If not, it cannot tell whether the store answers.
        """
        return self._kernel.clock.time() - self._last_call_at <= MAX_ANSWER_GAP_S

    def is_in_doubt(self):
        """Return whether the store has failed several calls in a row, and no other."""
        return self._breaker.is_in_doubt()

    async def wait_while_refusing(self):
        """Wait while calls are refused without being sent."""
        await self._breaker.wait_while_open()

    async def get(self, collection, name, *, stale=False):
        """Return the `Stored` object, or ``None`` if there is none.

        :param stale: whether an answer that is seconds old is acceptable.
        :raises StoreUnavailable: if no attempt within `READ_RETRY_LIMIT_S` seconds
            was answered.
        """
        return await self._read(Get(collection, name, stale))

    async def list(self, collection, *, after="", limit=None, stale=False):
        """Return objects of ``collection``, by name, and the store's revision.

        :param after: return only names that sort after this one.
        :param limit: the maximum number of objects; all by default.
        :param stale: whether an answer that is seconds old is acceptable.
        :raises StoreUnavailable: if no attempt within `READ_RETRY_LIMIT_S` seconds
            was answered.
        """
        while True:
            items, revision = await self._list_pages(collection, after, limit, stale)
            # Pages of different eras do not belong together.
            if Revision(revision).era >= self.era:
                return items, revision

    async def _list_pages(self, collection, after, limit, stale):
        items = []
        revision = None
        while True:
            call = List(collection, after, limit or OBJECTS_PER_PAGE, stale)
            page = await self._read(call)
            items.extend(page.items)
            if revision is None:
                # The revision of the first page: a watch from it also returns the
                # changes made while the other pages were read.
                revision = page.revision
            if limit is not None or not page.truncated:
                return items, revision
            after = page.items[-1].name

    async def vms(self):
        """Return the platform's `VmList`, the same object while it is unchanged."""
        match await self._read(ListVms(self._vm_list.tag)):
            case VmList() as newer:
                self._vm_list = newer
        return self._vm_list

    async def watch(self, collection, revision, wait_s):
        """Return the changes after ``revision``, waiting up to ``wait_s`` for one.

        :raises WatchCompacted: if the history does not reach back that far.
        :raises StoreUnavailable: if the store does not answer.
        """
        try:
            return await self._call(Watch(collection, revision, wait_s))
        except StoreAnswerLost as error:
            raise StoreUnavailable(str(error))

    async def write(self, call, *, retry_for_s):
        """Repeat a `Put` or `Delete` until its outcome is known.

        After a lost answer the conditional write is sent again: it either takes
        effect now, or conflicts with what an earlier attempt wrote.

        :param retry_for_s: seconds after which no further attempt starts.
        :return: `Written`, `Conflict`, `NotWritten` or `Unsettled`.
        """
        clock = self._kernel.clock
        deadline = clock.time() + retry_for_s
        may_have_written = False
        attempt = 0
        while True:
            try:
                return self._resolve_outcome(
                    call, await self._call(call), may_have_written
                )
            except StoreAnswerLost:
                may_have_written = True
            except StoreUnavailable:
                pass
            delay_s = self._backoff(attempt)
            attempt += 1
            if clock.time() + delay_s >= deadline:
                return Unsettled() if may_have_written else NotWritten()
            await clock.sleep(delay_s)

    def _resolve_outcome(self, call, answer, may_have_written):
        match call, answer:
            case Put(), Conflict(current) if (
                may_have_written and current is not None and current.value == call.value
            ):
                return Written(current.version)
            case Delete(), Conflict(None) if may_have_written:
                return Written(0)
        return answer

    async def _read(self, call):
        clock = self._kernel.clock
        deadline = clock.time() + READ_RETRY_LIMIT_S
        attempt = 0
        while True:
            try:
                return await self._call(call)
            except (StoreAnswerLost, StoreUnavailable) as error:
                delay_s = self._backoff(attempt)
                attempt += 1
                if clock.time() + delay_s >= deadline:
                    raise StoreUnavailable(str(error))
                await clock.sleep(delay_s)

    async def _call(self, call):
        self._breaker.check()
        self._last_call_at = self._kernel.clock.time()
        kind = type(call).__name__
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1
        try:
            try:
                answer = await self._transport.call(call, timeout_s=self._timeout_s)
            finally:
                self._record_era(self._transport.era)
        except (StoreAnswerLost, StoreUnavailable):
            self._breaker.record_failure()
            if self._failing_since is None:
                self._failing_since = self._kernel.clock.time()
            raise
        except StoreError:
            # The store has answered, such as that the history is gone.
            self._breaker.record_success()
            raise
        self._breaker.record_success()
        self._record_answer(self._kernel.clock.time())
        return answer

    def _record_era(self, era):
        if era > self.era:
            log.notice("store era", era=era, before=self.era)
            if self.era:
                # Entries that were written since the copy are not back yet.
                self._answering_since = self._kernel.clock.time()
            self.era = era
            self.era_since = self._kernel.clock.time()

    def _record_answer(self, now):
        if now - self.last_answer_at > MAX_ANSWER_GAP_S:
            self._answering_since = now
        self.last_answer_at = now
        # A store that tells no era has answered for the first time.
        self.era_since = min(self.era_since, now)
        if self._failing_since is None:
            return
        away_s = now - self._failing_since
        self._failing_since = None
        if away_s >= MIN_OUTAGE_S:
            log.notice("store regained", away_s=round(away_s, 3))

    def _backoff(self, attempt):
        limit_s = min(MAX_RETRY_DELAY_S, RETRY_BASE_DELAY_S * 2**attempt)
        return limit_s * self._kernel.random.uniform(0.5, 1.0)
