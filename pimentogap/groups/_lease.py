"""A lease with a fencing number, kept as an object in the platform's store."""

from logbook import Logger

from pimentogap.errors import StoreError
from pimentogap.store import Put, Written

log = Logger("groups.lease")

LEASES = "leases"
LEASE_DURATION_S = 6.0
EXPIRY_MARGIN_S = 1.0
RENEW_INTERVAL_S = 2.0
WRITE_RETRY_LIMIT_S = 1.5


class Lease:
    """Acquires, renews and releases one lease object.

    The holder counts the duration from before the write that renewed the lease,
    less a margin; a successor waits the full duration after it last saw the
    object change. The clocks of the two are never compared. ``fence`` is the
    fencing number, which grows with each acquisition.
    """

    __slots__ = (
        "object_name",
        "holder",
        "fence",
        "_clock",
        "_store",
        "_id",
        "_version",
        "_valid_until",
        "_seen_version",
        "_seen_at",
    )

    def __init__(self, store, clock, *, object_name, own_id):
        """Create a candidate for the lease.

        :param object_name: the name of the lease object in the store.
        :param own_id: what identifies this daemon as the holder.
        """
        self.object_name = object_name
        self.holder = None
        self.fence = 0
        self._clock = clock
        self._store = store
        self._id = own_id
        self._version = 0
        self._valid_until = 0.0
        self._seen_version = None
        self._seen_at = 0.0

    def is_valid(self):
        """Return whether the lease is held, so that orders may be sent under it."""
        return self._clock.time() < self._valid_until

    async def renew_or_acquire(self):
        """Renew the lease if it is held, or acquire it if it is free or expired.

        :return: whether the lease is held afterwards.
        """
        try:
            if self.is_valid():
                await self._renew()
            else:
                await self._try_acquire()
        except StoreError as error:
            log.debug(
                "lease {} was not renewed or acquired: {}", self.object_name, error
            )
        return self.is_valid()

    async def release(self):
        """Release the lease, so that a successor need not wait for its expiry.

        :raises StoreError: if the store does not answer.
        """
        if not self.is_valid():
            return
        self._valid_until = 0.0
        value = {"holder": "", "fence": self.fence}
        await self._write(value)

    async def _renew(self):
        started_at = self._clock.time()
        if await self._write({"holder": self._id, "fence": self.fence}):
            self._valid_until = started_at + LEASE_DURATION_S - EXPIRY_MARGIN_S

    async def _try_acquire(self):
        stored = await self._store.get(LEASES, self.object_name)
        now = self._clock.time()
        version = stored.version if stored else 0
        self.holder = stored.value["holder"] if stored else ""
        if version != self._seen_version:
            self._seen_version, self._seen_at = version, now
        expired = now - self._seen_at >= LEASE_DURATION_S
        if self.holder not in ("", self._id) and not expired:
            return
        fence = stored.value["fence"] + 1 if stored else 1
        self._version = version
        if await self._write({"holder": self._id, "fence": fence}):
            self.fence = fence
            self.holder = self._id
            self._valid_until = now + LEASE_DURATION_S - EXPIRY_MARGIN_S
            log.notice(
                "lease {} acquired with fencing number {}", self.object_name, fence
            )

    async def _write(self, value):
        put = Put(LEASES, self.object_name, value, self._version)
        match await self._store.write(put, retry_for_s=WRITE_RETRY_LIMIT_S):
            case Written(version):
                self._version = version
                return True
        return False
