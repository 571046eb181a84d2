"""A daemon's estimate of the load and the health of one backend server."""

import math
from collections import deque

from pimentogap.pace import AnswerWindow, Sign

# Requests per slot, running and queued, from which a backend server counts as full if
# nothing is known of its pace.
MAX_REQUESTS_PER_SLOT = 2.0
# A backend server that sent bytes of any answer within this time is working.
WORKING_S = 0.3
# Requests, as a share of the limit, from which hardly any request finds room.
FULL_SHARE = 0.85
# What other daemons stated of their requests goes before load reports for this long.
OTHERS_LIFETIME_S = 1.5
REPORT_WINDOW_S = 0.5
MAX_HIDDEN_SHARE = 0.5
# Half-life of the weight of a load report; about the time that a stream runs.
REPORT_HALF_LIFE_S = 1.5
# How long a backend server is left out after a first failure to answer. The time
# doubles with each further one in a row, up to the limit.
FIRST_SUSPICION_S = 1.0
MAX_SUSPICION_S = 8.0
# A backend server that asks for more quiet than this gets a request afterwards, so that
# it is never forgotten.
MAX_QUIET_S = 60.0


class ReportWindow:
    """How far load reports of the last `REPORT_WINDOW_S` exceeded what was stated."""

    __slots__ = ("_surpluses",)

    def __init__(self):
        self._surpluses = deque()

    def record(self, surplus, now):
        """Record that a report shows ``surplus`` requests more, or less."""
        self._surpluses.append((now, surplus))
        self._forget_old(now)

    def surplus(self, now):
        """Return the sum of the surpluses and their number."""
        self._forget_old(now)
        return sum(surplus for _, surplus in self._surpluses), len(self._surpluses)

    def _forget_old(self, now):
        while self._surpluses and self._surpluses[0][0] <= now - REPORT_WINDOW_S:
            self._surpluses.popleft()


class BackendLoad:
    """Requests in flight, the last load report, and suspicion of a failure.

    Times are in seconds of the runtime's clock; ``slots`` is how many requests the
    backend server runs at once, and ``limit`` how many of all daemons it may have.
    ``others`` is what the other daemons last stated of theirs, ``hidden`` an estimate
    of those that no daemon waits for any more.
    """

    __slots__ = (
        "backend_id",
        "slots",
        "limit",
        "in_flight",
        "others",
        "_others_known_at",
        "_reported_requests",
        "_reported_at",
        "_in_flight_at_report",
        "_suspected_until",
        "_consecutive_suspicions",
        "progress_at",
        "_quiet_until",
        "answers",
        "reports",
        "hidden",
    )

    def __init__(self, backend_id, slots, *, limit=None):
        self.backend_id = backend_id
        self.slots = slots
        self.limit = MAX_REQUESTS_PER_SLOT * slots if limit is None else limit
        self.in_flight = 0
        self.others = 0
        self._others_known_at = -math.inf
        self._reported_requests = 0
        self._reported_at = -math.inf
        self._in_flight_at_report = 0
        self._suspected_until = -math.inf
        self._consecutive_suspicions = 0
        self.progress_at = -math.inf
        self._quiet_until = -math.inf
        self.answers = AnswerWindow()
        self.reports = ReportWindow()
        self.hidden = 0.0

    def record_first_event(self, waited_s, slow_after_s, now):
        """Record the wait for an answer, or for the first event of a stream.

        :param slow_after_s: the seconds from which the wait was too long.
        """
        sign = Sign.GOOD if waited_s <= slow_after_s else Sign.SLOW
        self.answers.record(sign, now)

    def record_gap(self, gap_s, slow_after_s, now):
        """Record the time between two events of a stream if it was too long."""
        if gap_s > slow_after_s:
            self.answers.record(Sign.SLOW, now)

    def record_rejection(self, now):
        """Record that a request was rejected and did not run."""
        self.answers.record(Sign.REJECTED, now)

    def record_failure(self, now):
        """Record that a request got no answer, or a broken one.

        One that answers other requests meanwhile is slow.
        """
        is_working = now - self.progress_at <= WORKING_S
        self.answers.record(Sign.SLOW if is_working else Sign.FAILED, now)

    def ask_quiet(self, quiet_s, now):
        """Send nothing for ``quiet_s`` seconds, as the backend server asks."""
        self._quiet_until = max(self._quiet_until, now + min(quiet_s, MAX_QUIET_S))

    def quiet_in_s(self, now):
        """Return the seconds until it takes requests, as far as it has said."""
        return max(0.0, self._quiet_until - now)

    def record_others(self, at_work, known_at):
        """Record the requests that all other daemons have there, as they stated."""
        self.others = at_work
        self._others_known_at = known_at

    def record_hidden(self, surplus, now):
        """Estimate the requests that run there although no daemon waits for them.

        A server goes on for a while with one whose caller has left.

        :param surplus: by how many requests the reports to other daemons exceeded what
            was stated, as a sum, and the number of reports.
        """
        own_sum, own_count = self.reports.surplus(now)
        others_sum, others_count = surplus
        count = own_count + others_count
        mean = (own_sum + others_sum) / count if count else 0.0
        # Reports that are wrong must not close a server for good.
        self.hidden = min(max(0.0, mean), MAX_HIDDEN_SHARE * self.slots)

    def record_report(self, load, now):
        """Record the `EngineLoad` that came with an answer."""
        if now - self._others_known_at <= OTHERS_LIFETIME_S:
            surplus = load.running + load.waiting - self.in_flight - self.others
            self.reports.record(max(-self.slots, min(self.slots, surplus)), now)
        self._reported_requests = load.running + load.waiting
        self._reported_at = now
        self._in_flight_at_report = self.in_flight

    def record_progress(self, now):
        """Record that bytes of an answer arrived, which ends any suspicion."""
        self.progress_at = now
        self._suspected_until = -math.inf
        self._consecutive_suspicions = 0

    def suspect(self, now, *, for_s=None):
        """Leave the backend server out for a while.

        :param for_s: seconds to leave it out; if ``None``, twice as long with each
            suspicion in a row, up to `MAX_SUSPICION_S`.
        """
        self._consecutive_suspicions += 1
        if for_s is None:
            for_s = min(
                MAX_SUSPICION_S,
                FIRST_SUSPICION_S * 2 ** (self._consecutive_suspicions - 1),
            )
        self._suspected_until = max(self._suspected_until, now + for_s)

    def is_suspect(self, now):
        """Return whether the backend server is left out at present."""
        return now < self._suspected_until

    def expected_requests(self, now):
        """Return the estimated number of requests that run or wait there.

        These are the own requests in flight, and those that the other daemons stated.
        Without a statement they are those that the last report showed, whose weight
        decays with the age of the report.
        """
        if now - self._others_known_at <= OTHERS_LIFETIME_S:
            return self.in_flight + self.others + self.hidden
        others = max(0, self._reported_requests - self._in_flight_at_report)
        if others:
            others *= 0.5 ** ((now - self._reported_at) / REPORT_HALF_LIFE_S)
        return self.in_flight + others

    def free_room(self, now):
        """Return how many more requests it may have."""
        return self.limit - self.expected_requests(now)

    def busy_share(self, now):
        """Return the estimated requests as a share of what it can have in time."""
        most = min(self.slots, max(1.0, FULL_SHARE * self.limit))
        return self.expected_requests(now) / most

    def requests_per_slot(self, now):
        """Return the estimated number of requests per slot."""
        return self.expected_requests(now) / self.slots
