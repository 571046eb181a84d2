"""The service that keeps collections up to date from the store or from a relay."""

import asyncio
import math
from dataclasses import replace

from logbook import Logger

from pimentogap.errors import (
    CopyNotFresh,
    PeerUnreachable,
    ResponseLost,
    StoreError,
    WatchCompacted,
)
from pimentogap.kernel import RestartOnError
from pimentogap.relay._answering import (
    KNOWN_FIELD,
    LEASE_FIELD,
    MARK_FIELD,
    ChangesAnswerer,
)
from pimentogap.relay._changes import CollectionUpdate, load
from pimentogap.relay._contact import REREGISTRATION_S
from pimentogap.relay._freshness import ANSWER_SLACK_S, FRESHNESS_SLACK_S, KnownAt
from pimentogap.relay._subscription import (
    CATCH_UP_WAIT_S,
    WATCH_WAIT_S,
    Subscription,
)
from pimentogap.store import Revision

log = Logger("relay")

# The call has another name wherever revisions are encoded in another way, so that
# daemons of two releases read the store and not each other.
CHANGES_CALL = "collection_updates"
# Pause between two reads, so that changes close together cost a single call.
BATCH_INTERVAL_S = 0.3
LEADER_BATCH_INTERVAL_S = 0.15
# A change of the daemons that is noticed late does no harm.
DAEMONS_WATCH_WAIT_S = 15.0
# Longest wait for a change at another daemon, and of collections whose copies may be
# old. It ends before the daemon's own copy is too old.
MAX_RELAY_WAIT_S = 2.5
# An answer at once takes up to this long.
MIN_RELAY_TIMEOUT_S = 0.5
# A whole collection takes longer than changes, on a link that others use as well.
RELAY_SNAPSHOT_TIMEOUT_S = 4.0
# How much longer than its answer a call may take because no connection opens.
CONNECT_SLACK_S = 0.05
# A copy this much older than the end of a pause is as recent as what other daemons
# that read the store pass on.
MAX_NEWS_AGE_S = WATCH_WAIT_S + FRESHNESS_SLACK_S
# A relay that failed is not asked again for this long.
RELAY_COOLDOWN_S = 5.0
# The same for one that had nothing fresh: it answers at once, and may have again after
# the store's next answer.
STALE_RELAY_COOLDOWN_S = 2.0
RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 0.5
# At the first start of the fleet, all daemons register within this time, and only then
# can any of them tell who the relays are.
REGISTRATION_S = 0.6
REGISTRATION_SPREAD_S = 0.3
# A daemon that has just started asks relays for its first copy of a collection until
# then, and afterwards the store.
BOOTSTRAP_LIMIT_S = 2.5
BOOTSTRAP_RETRY_S = 0.05
# In a fleet no larger than this, daemons that start again read the store at once:
# callers wait for them, and their calls are few.
MAX_DIRECT_STARTS = 20


class RelayService:
    """Keeps collections of the store up to date for the daemon's other services.

    The leader reads the store. A few daemons of each availability zone, the relays,
    ask the leader, and every other daemon asks a relay. When the one that it asks
    fails, a daemon reads the store; a relay goes on with that for a while, any other
    daemon reads once, hardly waiting, and then asks the next relay. Revisions are the
    store's whatever the source, and an update older than the daemon's copy is
    ignored. Only a daemon that reads the store itself answers a relay, so no two wait
    for each other.
    """

    name = "relay"
    requires = ("store", "calls", "daemons", "store_contact")
    __slots__ = (
        "_kernel",
        "_store",
        "_contact",
        "_calls",
        "_daemons",
        "_subscriptions_by_collection",
        "_is_first_start",
        "_started_at",
        "_daemons_listed",
        "_news_needed_since",
        "_unreachable_until_by_address",
    )

    def __init__(self, *, first_start=False):
        """Create the service.

        :param first_start: whether the whole fleet starts for the first time.
        """
        self._is_first_start = first_start
        self._started_at = 0.0
        self._daemons_listed = asyncio.Event()
        self._news_needed_since = -math.inf
        self._unreachable_until_by_address = {}
        self._kernel = None
        self._store = None
        self._contact = None
        self._calls = None
        self._daemons = None
        self._subscriptions_by_collection = {}

    async def start(self, kernel):
        """Register the call by which other daemons read changes."""
        self._kernel = kernel
        self._store = kernel.get("store")
        self._contact = kernel.get("store_contact")
        self._calls = kernel.get("calls")
        self._daemons = kernel.get("daemons")
        answerer = ChangesAnswerer(
            kernel.clock,
            self._daemons,
            self._subscriptions_by_collection,
            max_wait_s=MAX_RELAY_WAIT_S,
            tell_lease=self._tell_lease,
        )
        self._calls.register(CHANGES_CALL, answerer.answer)
        self._started_at = kernel.clock.time()
        self.follow(
            self._daemons.collection,
            self._apply_daemons,
            watch_wait_s=DAEMONS_WATCH_WAIT_S,
        )

    async def stop(self):
        """Do nothing; the kernel cancels the tasks."""

    def follow(self, collection, apply, *, watch_wait_s=WATCH_WAIT_S):
        """Call ``apply`` with each `CollectionUpdate` of ``collection`` from now on.

        :param watch_wait_s: the longest wait of a watch, in seconds.
        """
        subscription = Subscription(collection, apply, watch_wait_s)
        self._subscriptions_by_collection[collection] = subscription
        self._kernel.spawn(
            self.name, self._follow, subscription, on_error=RestartOnError()
        )

    def require_news(self, since):
        """Read each collection again without waiting, as of ``since`` or later."""
        self._news_needed_since = since

    def has_news(self, collection, since):
        """Return whether the copy of ``collection`` is about as recent as ``since``.

        :param since: seconds of the boot time.
        """
        known = self._subscriptions_by_collection[collection].known
        return known.at >= since - MAX_NEWS_AGE_S

    def _may_wait(self, subscription):
        """Return whether a read may wait for a change."""
        return (
            subscription.unavailable_since is None
            and subscription.asked_at > self._news_needed_since
        )

    def _lacks_news(self, subscription):
        """Return whether a relay was asked for news and had none recent enough."""
        return self._may_wait(subscription) and not self.has_news(
            subscription.collection, self._news_needed_since
        )

    def _apply_daemons(self, update):
        self._daemons.apply(update)
        self._daemons_listed.set()

    async def _follow(self, subscription):
        clock = self._kernel.clock
        delay_s = RETRY_DELAY_S
        revision = None
        while True:
            try:
                began_at = self._now()
                update = await self._read(subscription, revision)
                update = await self._with_store_contact(subscription, update)
                revision = update.revision
                subscription.asked_at = began_at
                subscription.store_answers_since = clock.time() - update.store_contact_s
                self._apply(subscription, update)
                delay_s = RETRY_DELAY_S
                await self._pause_between_reads(subscription, update, began_at)
            except WatchCompacted:
                log.info(
                    "watch history compacted",
                    collection=subscription.collection,
                    rev=revision,
                )
                revision = None
            except StoreError as error:
                self._record_unavailable(subscription, error)
                if self._store.is_in_doubt():
                    await self._store.wait_while_refusing()
                else:
                    await clock.sleep(delay_s * self._kernel.random.uniform(0.7, 1.3))
                    delay_s = min(MAX_RETRY_DELAY_S, delay_s * 1.5)

    async def _pause_between_reads(self, subscription, update, began_at):
        """Let changes that come close together be read by one call."""
        clock = self._kernel.clock
        interval_s = LEADER_BATCH_INTERVAL_S if self._is_leader() else BATCH_INTERVAL_S
        now = self._now()
        if not update.has_news and now - began_at >= interval_s:
            return
        if subscription.reads_store:
            fresh_s = subscription.remaining_freshness_s(now) - FRESHNESS_SLACK_S / 2
            interval_s = min(interval_s, max(CATCH_UP_WAIT_S, fresh_s))
        await clock.sleep(interval_s)

    async def _read(self, subscription, revision):
        """Return the next `CollectionUpdate`, from a relay or else from the store."""
        if not subscription.changes.revision and self._bootstrap_remaining_s() > 0:
            return await self._read_first(subscription)
        address = self._choose_relay(subscription)
        may_wait = self._may_wait(subscription)
        if address is not None and subscription.reads_store:
            # The copy from the store must not stop being fresh meanwhile.
            may_wait = False
        subscription.reads_store = address is None
        while address is not None:
            try:
                return await self._read_relay(
                    address, subscription, revision, may_wait=may_wait
                )
            except (PeerUnreachable, ResponseLost) as error:
                self._drop_relay(subscription, address, revision, error)
                may_wait = False
            # A store that fails is tried last.
            in_doubt = self._store.is_in_doubt()
            address = self._choose_relay(subscription) if in_doubt else None
        wait_s = CATCH_UP_WAIT_S
        if may_wait:
            wait_s = subscription.next_watch_wait_s(self._now())
        return await self._read_store(subscription.collection, revision, wait_s)

    async def _read_first(self, subscription):
        """Return the whole collection for a daemon that has just started.

        If every daemon read it from the store, a start of the whole fleet would cost
        as many calls as it has daemons, times the pages of the collection.
        """
        clock = self._kernel.clock
        if subscription.collection == self._daemons.collection:
            return await self._read_daemons_first()
        try:
            async with clock.timeout(self._bootstrap_remaining_s()):
                await self._daemons_listed.wait()
                while not self._reads_first_copy_from_store():
                    for address in self._daemons.relay_addresses():
                        try:
                            return await self._read_relay(
                                address, subscription, None, may_wait=False
                            )
                        except (PeerUnreachable, ResponseLost) as error:
                            log.debug("relay has no copy yet", error=str(error))
                    await clock.sleep(BOOTSTRAP_RETRY_S)
        except TimeoutError:
            log.info("no relay has a copy", collection=subscription.collection)
        subscription.reads_store = True
        return await self._read_store(subscription.collection, None, CATCH_UP_WAIT_S)

    def _bootstrap_remaining_s(self):
        return self._started_at + BOOTSTRAP_LIMIT_S - self._kernel.clock.time()

    def _reads_first_copy_from_store(self):
        starts_again = not self._is_first_start
        return (
            self._daemons.is_relay()
            or self._is_leader()
            or (starts_again and self._daemons.count <= MAX_DIRECT_STARTS)
        )

    async def _read_daemons_first(self):
        if self._is_first_start:
            spread_s = REGISTRATION_SPREAD_S * self._kernel.random.random()
            registered_at = self._started_at + REGISTRATION_S + spread_s
            remaining_s = registered_at - self._kernel.clock.time()
            await self._kernel.clock.sleep(max(0.0, remaining_s))
        # After a restart of the fleet the list is seconds old at worst, and complete.
        stale = not self._is_first_start
        collection = self._daemons.collection
        asked_at = self._now()
        objects, revision = await self._store.list(collection, stale=stale)
        known = KnownAt(collection) if stale else KnownAt.by_list(collection, asked_at)
        contact_s = self._store.answering_s()
        return CollectionUpdate(True, (), tuple(objects), revision, contact_s, known)

    def _drop_relay(self, subscription, address, revision, error):
        """Leave a failed relay out for a while; the store is read in its place."""
        log.info(
            "relay failed",
            relay=address,
            collection=subscription.collection,
            rev=revision,
            error=str(error),
        )
        cooldown_s = RELAY_COOLDOWN_S
        if isinstance(error, CopyNotFresh):
            cooldown_s = STALE_RELAY_COOLDOWN_S
        cooldown_until = self._kernel.clock.time() + cooldown_s
        subscription.cooldown_until_by_relay[address] = cooldown_until
        lease = self._kernel.find("lease")
        if lease is not None and lease.leader_address == address:
            lease.doubt()
        if isinstance(error, PeerUnreachable):
            # So it is for the other collections, which then need not read the store.
            self._unreachable_until_by_address[address] = cooldown_until
            departures = self._kernel.find("departures")
            if departures is not None:
                departures.suspect(address)
        subscription.reads_store = True

    async def _read_store(self, collection, revision, wait_s):
        asked_at = self._now()
        if revision is None:
            objects, revision = await self._store.list(collection)
            known = KnownAt.by_list(collection, asked_at)
            contact_s = self._store.answering_s()
            return CollectionUpdate(
                True, (), tuple(objects), revision, contact_s, known
            )
        page = await self._store.watch(collection, revision, wait_s)
        known = KnownAt.by_watch(
            collection,
            asked_at,
            wait_s,
            self._now(),
            has_changes=bool(page.items),
        )
        contact_s = self._store.answering_s()
        return CollectionUpdate(False, page.items, (), page.revision, contact_s, known)

    async def _with_store_contact(self, subscription, update):
        """Return ``update`` with the longest time for which the store has answered.

        Other daemons are asked only about a removal that may be an entry's expiry.
        """
        era = Revision(update.revision).era
        contact_s = max(update.store_contact_s, self._contact.own_s(era))
        if contact_s >= REREGISTRATION_S or not subscription.changes.removes(update):
            return replace(update, store_contact_s=contact_s)
        began_at = self._kernel.clock.time()
        opinion = await self._contact.ask_others(era)
        contact_s += self._kernel.clock.time() - began_at
        return replace(
            update,
            store_contact_s=max(contact_s, opinion.longest_s),
            outage_confirmed=opinion.confirms_outage,
        )

    async def _read_relay(self, address, subscription, revision, *, may_wait):
        """Return the `CollectionUpdate` since ``revision`` from another daemon.

        :raises CopyNotFresh: if the copies there and here are too old.
        """
        asked_at = self._now()
        wait_s = CATCH_UP_WAIT_S
        if may_wait:
            trust_s = self._remaining_trust_s(subscription, subscription.known)
            wait_s = min(MAX_RELAY_WAIT_S, max(wait_s, trust_s))
        timeout_s = max(MIN_RELAY_TIMEOUT_S, wait_s + ANSWER_SLACK_S)
        if revision is None:
            timeout_s = RELAY_SNAPSHOT_TIMEOUT_S
        marked_address, mark = subscription.source_mark
        body = {
            "collection": subscription.collection,
            "since": revision,
            "from_relay": self._daemons.is_relay(),
            "wait_s": wait_s,
            MARK_FIELD: mark if address == marked_address else None,
        }
        answer = await self._call_relay(address, body, timeout_s)
        if not answer:
            raise CopyNotFresh(f"{address} has nothing fresh to relay")
        subscription.source_mark = (address, answer.get(MARK_FIELD))
        self._hear_lease(answer.get(LEASE_FIELD))
        update = self._load_answer(address, subscription, answer, asked_at)
        if revision is None:
            return update
        if self._is_too_old(subscription, update.known):
            raise CopyNotFresh(f"the copy of {address} is too old")
        if update.revision < revision:
            # Its last read of the store was earlier than the one that this daemon's
            # copy comes from. The revision grows with changes of other collections
            # too, so it need not miss anything.
            return replace(
                update, is_snapshot=False, changes=(), objects=(), revision=revision
            )
        return update

    def _tell_lease(self):
        lease = self._kernel.find("lease")
        return lease.tell() if lease is not None else None

    def _hear_lease(self, told):
        lease = self._kernel.find("lease")
        if lease is not None and told is not None:
            lease.hear(told)

    def _load_answer(self, address, subscription, answer, asked_at):
        """Return the `CollectionUpdate` in a daemon's answer.

        :raises ResponseLost: if it is malformed.
        """
        try:
            known = KnownAt(subscription.collection)
            # Relays of earlier releases do not say; their answers are not passed on.
            if KNOWN_FIELD in answer:
                since_question_s = float(answer[KNOWN_FIELD])
                known = KnownAt.by_relay(
                    subscription.collection, asked_at, since_question_s, self._now()
                )
            return load(answer, known)
        except (KeyError, TypeError, ValueError) as error:
            raise ResponseLost(f"{address} gave a malformed answer: {error!r}")

    async def _call_relay(self, address, body, timeout_s):
        """Return the answer of another daemon, to which a connection may not open."""
        try:
            async with self._kernel.clock.timeout(timeout_s + CONNECT_SLACK_S):
                return await self._calls.call(
                    address, CHANGES_CALL, body, timeout_s=timeout_s
                )
        except TimeoutError:
            raise PeerUnreachable(f"no connection to {address} in {timeout_s:.2f} s")

    def _remaining_trust_s(self, subscription, known):
        """Return for how long another daemon may yet be asked in place of the store.

        :param known: the `KnownAt` of this daemon's copy.
        """
        asks_leader = self._daemons.is_relay()
        max_age_s = subscription.max_age_s(is_relayed=not asks_leader)
        return max_age_s - known.age_s(self._now())

    def _is_too_old(self, subscription, known):
        """Return whether the copy is too old even with what ``known`` vouches for.

        Relays of earlier releases do not say how recent their copies are.
        """
        if known.at == -math.inf:
            return False
        newest = known.latest(subscription.known)
        return self._remaining_trust_s(subscription, newest) <= 0

    def _apply(self, subscription, update):
        if subscription.unavailable_since is not None:
            away_s = round(
                self._kernel.clock.time() - subscription.unavailable_since, 3
            )
            log.notice(
                "collection caught up",
                collection=subscription.collection,
                away_s=away_s,
            )
            subscription.unavailable_since = None
        known = subscription.known
        subscription.record_known(update, self._now())
        if update.revision < subscription.changes.revision:
            log.warning(
                "older update ignored",
                collection=subscription.collection,
                rev=update.revision,
                known=subscription.changes.revision,
                whole=update.is_snapshot,
            )
            return
        if update.is_snapshot or update.changes:
            subscription.changes.apply(update)
            subscription.apply(update)
        else:
            subscription.changes.revision = update.revision
        if update.has_news or subscription.known != known:
            subscription.wake()

    def _record_unavailable(self, subscription, error):
        if subscription.unavailable_since is None:
            subscription.unavailable_since = self._kernel.clock.time()
            log.warning(
                "collection unavailable",
                collection=subscription.collection,
                error=str(error),
            )

    def _now(self):
        return self._kernel.clock.boot_time()

    def _is_leader(self):
        lease = self._kernel.find("lease")
        return lease is not None and lease.is_held()

    def _choose_relay(self, subscription):
        """Return the address of the daemon to ask, or ``None`` to read the store."""
        if self._is_leader() or self._lacks_news(subscription):
            return None
        now = self._kernel.clock.time()
        for address in self._addresses_to_ask():
            cooldown_until = max(
                subscription.cooldown_until_by_relay.get(address, 0.0),
                self._unreachable_until_by_address.get(address, 0.0),
            )
            if now >= cooldown_until:
                return address
        return None

    def _addresses_to_ask(self):
        if not self._daemons.is_relay():
            return self._daemons.relay_addresses()
        lease = self._kernel.find("lease")
        leader_address = lease.leader_address if lease is not None else ""
        if leader_address in ("", self._calls.address):
            return ()
        return (leader_address,)
