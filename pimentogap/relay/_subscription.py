"""A collection that a daemon follows, and whether its copy may be passed on."""

import asyncio
import math

from pimentogap.relay._changes import ChangeLog
from pimentogap.relay._freshness import (
    FRESHNESS_SLACK_S,
    RELAYED_SLACK_S,
    KnownAt,
)

# Longest wait of a watch; it bounds how long a watch that the store accepted but
# lost goes unnoticed.
WATCH_WAIT_S = 0.7
# After a failure a watch hardly waits: the first one that the store answers brings
# the daemon up to date, well within the 3 s that the platform allows.
CATCH_UP_WAIT_S = 0.05


class Subscription:
    """A collection that the daemon follows, with its contents and its source.

    ``known`` is the `KnownAt` of the contents; ``asked_at`` the boot time at which the
    last question was asked that was answered. ``source_mark`` is the address of the
    daemon that was asked last, with the mark of its copy.
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
        "source_mark",
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
        self.source_mark = ("", None)
        self.store_answers_since = math.inf
        self.answers_by_since = {}
        self.answers_until = 0.0
        self._fresh_until = -math.inf
        self._latency_s = 0.0

    def record_known(self, update, now):
        """Record how recent the copy is once ``update`` is applied."""
        self.known = self.known.latest(update.known)
        max_age_s = self.max_age_s(is_relayed=not self.reads_store)
        self._fresh_until = self.known.at + max_age_s
        if self.reads_store and not update.has_news:
            self._latency_s = max(0.0, update.known.age_s(now))

    def wake(self):
        """Let all who wait for a change look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def remaining_freshness_s(self, now):
        """Return for how many seconds the copy still counts as fresh."""
        return self._fresh_until - now

    def max_age_s(self, *, is_relayed):
        """Return the age of a copy from which on it is too old to be passed on.

        :param is_relayed: whether it comes from a daemon that does not read the store.
        """
        slack_s = RELAYED_SLACK_S if is_relayed else FRESHNESS_SLACK_S
        return self.watch_wait_s + slack_s

    def next_watch_wait_s(self, now):
        """Return how long a watch may wait so that its answer comes in time.

        It comes before the copy stops being fresh, also after an answer with changes,
        which vouches for no more than the moment of its question.
        """
        due_in_s = self.watch_wait_s + FRESHNESS_SLACK_S / 2 - self.known.age_s(now)
        wait_s = min(self.watch_wait_s, due_in_s - self._latency_s)
        return max(CATCH_UP_WAIT_S, wait_s)
