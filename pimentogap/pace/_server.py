"""The pace of one backend server: its limit on requests at work, and why.

The limit is doubled while a server that has come (back) answers well, as in TCP's slow
start (V. Jacobson, M. Karels, "Congestion Avoidance and Control", SIGCOMM 1988).
Afterwards it rises by steps and falls by a part (D. Chiu, R. Jain, "Analysis of the
Increase and Decrease Algorithms for Congestion Avoidance", 1989), in proportion to the
share of slow answers (M. Alizadeh et al., "Data Center TCP", SIGCOMM 2010).
"""

import math
from dataclasses import replace
from enum import StrEnum

from pimentogap.pace._evidence import NO_EVIDENCE, WINDOW_S
from pimentogap.pace._phases import Failing, Starting, Steady, Tried

# Share of the usual limit with which a server starts, and one that was only away or has
# no other beside it.
START_SHARE = 0.25
KNOWN_START_SHARE = 0.5
# Least limit of a server that answers, as a share of the usual one.
FLOOR_SHARE = 0.125
MIN_FLOOR = 2.0
START_GROWTH = 2.0
# A limit is raised to at most this multiple of what was at work without harm.
MAX_UNTRIED_GROWTH = 3.0
# Requests at work, as a share of the limit, from which the limit counts as used.
USED_SHARE = 0.7
# A share of slow answers this many times that of the others of its model is its own.
UNCOMMON_FACTOR = 2.0
STEP_SHARE = 1 / 16
# Growth once the answers at a limit were good for some rounds, far from the limit at
# which they were slow.
RECOVERY_GROWTH = 1.5
RECOVERY_ROUNDS = 2
NEAR_SLOW_SHARE = 0.7
# Below this share of the usual limit, slow answers are not taken to come of the load.
LOAD_SLOW_SHARE = 0.5
# How long the limit at which answers were slow is kept in mind.
SLOW_MEMORY_S = 5.0
# Falls of the limit within this time of each other are in a row.
FALL_MEMORY_S = 2.0
# Shares of slow answers in a round up to which the limit rises, and beyond which it
# falls.
TOLERATED_SLOW_SHARE = 0.1
SLOW_SHARE = 0.2
# Part of the share of slow answers by which the limit falls, first and in a row.
FIRST_FALL = 0.25
NEXT_FALL = 0.5
REJECTED_FALL = 0.8
# A single slow answer says little of a server that is established.
MIN_SLOW_COUNT = 2
# The limit falls from what was at work, but at most from this part of itself.
LEAST_USED_SHARE = 0.5
FALL_INTERVAL_S = 0.9
# A server is failing if at least so many requests failed in a round and this share.
FAILING_COUNT = 2
FAILING_SHARE = 0.8
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 8.0


class Reason(StrEnum):
    """Why a server has its limit."""

    USUAL = "usual"
    STARTING = "starting"
    GOOD = "good"
    SLOW = "slow"
    REJECTS = "rejects"
    FAILS = "fails"
    TRIED = "tried"
    TOLD = "told"


class ServerPace:
    """The limit on requests at work at one backend server, in its present phase.

    ``limit`` is for the requests of all daemons. Times are in seconds of the runtime's
    clock.
    """

    __slots__ = ("limit", "phase", "reason", "_usual", "_round_at")

    def __init__(self, usual):
        """Begin with the limit of an established server.

        :param usual: the limit of a server of which nothing special is known, which is
            the highest as well.
        """
        self._usual = usual
        self.limit = usual
        self.phase = Steady(usual, -math.inf)
        self.reason = Reason.USUAL
        self._round_at = -math.inf

    @property
    def is_established(self):
        """Whether the server has shown what it bears."""
        return isinstance(self.phase, Steady)

    def start(self, *, is_known=False):
        """Begin low, since the server has just come (back).

        :param is_known: whether it may be established after all, or no other server
            for its model is.
        """
        share = KNOWN_START_SHARE if is_known else START_SHARE
        self.phase = Starting()
        self._set(max(self._floor, share * self._usual), Reason.STARTING)

    def follow(self, limit, now):
        """Take over the limit that a daemon with more evidence has found."""
        if limit != self.limit:
            self._set(limit, Reason.TOLD)
        match self.phase:
            case Failing() if limit >= 1.0:
                self.phase = Steady(limit, now)
            case Failing():
                pass
            case _ if limit < 1.0:
                # Tried again from here on if no other daemon decides any more.
                self.phase = Failing(now + FIRST_PAUSE_S, FIRST_PAUSE_S)
            case Starting() if limit >= self._usual:
                self.phase = Steady(limit, -math.inf)

    def update(self, evidence, at_work, now, *, others=NO_EVIDENCE):
        """Change the limit as the `Evidence` of the last round shows.

        :param at_work: the requests at work, of all daemons.
        :param others: the `Evidence` of the other servers of its model.
        """
        if now - self._round_at < WINDOW_S:
            return
        self._round_at = now
        match self.phase:
            case Failing(until, pause_s):
                if now >= until:
                    self.phase = Tried(pause_s)
                    self._set(1.0, Reason.TRIED)
            case Tried(pause_s):
                self._update_tried(pause_s, evidence, now)
            case _ if self._fails(evidence):
                self._pause(FIRST_PAUSE_S, now)
            case Starting():
                self._update_starting(evidence, at_work, now)
            case Steady() as steady:
                self._update_steady(steady, evidence, at_work, now, others)

    @property
    def _floor(self):
        return min(self._usual, max(MIN_FLOOR, FLOOR_SHARE * self._usual))

    def _set(self, limit, reason):
        self.limit = min(self._usual, limit)
        self.reason = reason

    def _fails(self, evidence):
        return (
            evidence.failed >= FAILING_COUNT
            and evidence.failed >= FAILING_SHARE * evidence.total
        )

    def _pause(self, pause_s, now):
        self.phase = Failing(now + pause_s, pause_s)
        self._set(0.0, Reason.FAILS)

    def _update_tried(self, pause_s, evidence, now):
        if evidence.good + evidence.slow > evidence.failed:
            self.start()
        elif evidence.failed:
            self._pause(min(MAX_PAUSE_S, 2 * pause_s), now)

    def _update_starting(self, evidence, at_work, now):
        if self._falls(evidence):
            self._fall(evidence, at_work, now)
        elif evidence.good:
            limit = self._grown(START_GROWTH * self.limit, at_work)
            self._set(limit, Reason.STARTING)
            if limit >= self._usual:
                self.phase = Steady(limit, -math.inf)
                self._set(limit, Reason.GOOD)

    def _update_steady(self, steady, evidence, at_work, now, others):
        if self._falls(evidence):
            # Answers to requests from before the last fall still show what was then.
            is_new = now - steady.slow_seen_at >= FALL_INTERVAL_S
            is_own = evidence.bad_share >= UNCOMMON_FACTOR * others.bad_share
            if evidence.rejected or (is_new and is_own):
                self._fall(evidence, at_work, now)
            return
        if not evidence.good or evidence.slow > TOLERATED_SLOW_SHARE * evidence.total:
            return
        rounds = steady.good_rounds + 1
        self.phase = replace(steady, good_rounds=rounds)
        if at_work < USED_SHARE * self.limit:
            return
        limit = self.limit + max(1.0, STEP_SHARE * self._usual)
        slow_before_s = now - steady.slow_seen_at
        if rounds >= RECOVERY_ROUNDS and self.limit < self._usual:
            recovered = min(self._usual, RECOVERY_GROWTH * self.limit)
            is_load_slow = steady.slow_at >= LOAD_SLOW_SHARE * self._usual
            if is_load_slow and slow_before_s <= SLOW_MEMORY_S:
                recovered = min(recovered, NEAR_SLOW_SHARE * steady.slow_at)
            limit = max(limit, recovered)
        self._set(self._grown(limit, at_work), Reason.GOOD)

    def _grown(self, limit, at_work):
        """Return ``limit``, or less if far more than what was at work so far."""
        most = MAX_UNTRIED_GROWTH * at_work + MIN_FLOOR
        return max(self.limit, min(limit, most))

    def _falls(self, evidence):
        bad = evidence.slow + evidence.failed
        least = 1 if isinstance(self.phase, Starting) else MIN_SLOW_COUNT
        is_slow = bad >= least and bad > SLOW_SHARE * evidence.total
        return is_slow or evidence.rejected

    def _fall(self, evidence, at_work, now):
        """Lower the limit by a part of the share of answers that were not good."""
        used = min(self.limit, max(at_work, LEAST_USED_SHARE * self.limit))
        falls = 0
        match self.phase:
            case Steady(falls=before, slow_seen_at=seen_at):
                falls = before if now - seen_at <= FALL_MEMORY_S else 0
        if evidence.rejected:
            limit, reason = REJECTED_FALL * used, Reason.REJECTS
        else:
            part = NEXT_FALL if falls else FIRST_FALL
            limit, reason = used * (1 - part * evidence.bad_share), Reason.SLOW
        self.phase = Steady(self.limit, now, falls + 1)
        self._set(max(min(self._floor, self.limit), limit), reason)
