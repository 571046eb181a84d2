"""The service that keeps collections up to date from the store or from a relay."""

import asyncio
import math
from dataclasses import replace

from logbook import Logger

from pimentogap.calls import SharedAnswer
from pimentogap.errors import (
    PeerUnreachable,
    ResponseLost,
    StoreError,
    WatchCompacted,
)
from pimentogap.kernel import RestartOnError
from pimentogap.relay._changes import ChangeLog, CollectionUpdate, dump, load
from pimentogap.relay._contact import REREGISTRATION_S
from pimentogap.store import Revision

log = Logger("relay")

# The call had another name as long as revisions had no era.
CHANGES_CALL = "collection_changes"
# Pause between two reads, so that changes close together cost a single call.
BATCH_INTERVAL_S = 0.3
LEADER_BATCH_INTERVAL_S = 0.15
# Longest wait of a watch; it bounds how long a watch that the store accepted but
# lost goes unnoticed.
WATCH_WAIT_S = 1.5
# A change of the daemons that is noticed late does no harm.
DAEMONS_WATCH_WAIT_S = 10.0
# After a failure a watch hardly waits: the first one that the store answers brings
# the daemon up to date, well within the 3 s that the platform allows.
CATCH_UP_WAIT_S = 0.05
# Longest wait of a relay for a change; it bounds how long a silent relay goes
# unnoticed. Relays ask the leader more often, since daemons wait for them in turn.
RELAY_WAIT_S = 1.0
RELAY_TIMEOUT_S = 1.6
LEADER_WAIT_S = 0.5
LEADER_TIMEOUT_S = 0.9
# A whole collection takes longer than changes, on a link that others use as well.
RELAY_SNAPSHOT_TIMEOUT_S = 4.0
# Daemons that ask within this time for the changes since the same revision get the
# same answer, so that it is encoded once.
SHARED_ANSWER_S = 0.3
# A relay passes nothing on if its last answer from the store is older than this.
FRESHNESS_LIMIT_S = 1.4
# A relay that failed is not asked again for this long.
RELAY_COOLDOWN_S = 5.0
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


class Subscription:
    """A collection that the daemon follows, with its contents and its source."""

    __slots__ = (
        "collection",
        "apply",
        "changes",
        "changed",
        "unavailable_since",
        "cooldown_until_by_relay",
        "reads_store",
        "confirmed_at",
        "read_began_at",
        "store_answers_since",
        "watch_wait_s",
        "answers_by_since",
        "answers_until",
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
        self.confirmed_at = -math.inf
        self.read_began_at = -math.inf
        self.store_answers_since = math.inf
        self.answers_by_since = {}
        self.answers_until = 0.0


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
    )

    def __init__(self, *, first_start=False):
        """Create the service.

        :param first_start: whether the whole fleet starts for the first time.
        """
        self._is_first_start = first_start
        self._started_at = 0.0
        self._daemons_listed = asyncio.Event()
        self._news_needed_since = -math.inf
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
        self._calls.register(CHANGES_CALL, self._answer_changes)
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
        """Return whether ``collection`` was read by a call that began after ``since``.

        :param since: seconds of the runtime's clock.
        """
        return self._subscriptions_by_collection[collection].read_began_at > since

    def _may_wait(self, subscription):
        """Return whether a read may wait for a change."""
        return (
            subscription.unavailable_since is None
            and subscription.read_began_at > self._news_needed_since
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
                began_at = clock.time()
                update = await self._read(subscription, revision)
                update = await self._with_store_contact(subscription, update)
                revision = update.revision
                subscription.confirmed_at = clock.time()
                subscription.read_began_at = began_at
                subscription.store_answers_since = clock.time() - update.store_contact_s
                self._apply(subscription, update)
                delay_s = RETRY_DELAY_S
                await clock.sleep(
                    LEADER_BATCH_INTERVAL_S if self._is_leader() else BATCH_INTERVAL_S
                )
            except WatchCompacted:
                log.info(
                    "watch history compacted",
                    collection=subscription.collection,
                    rev=revision,
                )
                revision = None
            except StoreError as error:
                self._record_unavailable(subscription, error)
                await clock.sleep(delay_s * self._kernel.random.uniform(0.7, 1.3))
                delay_s = min(MAX_RETRY_DELAY_S, delay_s * 1.5)

    async def _read(self, subscription, revision):
        """Return the next `CollectionUpdate`, from a relay or else from the store."""
        if not subscription.changes.revision and self._bootstrap_remaining_s() > 0:
            return await self._read_first(subscription)
        address = self._choose_relay(subscription)
        subscription.reads_store = address is None
        may_wait = self._may_wait(subscription)
        if address is not None:
            try:
                return await self._read_relay(address, subscription, revision)
            except (PeerUnreachable, ResponseLost) as error:
                self._drop_relay(subscription, address, revision, error)
                may_wait = False
        wait_s = subscription.watch_wait_s if may_wait else CATCH_UP_WAIT_S
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
                            return await self._read_relay(address, subscription, None)
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
        objects, revision = await self._store.list(
            self._daemons.collection, stale=stale
        )
        contact_s = self._store.answering_s()
        return CollectionUpdate(True, (), tuple(objects), revision, contact_s)

    def _drop_relay(self, subscription, address, revision, error):
        """Leave a failed relay out for a while; the store is read in its place."""
        log.info(
            "relay failed",
            relay=address,
            collection=subscription.collection,
            rev=revision,
            error=str(error),
        )
        cooldown_until = self._kernel.clock.time() + RELAY_COOLDOWN_S
        subscription.cooldown_until_by_relay[address] = cooldown_until
        departures = self._kernel.find("departures")
        if departures is not None and isinstance(error, PeerUnreachable):
            departures.suspect(address)
        subscription.reads_store = True

    async def _read_store(self, collection, revision, wait_s):
        if revision is None:
            objects, revision = await self._store.list(collection)
            contact_s = self._store.answering_s()
            return CollectionUpdate(True, (), tuple(objects), revision, contact_s)
        page = await self._store.watch(collection, revision, wait_s)
        contact_s = self._store.answering_s()
        return CollectionUpdate(False, page.items, (), page.revision, contact_s)

    async def _with_store_contact(self, subscription, update):
        """Return ``update`` with the longest time for which the store has answered.

        Other daemons are asked only about a removal that may be an entry's expiry.
        """
        era = Revision(update.revision).era
        contact_s = max(update.store_contact_s, self._contact.own_s(era))
        if contact_s < REREGISTRATION_S and subscription.changes.removes(update):
            contact_s = max(contact_s, await self._contact.others_s(era))
        return replace(update, store_contact_s=contact_s)

    async def _read_relay(self, address, subscription, revision):
        is_relay = self._daemons.is_relay()
        body = {
            "collection": subscription.collection,
            "since": revision,
            "from_relay": is_relay,
            "wait_s": self._relay_wait_s(subscription),
        }
        if revision is None:
            timeout_s = RELAY_SNAPSHOT_TIMEOUT_S
        else:
            timeout_s = LEADER_TIMEOUT_S if is_relay else RELAY_TIMEOUT_S
        answer = await self._calls.call(
            address, CHANGES_CALL, body, timeout_s=timeout_s
        )
        try:
            update = load(answer)
        except (KeyError, TypeError, ValueError) as error:
            raise ResponseLost(
                f"{address} has nothing fresh to relay, or its answer is malformed: "
                f"{error!r}"
            )
        if revision is not None and update.revision < revision:
            # Its last read of the store was earlier than the one that this daemon's
            # copy comes from. The revision grows with changes of other collections
            # too, so it need not miss anything.
            return CollectionUpdate(False, (), (), revision, update.store_contact_s)
        return update

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
            subscription.changed.set()
            subscription.changed = asyncio.Event()
        else:
            subscription.changes.revision = update.revision

    def _record_unavailable(self, subscription, error):
        if subscription.unavailable_since is None:
            subscription.unavailable_since = self._kernel.clock.time()
            log.warning(
                "collection unavailable",
                collection=subscription.collection,
                error=str(error),
            )

    async def _answer_changes(self, body):
        """Return the changes since a revision, for another daemon.

        An empty answer makes the other daemon leave this one out for a while. It is
        given if this daemon has no fresh copy of the collection, and to a relay if
        this daemon does not read the collection from the store itself.
        """
        subscription = self._subscriptions_by_collection.get(body.get("collection"))
        if subscription is None or subscription.unavailable_since is not None:
            return {}
        if not self._may_answer(subscription, from_relay=bool(body.get("from_relay"))):
            return {}
        remaining_s = self._remaining_freshness_s(subscription)
        changes = subscription.changes
        if remaining_s <= 0 or not changes.revision:
            return {}
        since = body.get("since")
        if since is not None and not changes.after(since):
            wait_s = min(body.get("wait_s", RELAY_WAIT_S), RELAY_WAIT_S, remaining_s)
            try:
                async with self._kernel.clock.timeout(wait_s):
                    await subscription.changed.wait()
            except TimeoutError:
                log.debug("nothing to relay", collection=subscription.collection)
            if self._remaining_freshness_s(subscription) <= 0:
                return {}
        return self._shared_answer(subscription, since)

    def _relay_wait_s(self, subscription):
        if not self._may_wait(subscription):
            return CATCH_UP_WAIT_S
        return LEADER_WAIT_S if self._daemons.is_relay() else RELAY_WAIT_S

    def _may_answer(self, subscription, *, from_relay):
        if subscription.reads_store:
            return True
        return self._daemons.is_relay() and not from_relay

    def _shared_answer(self, subscription, since):
        """Return the changes since a revision as a `SharedAnswer`."""
        now = self._kernel.clock.time()
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
        changes = subscription.changes
        contact_s = self._kernel.clock.time() - subscription.store_answers_since
        known = changes.after(since)
        if known is None:
            objects = changes.objects()
            return CollectionUpdate(True, (), objects, changes.revision, contact_s)
        return CollectionUpdate(False, known, (), changes.revision, contact_s)

    def _remaining_freshness_s(self, subscription):
        """Return for how many seconds this daemon's data still counts as fresh.

        A pending watch does not show whether the store is out of reach; the
        reads of the lease do, which the leader and candidates make every second.
        """
        confirmed_at = subscription.confirmed_at
        if subscription.reads_store:
            confirmed_at = max(confirmed_at, self._store.last_answer_at)
        return confirmed_at + FRESHNESS_LIMIT_S - self._kernel.clock.time()

    def _is_leader(self):
        lease = self._kernel.find("lease")
        return lease is not None and lease.is_held()

    def _choose_relay(self, subscription):
        """Return the address of the daemon to ask, or ``None`` to read the store."""
        if self._is_leader():
            return None
        now = self._kernel.clock.time()
        cooldown_until_by_relay = subscription.cooldown_until_by_relay
        for address in self._addresses_to_ask():
            if now >= cooldown_until_by_relay.get(address, 0.0):
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
