"""Decides how old a daemon's copy of a collection may be, and how old it is."""

import math
from dataclasses import dataclass

# A copy from the store is passed on until it is older than the wait of a watch by this
# much: until the answer that is due has come.
FRESHNESS_SLACK_S = 0.45
# The same for a copy from another daemon, which first has this long to read the store
# in place of its own source.
RELAYED_SLACK_S = 0.7
# An answer that is due when a copy becomes too old arrives within this time.
ANSWER_SLACK_S = 0.15


@dataclass(frozen=True, slots=True)
class KnownAt:
    """The moment up to which a copy of ``collection`` is known to be complete.

    The copy holds each change that the store acknowledged before ``at``, in seconds of
    the daemon's boot time. What vouches for it is a question about this collection: an
    answer may have been on its way for long, and answers about other collections say
    nothing.
    """

    collection: str
    at: float = -math.inf

    @classmethod
    def by_list(cls, collection, asked_at):
        """Return what the answer to a list asked for at ``asked_at`` vouches for."""
        return cls(collection, asked_at)

    @classmethod
    def by_watch(cls, collection, asked_at, wait_s, answered_at, *, has_changes):
        """Return what the answer to a watch of ``wait_s`` seconds vouches for.

        The store answers without changes once the wait is over, and not before.
        """
        if has_changes or answered_at - asked_at < wait_s:
            return cls(collection, asked_at)
        return cls(collection, asked_at + wait_s)

    @classmethod
    def by_relay(cls, collection, asked_at, since_question_s, answered_at):
        """Return what a relay's answer vouches for.

        :param since_question_s: what `since_question_s` returned at the relay. The
            question reached it after ``asked_at``.
        :raises ValueError: if it is no number.
        """
        if not math.isfinite(since_question_s):
            raise ValueError(f"known {since_question_s!r} s after the question")
        return cls(collection, min(asked_at + since_question_s, answered_at))

    def since_question_s(self, question_at):
        """Return by how many seconds this is later than a question's arrival."""
        return self.at - question_at

    def age_s(self, now):
        """Return the age in seconds at ``now``, a boot time."""
        return now - self.at

    def latest(self, other):
        """Return the later one of this and ``other``, of the same collection.

        :raises ValueError: if ``other`` is of another collection.
        """
        if other.collection != self.collection:
            raise ValueError(f"{other.collection!r} does not vouch for {self!r}")
        return self if self.at >= other.at else other
