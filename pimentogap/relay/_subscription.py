"""A collection that a daemon follows, and whether its copy may be passed on."""

import asyncio
import math

from pimentogap.relay._changes import ChangeLog
from pimentogap.relay._freshness import FRESHNESS_SLACK_S, KnownAt

# Longest wait of a watch; it bounds how long a watch that the store accepted but
# lost goes unnoticed.
WATCH_WAIT_S = 1.6
# After a failure a watch hardly waits: the first one that the store answers brings
# the daemon up to date, well within the 3 s that the platform allows.
CATCH_UP_WAIT_S = 0.05
# A copy whose source failed is passed on this long, in which the store can be read.
SOURCE_CHANGE_S = 0.1


class Subscription:
    """A collection that the daemon follows, with its contents and its source.

    ``known`` is the `KnownAt` of the contents; ``asked_at`` the boot time at which the
    last question was asked that was answered.
    """

    __slots__ = (
        "collection",
        "apply",
        "changes",
        "changed",
        "unavailable_since",
        "cooldown_until_by_relay",
        "reads_store",
        "known",
        "asked_at",
        "store_answers_since",
        "watch_wait_s",
        "answers_by_since",
        "answers_until",
        "_fresh_until",
        "_latency_s",
    )

    def __init__(self, collection, apply, watch_wait_s):
        self.collection = collection
        self.watch_wait_s = watch_wait_s
        self.apply = apply
        self.changes = ChangeLog()
        self.changed = asyncio.Event()
        self.unavailable_since = None
        self.cooldown_until_by_relay = {}
        self.reads_store = False
        self.known = KnownAt(collection)
        self.asked_at = -math.inf
        self.store_answers_since = math.inf
        self.answers_by_since = {}
        self.answers_until = 0.0
        self._fresh_until = -math.inf
        self._latency_s = 0.0

    def record_known(self, update, now, *, grace_s):
        """Record how recent the copy is once ``update`` is applied.

        :param grace_s: seconds for which it may be passed on beyond the limit of a
            copy from the store, because its source is another daemon.
        """
        self.known = self.known.latest(update.known)
        limit_s = self.watch_wait_s + FRESHNESS_SLACK_S + grace_s
        self._fresh_until = self.known.at + limit_s
        if self.reads_store and not update.has_news:
            self._latency_s = max(0.0, update.known.age_s(now))

    def record_source_lost(self, now):
        """Record that the source failed, so that another is read at once."""
        self._fresh_until = min(self._fresh_until, now + SOURCE_CHANGE_S)
        self.wake()

    def wake(self):
        """Let all who wait for a change look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def remaining_freshness_s(self, now):
        """Return for how many seconds the copy still counts as fresh."""
        return self._fresh_until - now

    def next_watch_wait_s(self, now):
        """Return how long a watch may wait so that its answer comes in time.

        It comes before the copy stops being fresh, also after an answer with changes,
        which vouches for no more than the moment of its question.
        """
        due_in_s = self.watch_wait_s + FRESHNESS_SLACK_S / 2 - self.known.age_s(now)
        wait_s = min(self.watch_wait_s, due_in_s - self._latency_s)
        return max(CATCH_UP_WAIT_S, wait_s)
