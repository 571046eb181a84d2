"""Leader election by a lease object in the platform's store."""

import asyncio
import math

from logbook import Logger

from pimentogap.errors import StoreError
from pimentogap.kernel import RestartOnError
from pimentogap.schema import read_count
from pimentogap.store import Conflict, Put, Revision, Stored, Written

log = Logger("formation.lease")

COLLECTION = "leases"
OBJECT = "formation"
LEASE_DURATION_S = 2.6
RENEW_INTERVAL_S = 0.8
CANDIDATE_POLL_INTERVAL_S = 0.6
STANDBY_POLL_INTERVAL_S = 4.0
# The leader is not taken to be silent any sooner: a renewal and its way here take this
# long.
MIN_SILENCE_S = 1.6
# The holder stops acting on the lease this long before another daemon may
# acquire it.
EXPIRY_MARGIN_S = 0.6
WRITE_RETRY_LIMIT_S = 1.0
# Terms of an era of the store are above all of the eras before.
TERMS_PER_ERA = 1_000_000


class SeenLease:
    """The lease object as it was when this daemon last saw it change.

    ``seen_at`` is in seconds of the runtime's clock.
    """

    __slots__ = ("holder", "term", "address", "version", "seen_at")

    def __init__(self, value, version, seen_at):
        """Read the lease in ``value``, of which odd fields are left out."""
        fields = value if isinstance(value, dict) else {}
        self.holder = _text(fields.get("holder"))
        self.term = _term(fields.get("term"))
        self.address = _text(fields.get("address"))
        self.version = version
        self.seen_at = seen_at

    def has_expired(self, now):
        """Return whether its holder cannot hold it any more, whoever that is."""
        return now - self.seen_at >= LEASE_DURATION_S


def _text(value):
    return value if isinstance(value, str) else ""


def _term(value):
    try:
        return read_count(value)
    except ValueError:
        return 0


class LeaseService:
    """Competes for the lease, renews it, and tells whether this daemon holds it.

    The ``term`` grows with each change of the holder and serves as the fencing
    number of orders. The clocks of different daemons are never compared: other
    daemons wait for a full lease duration after they saw the last renewal, and the
    holder counts the duration from before it sent the renewal, on a clock that
    goes on while the VM is suspended.

    A store that came back from an older copy may show an older lease, of another holder
    or with a lower term. Terms of a new era are above all before, so that none is given
    out twice; whoever held the lease when the store went back takes it again at once.
    To any other daemon a lease that is released, missing, or its own of an earlier
    start counts as free only when the store is settled.
    """

    name = "lease"
    requires = ("store", "daemons", "settling")
    __slots__ = (
        "_id",
        "_address",
        "_kernel",
        "_store",
        "_settling",
        "_seen",
        "_held_until",
        "_competing",
        "_highest_term",
        "_heard_at",
        "term",
        "is_first",
    )

    def __init__(self, daemon_id, address):
        """Create the candidate of this daemon.

        :param address: where other daemons reach this one, stored in the lease.
        """
        self._id = daemon_id
        self._address = address
        self._kernel = None
        self._store = None
        self._settling = None
        self._seen = None
        self._held_until = 0.0
        self._competing = None
        self._highest_term = 0
        self._heard_at = -math.inf
        self.term = 0
        self.is_first = False

    async def start(self, kernel):
        """Start the task that acquires and renews the lease."""
        self._kernel = kernel
        self._store = kernel.get("store")
        self._settling = kernel.get("settling")
        self._competing = kernel.spawn(
            self.name, self._compete, on_error=RestartOnError()
        )

    async def stop(self):
        """Release the lease, so that a successor need not wait for its expiry."""
        # It would take the lease again while this one is released.
        self._competing.cancel()
        await asyncio.wait([self._competing])
        if not self.is_held():
            return
        self._held_until = 0.0
        outcome = await self._release(self._seen.version)
        match outcome:
            case Conflict(Stored() as current) if self._is_own(current):
                # A renewal that was under way came first.
                outcome = await self._release(current.version)
        log.notice("lease released", term=self.term, outcome=type(outcome).__name__)

    async def _release(self, version):
        value = {"holder": "", "term": self.term}
        call = Put(COLLECTION, OBJECT, value, version)
        return await self._store.write(call, retry_for_s=WRITE_RETRY_LIMIT_S)

    def _is_own(self, stored):
        return self._seen_lease(stored).holder == self._id

    def is_held(self):
        """Return whether this daemon holds the lease and may send orders now."""
        return self._kernel.clock.boot_time() < self._held_until

    @property
    def leader_address(self):
        """Return the address where the leader accepts calls, or "" if none is known."""
        return self._seen.address if self._seen is not None else ""

    def tell(self):
        """Return the lease as this daemon knows it, for `hear`; ``None`` if unknown."""
        seen = self._seen
        if seen is None:
            return None
        return [seen.holder, seen.term, seen.address, seen.version]

    def hear(self, told):
        """Note the lease that another daemon has told, if it is newer than known.

        It was in the store before it was told, so it expires here no earlier than if
        this daemon had read it.
        """
        try:
            holder, term, address, version = told
            version = Revision.read(version)
        except (TypeError, ValueError) as error:
            log.warning("told lease not readable", error=repr(error))
            return
        if self._seen is None or version <= self._seen.version:
            return
        value = {"holder": holder, "term": term, "address": address}
        self._record_seen(SeenLease(value, version, self._kernel.clock.time()))
        self._heard_at = self._kernel.clock.time()

    async def _compete(self):
        clock = self._kernel.clock
        while True:
            try:
                if self.is_held():
                    await self._renew()
                else:
                    await self._acquire_if_free()
            except StoreError as error:
                log.warning("lease not reachable", error=str(error))
            await self._pause(clock)

    def doubt(self):
        """Read the lease soon, since its holder can't be reached."""
        self._heard_at = -math.inf

    async def _pause(self, clock):
        """Wait until the lease is to be renewed or read again."""
        began_at = clock.time()
        while True:
            held = self.is_held()
            interval_s = RENEW_INTERVAL_S if held else CANDIDATE_POLL_INTERVAL_S
            await clock.sleep(interval_s * self._kernel.random.uniform(0.85, 1.15))
            if held or self._must_read(clock.time(), began_at):
                return

    def _must_read(self, now, read_at):
        """Return whether this daemon is to read a lease that another one holds.

        Relays read it often, by which they know how long the store has answered, and
        vouch for that to others. Other daemons, to spare the store, read it only while
        nobody tells them of renewals, and rarely unless they are candidates.

        :param read_at: the time of the last read.
        """
        daemons = self._kernel.get("daemons")
        if daemons.is_relay():
            return True
        silence_s = now - self._heard_at
        if daemons.is_candidate():
            return silence_s >= MIN_SILENCE_S
        return min(silence_s, now - read_at) >= STANDBY_POLL_INTERVAL_S

    async def _acquire_if_free(self):
        seen = await self._read()
        if seen is not None and seen.has_expired(self._kernel.clock.time()):
            await self._acquire(seen.version, seen.term)
            return
        if not self._seems_free(seen):
            return
        if not self._settling.is_settled():
            await self._settling.wait()
            seen = await self._read()
            # The store may have come back from a copy during the wait.
            if not self._seems_free(seen) or not self._settling.is_settled():
                return
        if seen is None:
            await self._acquire(0, 0)
        else:
            await self._acquire(seen.version, seen.term)

    async def _read(self):
        """Return the `SeenLease` that the store has now, or ``None``."""
        stored = await self._store.get(COLLECTION, OBJECT, stale=True)
        if stored is None:
            stored = await self._store.get(COLLECTION, OBJECT)
        if stored is None:
            return None
        if self._seen is None or self._seen.version < stored.version:
            self._record_seen(self._seen_lease(stored))
        return self._seen

    def _seems_free(self, seen):
        """Return whether no other daemon holds ``seen``, if it is no older copy."""
        return seen is None or seen.holder in ("", self._id)

    async def _acquire(self, version, term):
        """Write the lease with the first term that nobody can have had.

        :param term: the term in the store.
        """
        least_term = self._store.era * TERMS_PER_ERA
        newer_term = max(term, self._highest_term, least_term) + 1
        if await self._write(version, newer_term):
            self.term = newer_term
            self.is_first = not version
            log.notice("lease acquired", term=self.term, rev=self._seen.version)

    async def _renew(self):
        known = self._seen
        if await self._write(known.version, self.term):
            return
        log.warning("lease not renewed", term=self.term)
        if self._is_copy_of_earlier(known):
            await self._acquire(self._seen.version, self._seen.term)

    def _is_copy_of_earlier(self, known):
        """Return whether the lease in the store is older than ``known``, a `SeenLease`.

        A daemon that acquired it since the store went back has a higher term.
        """
        if self._store.era <= Revision(known.version).era:
            return False
        if self._seen is None:
            # The copy is from before the first lease.
            self._seen = SeenLease({}, Revision(0), known.seen_at)
        return self._seen.term <= known.term

    async def _write(self, version, term):
        sent_at = self._kernel.clock.boot_time()
        value = {
            "holder": self._id,
            "term": term,
            "address": self._address,
            # Changes with each renewal, so that other daemons see a new revision.
            "renewal": round(sent_at, 3),
        }
        call = Put(COLLECTION, OBJECT, value, version)
        match await self._store.write(call, retry_for_s=WRITE_RETRY_LIMIT_S):
            case Written(revision):
                now = self._kernel.clock.time()
                self._record_seen(SeenLease(value, revision, now))
                if term <= Revision(revision).era * TERMS_PER_ERA:
                    # The store went back since the term was chosen.
                    self._held_until = 0.0
                    return False
                self._held_until = sent_at + LEASE_DURATION_S - EXPIRY_MARGIN_S
                return True
            case Conflict(current):
                self._held_until = 0.0
                self._record_seen(self._seen_lease(current))
                return False
        return False

    def _record_seen(self, seen):
        self._seen = seen
        if seen is not None:
            self._highest_term = max(self._highest_term, seen.term)

    def _seen_lease(self, current):
        if current is None:
            return None
        now = self._kernel.clock.time()
        return SeenLease(current.value, current.version, now)
