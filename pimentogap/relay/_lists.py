"""Lists that the leader keeps in the store and that every daemon follows."""

import asyncio

from logbook import Logger

from pimentogap.errors import InvalidDocument, PeerUnreachable, ResponseLost
from pimentogap.store import Conflict, Put, Written

log = Logger("relay.lists")

WRITE_RETRY_LIMIT_S = 1.0
# Pause between two writes, so that changes close together cost one.
WRITE_INTERVAL_S = 0.3
LEADER_CHECK_INTERVAL_S = 1.0
OFFER_TIMEOUT_S = 0.4


class LeaderList:
    """A list in one object of the store, written by the leader alone.

    A list has an ``order``, which every newer one exceeds. The store loses what the
    system wrote when it comes back from an older copy; the leader then writes its list
    again. It may have started since and know that of the copy alone, so the candidates
    for the lease send it theirs.
    """

    __slots__ = (
        "_kernel",
        "_collection",
        "_name",
        "_encode",
        "_decode",
        "_current",
        "_accept",
        "_version",
        "_stored_order",
        "_went_back",
        "_unwritten",
    )

    def __init__(
        self, kernel, *, collection, name, encode, decode, current, accept, empty
    ):
        """Keep the object ``name`` of ``collection``.

        :param encode: a function that returns a list as plain data.
        :param decode: its inverse; raises `InvalidDocument`.
        :param current: a function that returns the list in force at this daemon.
        :param accept: called with each newer list.
        :param empty: the list that no object stands for.
        """
        self._kernel = kernel
        self._collection = collection
        self._name = name
        self._encode = encode
        self._decode = decode
        self._current = current
        self._accept = accept
        self._version = 0
        self._stored_order = empty.order
        self._went_back = False
        self._unwritten = asyncio.Event()
        kernel.get("calls").register(self._offer_call, self._answer_offer)

    @property
    def _offer_call(self):
        return f"newer_list_{self._collection}"

    def apply_update(self, update):
        """Follow the object by a `CollectionUpdate` of its collection."""
        if not has_object(update, self._name):
            self._version = 0
            self._set_stored_order((0, 0))
            self._unwritten.set()
        stored = update.objects + tuple(
            change.stored for change in update.changes if not change.removed
        )
        for item in stored:
            if item.name == self._name:
                self._version = max(self._version, item.version)
                self._record_stored(item.value)

    def apply_document(self, document):
        """Accept a list as plain data if it is newer; return its order, if any."""
        try:
            newer = self._decode(document)
        except InvalidDocument as error:
            log.error(
                "list not readable",
                collection=self._collection,
                name=self._name,
                error=str(error),
            )
            return None
        if newer.order > self._current().order:
            self._accept(newer)
        return newer.order

    def request_write(self):
        """Write the list in force soon, if this daemon leads."""
        self._unwritten.set()

    async def write_lists(self):
        """Write each list that the store does not have, while this daemon leads."""
        clock = self._kernel.clock
        lease = self._kernel.get("lease")
        while True:
            try:
                async with clock.timeout(LEADER_CHECK_INTERVAL_S):
                    await self._unwritten.wait()
            except TimeoutError:
                # Whether this daemon has begun to lead is looked up below.
                pass
            self._unwritten.clear()
            current = self._current()
            if current.order <= self._stored_order:
                self._went_back = False
                continue
            if not lease.is_held():
                if self._went_back and self._kernel.get("daemons").is_candidate():
                    await self._offer(current, lease.leader_address)
                continue
            if not await self._write(current):
                self._unwritten.set()
            await clock.sleep(WRITE_INTERVAL_S)

    async def _offer(self, listed, address):
        """Send the list to the daemon at ``address``, which leads or will soon."""
        if not address:
            return
        body = {"list": self._encode(listed)}
        try:
            await self._kernel.get("calls").call(
                address, self._offer_call, body, timeout_s=OFFER_TIMEOUT_S
            )
        except (PeerUnreachable, ResponseLost) as error:
            log.debug("list not offered", leader=address, error=str(error))

    async def _answer_offer(self, body):
        self.apply_document(body.get("list"))
        self._unwritten.set()
        return {}

    def _set_stored_order(self, order):
        self._went_back = self._went_back or order < self._stored_order
        self._stored_order = order

    def _record_stored(self, document):
        self._set_stored_order(self.apply_document(document) or (0, 0))
        if self._stored_order < self._current().order:
            self._unwritten.set()

    async def _write(self, listed):
        """Return whether the store has this list or that of a later leader."""
        value = self._encode(listed)
        call = Put(self._collection, self._name, value, self._version)
        store = self._kernel.get("store")
        match await store.write(call, retry_for_s=WRITE_RETRY_LIMIT_S):
            case Written(version):
                self._version = max(self._version, version)
                self._stored_order = max(self._stored_order, listed.order)
                return True
            case Conflict(current):
                self._version = current.version if current is not None else 0
                if current is not None:
                    self._record_stored(current.value)
                return self._current().order > listed.order
        return False


def has_object(update, name):
    """Return ``False`` if ``update`` shows that there is no object called ``name``."""
    if update.is_snapshot:
        return any(stored.name == name for stored in update.objects)
    last = [change for change in update.changes if change.stored.name == name][-1:]
    return not any(change.removed for change in last)
