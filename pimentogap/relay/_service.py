"""The service that follows collections, from the store or from another daemon."""

import asyncio

from logbook import Logger

from pimentogap.errors import (
    PeerUnreachable,
    ResponseLost,
    StoreError,
    WatchCompacted,
)
from pimentogap.kernel import RestartOnError
from pimentogap.relay._changes import ChangeLog, Followed, dump, load

log = Logger("relay")

CALL = "changes"
# Changes within this time of each other cost one call instead of several.
BATCH_S = 0.3
LEADER_BATCH_S = 0.15
# A watch that the store took and forgot is found after it.
WATCH_WAIT_S = 1.5
# While the store does not answer, reads hardly wait: the first one that gets
# through brings the daemon up to date, well within the 3 s that the platform allows.
CATCH_UP_WAIT_S = 0.05
# How long a relay waits for a change; a silent relay is found after it.
RELAY_WAIT_S = 1.0
RELAY_TIMEOUT_S = 1.6
# A relay that had no answer from the store for this long passes nothing on.
VOUCH_S = 1.4
# A relay that failed is not asked again for this long.
RELAY_REST_S = 5.0
RETRY_DELAY_S = 0.25
RETRY_LIMIT_S = 0.5


class Following:
    """One collection that is followed: what is known, and where it comes from."""

    __slots__ = (
        "collection",
        "apply",
        "changes",
        "changed",
        "lost_at",
        "rests_until_by_relay",
        "reads_store",
    )

    def __init__(self, collection, apply):
        self.collection = collection
        self.apply = apply
        self.changes = ChangeLog()
        self.changed = asyncio.Event()
        self.lost_at = None
        self.rests_until_by_relay = {}
        self.reads_store = False


class RelayService:
    """Follows collections for the daemon's other services.

    A few daemons of each availability zone read the store, and the leader
    besides; all others ask one of these. When it fails, they read the store once,
    without another wait, and go on with the next one. Revisions
    are the store's wherever they come from, and nothing older than what was
    known is taken.
    """

    name = "relay"
    requires = ("store", "calls", "daemons")
    __slots__ = ("_kernel", "_store", "_calls", "_daemons", "_following_by_collection")

    def __init__(self):
        self._kernel = None
        self._store = None
        self._calls = None
        self._daemons = None
        self._following_by_collection = {}

    async def start(self, kernel):
        """Begin to answer other daemons."""
        self._kernel = kernel
        self._store = kernel.get("store")
        self._calls = kernel.get("calls")
        self._daemons = kernel.get("daemons")
        self._calls.register(CALL, self._answer)

    async def stop(self):
        """Do nothing; the kernel ends the tasks."""

    def follow(self, collection, apply):
        """Call ``apply`` with each `Followed` of ``collection`` from now on."""
        following = Following(collection, apply)
        self._following_by_collection[collection] = following
        self._kernel.spawn(
            self.name, self._follow, following, on_error=RestartOnError()
        )

    async def _follow(self, following):
        clock = self._kernel.clock
        delay_s = RETRY_DELAY_S
        revision = None
        while True:
            try:
                followed = await self._read(following, revision)
                revision = followed.revision
                self._take(following, followed)
                delay_s = RETRY_DELAY_S
                await clock.sleep(LEADER_BATCH_S if self._leads() else BATCH_S)
            except WatchCompacted:
                log.info("history gone", collection=following.collection, rev=revision)
                revision = None
            except StoreError as error:
                self._note_lost(following, error)
                await clock.sleep(delay_s * self._kernel.random.uniform(0.7, 1.3))
                delay_s = min(RETRY_LIMIT_S, delay_s * 1.5)

    async def _read(self, following, revision):
        """Return the next `Followed`, from a relay if one is to be asked."""
        address = self._relay_for(following)
        following.reads_store = address is None
        waits = following.lost_at is None
        if address is not None:
            try:
                return await self._ask(address, following.collection, revision)
            except (PeerUnreachable, ResponseLost) as error:
                self._leave_relay(following, address, revision, error)
                waits = False
        wait_s = WATCH_WAIT_S if waits else CATCH_UP_WAIT_S
        return await self._read_store(following.collection, revision, wait_s)

    def _leave_relay(self, following, address, revision, error):
        log.info(
            "relay left",
            relay=address,
            collection=following.collection,
            rev=revision,
            error=str(error),
        )
        rests_until = self._kernel.clock.time() + RELAY_REST_S
        following.rests_until_by_relay[address] = rests_until
        following.reads_store = True

    async def _read_store(self, collection, revision, wait_s):
        if revision is None:
            objects, revision = await self._store.list(collection)
            return Followed(True, (), tuple(objects), revision, self._regained_s())
        page = await self._store.watch(collection, revision, wait_s)
        return Followed(False, page.items, (), page.revision, self._regained_s())

    async def _ask(self, address, collection, revision):
        body = {"collection": collection, "since": revision}
        answer = await self._calls.call(address, CALL, body, timeout_s=RELAY_TIMEOUT_S)
        try:
            followed = load(answer)
        except (KeyError, TypeError, ValueError) as error:
            raise ResponseLost(f"{address} does not relay: {error!r}")
        if revision is not None and followed.revision < revision:
            raise ResponseLost(f"{address} is behind, at {followed.revision}")
        return followed

    def _take(self, following, followed):
        if following.lost_at is not None:
            away_s = round(self._kernel.clock.time() - following.lost_at, 3)
            log.notice("followed again", collection=following.collection, away_s=away_s)
            following.lost_at = None
        if followed.revision < following.changes.revision:
            return
        if followed.whole or followed.changes:
            following.changes.apply(followed)
            following.apply(followed)
            following.changed.set()
            following.changed = asyncio.Event()
        else:
            following.changes.revision = followed.revision

    def _note_lost(self, following, error):
        if following.lost_at is None:
            following.lost_at = self._kernel.clock.time()
            log.warning(
                "not followed", collection=following.collection, error=str(error)
            )

    async def _answer(self, body):
        """Answer another daemon with the changes since a revision.

        Only what is read from the store is passed on: two daemons that each
        took the other for a relay would wait for each other.
        """
        following = self._following_by_collection.get(body.get("collection"))
        if following is None or following.lost_at is not None:
            return {}
        if not following.reads_store or self._vouches_for_s() <= 0:
            return {}
        changes = following.changes
        if not changes.revision:
            return {}
        since = body.get("since")
        if since is not None and not changes.after(since):
            wait_s = min(RELAY_WAIT_S, self._vouches_for_s())
            try:
                async with self._kernel.clock.timeout(wait_s):
                    await following.changed.wait()
            except TimeoutError:
                log.debug("nothing to relay", collection=following.collection)
            if self._vouches_for_s() <= 0:
                return {}
        return dump(self._since(changes, since))

    def _since(self, changes, since):
        known = changes.after(since)
        if known is None:
            return Followed(
                True, (), changes.objects(), changes.revision, self._regained_s()
            )
        return Followed(False, known, (), changes.revision, self._regained_s())

    def _vouches_for_s(self):
        """Return how much longer this daemon may speak for the store.

        A waiting watch does not show that the store is out of reach; the lease's
        looks do, which a relay makes every second.
        """
        answered_at = self._store.last_answer_at
        if answered_at is None:
            return 0.0
        return answered_at + VOUCH_S - self._kernel.clock.time()

    def _regained_s(self):
        return self._kernel.clock.time() - self._store.regained_at

    def _leads(self):
        lease = self._kernel.find("lease")
        return lease is not None and lease.is_held()

    def _relay_for(self, following):
        """Return the address of the relay to ask, or ``None`` for the store."""
        if self._leads():
            return None
        now = self._kernel.clock.time()
        resting = following.rests_until_by_relay
        for address in self._daemons.relay_addresses():
            if now >= resting.get(address, 0.0):
                return address
        return None
