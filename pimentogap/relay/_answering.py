"""Decides what a daemon passes on of its copies of collections, and for how long."""

from logbook import Logger

from pimentogap.calls import PersonalAnswer, SharedAnswer
from pimentogap.relay._changes import CONTACT_FIELD, CollectionUpdate, dump

log = Logger("relay")

# How long before or after the question the answerer's copy was known to be complete.
KNOWN_FIELD = "known_s"
# Marks how recent the answerer's copy was. Who has asked it before returns the mark,
# and is answered as soon as the copy is known to be more recent.
MARK_FIELD = "mark"
# The leader's lease as the answerer knows it.
LEASE_FIELD = "lease"
# Daemons that ask within this time for the changes since the same revision get the
# same answer, so that it is encoded once.
SHARED_ANSWER_S = 0.3


class ChangesAnswerer:
    """Answers other daemons that ask for the changes since a revision."""

    __slots__ = (
        "_clock",
        "_daemons",
        "_subscriptions_by_collection",
        "_max_wait_s",
        "_tell_lease",
    )

    def __init__(
        self, clock, daemons, subscriptions_by_collection, *, max_wait_s, tell_lease
    ):
        """Pass on the copies in ``subscriptions_by_collection``.

        :param max_wait_s: the longest wait for a change.
        :param tell_lease: a function that returns the leader's lease as plain data.
        """
        self._clock = clock
        self._daemons = daemons
        self._subscriptions_by_collection = subscriptions_by_collection
        self._max_wait_s = max_wait_s
        self._tell_lease = tell_lease

    async def answer(self, body):
        """Return the changes since a revision, for another daemon.

        An empty answer makes the other daemon leave this one out for a while. It is
        given if this daemon has no fresh copy of the collection, and to a relay if
        this daemon does not read the collection from the store itself.
        """
        question_at = self._clock.boot_time()
        subscription = self._subscriptions_by_collection.get(body.get("collection"))
        if subscription is None:
            return {}
        if not self._may_answer(subscription, from_relay=bool(body.get("from_relay"))):
            return {}
        since = body.get("since")
        if since is not None:
            wait_s = min(body.get("wait_s", self._max_wait_s), self._max_wait_s)
            await self._wait_for_change(subscription, body, question_at + wait_s)
        if not self._is_fresh(subscription):
            return {}
        return PersonalAnswer(
            self._shared_answer(subscription, since),
            {
                # Not shared, since it grows while the shared part is kept.
                CONTACT_FIELD: self._clock.time() - subscription.store_answers_since,
                KNOWN_FIELD: subscription.known.since_question_s(question_at),
                MARK_FIELD: subscription.known.at,
                LEASE_FIELD: self._tell_lease(),
            },
        )

    def _may_answer(self, subscription, *, from_relay):
        if subscription.reads_store:
            return True
        return self._daemons.is_relay() and not from_relay

    async def _wait_for_change(self, subscription, body, until):
        """Wait for a change, but no longer than the daemon's copy is fresh.

        It ends without a change once the copy is known to be more recent.

        :param body: that of the call.
        :param until: a boot time.
        """
        while self._is_fresh(subscription) and not _has_news(subscription, body):
            now = self._clock.boot_time()
            remaining_s = min(until - now, subscription.remaining_freshness_s(now))
            if remaining_s <= 0:
                return
            try:
                async with self._clock.timeout(remaining_s):
                    await subscription.changed.wait()
            except TimeoutError:
                log.debug("nothing to relay", collection=subscription.collection)

    def _is_fresh(self, subscription):
        """Return whether this daemon's copy of a collection may be passed on."""
        return (
            bool(subscription.changes.revision)
            and subscription.unavailable_since is None
            and subscription.remaining_freshness_s(self._clock.boot_time()) > 0
        )

    def _shared_answer(self, subscription, since):
        """Return the changes since a revision as a `SharedAnswer`."""
        now = self._clock.time()
        if now >= subscription.answers_until:
            subscription.answers_by_since.clear()
            subscription.answers_until = now + SHARED_ANSWER_S
        key = (since, subscription.changes.revision)
        answer = subscription.answers_by_since.get(key)
        if answer is None:
            update = self._update_since(subscription, since)
            answer = subscription.answers_by_since[key] = SharedAnswer(dump(update))
        return answer

    def _update_since(self, subscription, since):
        changes, known = subscription.changes, subscription.known
        changed = changes.after(since)
        if changed is None:
            objects = changes.objects()
            return CollectionUpdate(True, (), objects, changes.revision, 0.0, known)
        return CollectionUpdate(False, changed, (), changes.revision, 0.0, known)


def _has_news(subscription, body):
    """Return whether there is something to answer to the call with ``body`` now."""
    if subscription.changes.after(body["since"]) != ():
        return True
    # Daemons of earlier releases return no mark.
    return MARK_FIELD in body and body[MARK_FIELD] != subscription.known.at
