"""The lease that makes one daemon the leader, kept in the platform's store."""

from logbook import Logger

from pimentogap.errors import StoreError
from pimentogap.kernel import RestartOnError
from pimentogap.store import Conflict, Put, Written

log = Logger("formation.lease")

COLLECTION = "leases"
OBJECT = "formation"
LEASE_S = 2.6
RENEW_INTERVAL_S = 0.8
LOOK_INTERVAL_S = 0.6
STAND_BY_INTERVAL_S = 4.0
# The leader stops this much before others may take over.
MARGIN_S = 0.6
WRITE_GIVE_UP_S = 1.0


class Holding:
    """What a lease object said when it was last seen to change."""

    __slots__ = ("holder", "term", "address", "version", "seen_at")

    def __init__(self, value, version, seen_at):
        self.holder = value.get("holder", "")
        self.term = value.get("term", 0)
        self.address = value.get("address", "")
        self.version = version
        self.seen_at = seen_at


class LeaseService:
    """Competes for the lease, renews it, and says whether it is held.

    The ``term`` grows with each change of the holder and serves as the fencing
    token of orders. No clocks are compared: others wait for a full lease since
    they saw the last renewal, and the holder counts from before it asked, on a
    clock that goes on while the VM is suspended.
    """

    name = "lease"
    requires = ("store", "daemons")
    __slots__ = ("_id", "_address", "_kernel", "_store", "_seen", "_held_until", "term")

    def __init__(self, daemon_id, address):
        """Compete as ``daemon_id``, which other daemons reach at ``address``."""
        self._id = daemon_id
        self._address = address
        self._kernel = None
        self._store = None
        self._seen = None
        self._held_until = 0.0
        self.term = 0

    async def start(self, kernel):
        """Begin to compete."""
        self._kernel = kernel
        self._store = kernel.get("store")
        kernel.spawn(self.name, self._compete, on_error=RestartOnError())

    async def stop(self):
        """Let others take over at once."""
        if not self.is_held():
            return
        self._held_until = 0.0
        value = {"holder": "", "term": self.term}
        call = Put(COLLECTION, OBJECT, value, self._seen.version)
        await self._store.write(call, give_up_after_s=WRITE_GIVE_UP_S)
        log.notice("lease given up", term=self.term)

    def is_held(self):
        """Tell whether this daemon may give orders now."""
        return self._kernel.clock.boot_time() < self._held_until

    @property
    def leader_address(self):
        """Return where the leader accepts calls; empty while none is known."""
        return self._seen.address if self._seen is not None else ""

    async def _compete(self):
        clock = self._kernel.clock
        while True:
            try:
                if self.is_held():
                    await self._renew()
                else:
                    await self._look()
            except StoreError as error:
                log.warning("lease not reachable", error=str(error))
            held = self.is_held()
            interval_s = RENEW_INTERVAL_S if held else self._look_interval_s()
            await clock.sleep(interval_s * self._kernel.random.uniform(0.85, 1.15))

    def _look_interval_s(self):
        """Return how long to wait; few daemons compete, the others stand by."""
        competes = self._kernel.get("daemons").is_candidate()
        return LOOK_INTERVAL_S if competes else STAND_BY_INTERVAL_S

    async def _look(self):
        now = self._kernel.clock.time()
        stored = await self._store.get(COLLECTION, OBJECT, stale=True)
        if stored is None:
            stored = await self._store.get(COLLECTION, OBJECT)
        if stored is None:
            await self._take(0, 0)
            return
        seen = self._seen
        if seen is None or seen.version < stored.version:
            seen = self._seen = Holding(stored.value or {}, stored.version, now)
        if seen.holder in ("", self._id) or now - seen.seen_at >= LEASE_S:
            await self._take(seen.version, seen.term)

    async def _take(self, version, term):
        if await self._write(version, term + 1):
            self.term = term + 1
            log.notice("lease taken", term=self.term, rev=self._seen.version)

    async def _renew(self):
        if not await self._write(self._seen.version, self.term):
            log.warning("lease not renewed", term=self.term)

    async def _write(self, version, term):
        asked_at = self._kernel.clock.boot_time()
        value = {
            "holder": self._id,
            "term": term,
            "address": self._address,
            # Makes each renewal a change, which others see as a new revision.
            "renewal": round(asked_at, 3),
        }
        call = Put(COLLECTION, OBJECT, value, version)
        match await self._store.write(call, give_up_after_s=WRITE_GIVE_UP_S):
            case Written(revision):
                now = self._kernel.clock.time()
                self._seen = Holding(value, revision, now)
                self._held_until = asked_at + LEASE_S - MARGIN_S
                return True
            case Conflict(current):
                self._held_until = 0.0
                self._seen = self._holding(current)
                return False
        return False

    def _holding(self, current):
        if current is None:
            return None
        now = self._kernel.clock.time()
        return Holding(current.value or {}, current.version, now)
