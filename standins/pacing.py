"""A model of one backend server under full demand, paced by the product's `PaceBook`.

There is no network: the server's answers are computed from its requests at work.
"""

import heapq
import math
from collections import deque
from dataclasses import dataclass

from pimentogap.pace import AnswerWindow, Evidence, PaceBook, Room, Sign

STEP_S = 0.02
# How old the evidence is on which a relay decides.
EVIDENCE_DELAY_S = 0.3
OBJECTIVE_S = 0.25
FIRST_EVENT_S = 0.15
STREAM_S = 0.7
ESTABLISHED_S = 11.0
# Callers ask for this many times what the server can do.
DEMAND = 2.0
# The fixed ramp with which the pace is compared: from a fifth to all, in 12 s.
RAMP_START_SHARE = 0.2
RAMP_S = 15.0
FULL_SHARE = 0.9
KEY = "server"


@dataclass(frozen=True, slots=True)
class Slow:
    """First events take ``factor`` times as long from ``since_s`` to ``until_s``."""

    since_s: float
    until_s: float
    factor: float = 5.0


@dataclass(frozen=True, slots=True)
class Fails:
    """Every request fails from ``since_s`` to ``until_s``."""

    since_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class Knee:
    """The server runs only ``slots`` requests at once, whatever it says."""

    slots: int


@dataclass(frozen=True, slots=True)
class Trace:
    """The limit at each time since the server came, and what the requests saw.

    ``requests`` has for each the time at which it was sent and its `Sign`.
    """

    limits: list
    requests: list

    def count(self, sign, *, outside=()):
        """Return the requests with a `Sign`.

        :param outside: `Slow` times; requests that were sent in one do not count.
        """
        return sum(
            seen is sign
            and not any(slow.since_s <= at_s < slow.until_s for slow in outside)
            for at_s, seen in self.requests
        )

    def full_after_s(self, since_s, slots):
        """Return the seconds after ``since_s`` until the server is used in full."""
        for at_s, limit in self.limits:
            if at_s >= since_s and limit >= FULL_SHARE * slots:
                return at_s - since_s
        return math.inf

    def least_limit(self, since_s, until_s):
        """Return the lowest limit in a time."""
        return min(limit for at_s, limit in self.limits if since_s <= at_s < until_s)


class PacedServer:
    """A backend server that runs ``slots`` requests and queues the rest.

    ``troubles`` are the `Slow` and `Fails` times, in seconds since it came, and a
    `Knee`.
    """

    __slots__ = (
        "_slots",
        "_troubles",
        "_room",
        "_book",
        "_window",
        "_history",
        "_known",
        "_at_work",
        "_ends",
        "_answers",
        "_requests",
    )

    def __init__(self, slots, troubles):
        self._slots = slots
        self._troubles = troubles
        self._room = Room(None, slots)
        self._book = PaceBook()
        self._window = AnswerWindow()
        self._history = deque()
        self._known = Evidence()
        self._at_work = 0
        self._ends = []
        self._answers = []
        self._requests = []

    def run(self, seconds, *, ramp=False):
        """Offer as much as the limit allows, and return the `Trace`.

        :param ramp: whether a fixed ramp sets the limit.
        """
        limits = []
        waiting = 0.0
        per_step = DEMAND * self._slots / (FIRST_EVENT_S + STREAM_S) * STEP_S
        self._book.record_listed({"other": self._room}, 0.0)
        for step in range(round((ESTABLISHED_S + seconds) / STEP_S)):
            now = step * STEP_S
            since_s = now - ESTABLISHED_S
            if since_s < 0:
                self._book.record_listed({"other": self._room}, now)
                continue
            limit = self._limit(now, since_s, ramp)
            limits.append((since_s, limit))
            self._answer(now)
            waiting = min(self._slots, waiting + per_step)
            while self._at_work + 1 <= limit and waiting >= 1:
                waiting -= 1
                self._send(now, since_s)
        return Trace(limits, self._requests)

    def _limit(self, now, since_s, ramp):
        if ramp:
            return self._slots * min(1.0, RAMP_START_SHARE + since_s / RAMP_S)
        self._history.append((now, self._window.evidence(now)))
        while self._history and self._history[0][0] <= now - EVIDENCE_DELAY_S:
            _, self._known = self._history.popleft()
        self._book.record_listed({"other": self._room, KEY: self._room}, now)
        self._book.record_evidence({KEY: self._known})
        self._book.update(KEY, self._at_work, now)
        return self._book.limit(KEY, self._room)

    def _send(self, now, since_s):
        self._at_work += 1
        wait_s, sign = self._wait(since_s)
        self._requests.append((since_s, sign))
        heapq.heappush(self._answers, (now + wait_s, sign))
        ends_at = now + wait_s + (0.0 if sign is Sign.FAILED else STREAM_S)
        heapq.heappush(self._ends, ends_at)

    def _wait(self, since_s):
        slots = self._slots
        for trouble in self._troubles:
            if isinstance(trouble, Knee):
                slots = trouble.slots
        queued = max(0, self._at_work - slots)
        wait_s = FIRST_EVENT_S + queued * STREAM_S / slots
        for trouble in self._troubles:
            match trouble:
                case Slow(since, until, factor) if since <= since_s < until:
                    wait_s *= factor
                case Fails(since, until) if since <= since_s < until:
                    return 0.02, Sign.FAILED
        return wait_s, Sign.SLOW if wait_s > OBJECTIVE_S else Sign.GOOD

    def _answer(self, now):
        while self._answers and self._answers[0][0] <= now:
            _, sign = heapq.heappop(self._answers)
            self._window.record(sign, now)
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
            self._at_work -= 1
