"""The service that holds the configuration and accepts tickets."""

import asyncio
import math

from logbook import Logger

from pimentogap.errors import StoreError, StoreUnavailable
from pimentogap.kernel import RestartOnError
from pimentogap.store import (
    Conflict,
    NotWritten,
    Unsettled,
    Written,
    follow_collection,
)
from pimentogap.tickets._configuration import Configuration
from pimentogap.tickets._decide import Accept, decide
from pimentogap.tickets._freshness import (
    CURRENT_LIMIT_S,
    Current,
    Reach,
    assess_freshness,
)
from pimentogap.tickets._log import SNAPSHOT_INTERVAL_TICKETS, TICKETS, TicketLog
from pimentogap.tickets._outcomes import Accepted, NotAccepted, OutcomeUnknown
from pimentogap.tickets._ticket import load_accepted

log = Logger("tickets")

WATCH_WAIT_S = 1.0
SNAPSHOT_CHECK_INTERVAL_S = 0.5
MAX_RECENT_TICKETS = 500
# An announced ticket is disregarded if the store still lacks it this long after the
# announcement.
INTENT_LIFETIME_S = 10.0


class ConfigurationService:
    """Keeps the newest configuration that is known to the daemon.

    Tickets arrive in three ways: operators submit them to this daemon, a watch of
    the store returns those that other daemons accepted, and peers pass them on.
    However it arrives, a ticket is applied once, in the order of the numbers.
    """

    name = "configuration"
    requires = ("store",)
    __slots__ = (
        "current",
        "recent_by_number",
        "applied_at_by_number",
        "loaded",
        "newest_heard",
        "_newest_heard_at",
        "_kernel",
        "_log",
        "_confirmed_at",
        "_subscribers",
        "_submit_lock",
    )

    def __init__(self):
        self.current = Configuration()
        self.recent_by_number = {}
        self.applied_at_by_number = {}
        self.loaded = False
        self.newest_heard = 0
        self._newest_heard_at = -math.inf
        self._kernel = None
        self._log = None
        self._confirmed_at = -math.inf
        self._subscribers = []
        self._submit_lock = asyncio.Lock()

    async def start(self, kernel):
        """Load the configuration if the store answers, and follow the store."""
        self._kernel = kernel
        self._log = TicketLog(kernel.get("store"))
        try:
            await self.load_from_store()
        except StoreError as error:
            log.warning("the configuration is not loaded from the store: {}", error)
        kernel.spawn(self.name, self._follow_store, on_error=RestartOnError())
        kernel.spawn(self.name, self._write_snapshots, on_error=RestartOnError())

    async def stop(self):
        """Do nothing; the kernel cancels the tasks."""

    def subscribe(self, callback):
        """Call ``callback(accepted)`` after each ticket that is applied.

        ``accepted`` is ``None`` if the configuration was replaced as a whole.
        """
        self._subscribers.append(callback)

    def freshness(self):
        """Return the `Current`, `StoreOutage`, `Isolated` or `Unknown` that applies."""
        peers = self._kernel.find("peers")
        return assess_freshness(
            is_loaded=self.loaded,
            age_s=self.confirmation_age_s(),
            reach=peers.polled_reach() if peers is not None else Reach(1, 1),
            is_behind=self.newest_heard > self.current.revision,
        )

    def confirmation_age_s(self):
        """Return the seconds since the store last confirmed the revision."""
        return self._kernel.clock.time() - self._confirmed_at

    def confirm(self, confirmed_at, revision):
        """Record that the store's newest ticket was ``revision`` at ``confirmed_at``.

        :param confirmed_at: a time of the runtime's clock in seconds.
        :param revision: the number of that ticket; nothing is recorded if this
            daemon does not have it yet.
        """
        if revision > self.current.revision:
            return
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        if self.confirmation_age_s() <= CURRENT_LIMIT_S:
            self.loaded = True
        if confirmed_at > self._newest_heard_at + INTENT_LIFETIME_S:
            self.newest_heard = self.current.revision

    def record_announced_revision(self, revision):
        """Record that ticket ``revision`` was accepted, or is about to be."""
        if revision > self.newest_heard:
            self.newest_heard = revision
            self._newest_heard_at = self._kernel.clock.time()

    def mark_loaded_at(self, revision):
        """Mark the configuration as loaded if it has reached ``revision``."""
        if self.current.revision >= revision:
            self.loaded = True

    def apply_next(self, accepted):
        """Apply ``accepted`` if it is the next ticket, and return whether it was."""
        if accepted.number != self.current.revision + 1:
            return False
        self.current.apply(accepted)
        self._remember_ticket(accepted)
        log.info(
            "ticket {} by {} is applied: {}",
            accepted.number,
            accepted.ticket.header.author,
            accepted.ticket.header.reason,
        )
        self._publish_applied(accepted)
        return True

    def adopt(self, configuration):
        """Adopt ``configuration`` if it is newer, and return whether it was."""
        if configuration.revision <= self.current.revision:
            return False
        self.current = configuration
        self._publish_applied(None)
        return True

    async def load_from_store(self):
        """Apply all tickets that the store holds and confirm the revision.

        :raises StoreUnavailable: if the store does not answer.
        """
        asked_at = self._kernel.clock.time()
        if self.current.revision == 0:
            self.adopt(await self._log.load())
        await self._apply_newer()
        self.confirm(asked_at, self.current.revision)

    async def submit(self, ticket):
        """Submit ``ticket`` and return the outcome.

        :return: `Accepted`, `AlreadyAccepted`, `Outdated`, `Invalid`,
            `NotAccepted` or `OutcomeUnknown`.
        """
        async with self._submit_lock:
            try:
                return await self._submit(ticket)
            except StoreUnavailable as error:
                return NotAccepted(str(error))

    async def read_ticket(self, number):
        """Return the `AcceptedTicket` ``number``, or ``None`` if there is none."""
        accepted = self.recent_by_number.get(number)
        return accepted or await self._log.read(number)

    async def _submit(self, ticket):
        clock = self._kernel.clock
        while True:
            await self._apply_newer()
            fleet = self._kernel.find("fleet")
            vms_by_id = fleet.vms_by_id if fleet is not None else {}
            decision = decide(
                self.current, ticket, accepted_at=clock.wall(), vms_by_id=vms_by_id
            )
            if not isinstance(decision, Accept):
                return decision
            if not await self._announce_intent(decision.accepted.number):
                return NotAccepted("the majority of the daemons is not in reach")
            match await self._log.append(decision.accepted):
                case Written():
                    self.apply_next(decision.accepted)
                    return Accepted(decision.accepted.number)
                case Conflict(current) if current is not None:
                    self.apply_next(load_accepted(current.value))
                case Conflict():
                    continue
                case NotWritten():
                    return NotAccepted("the store does not answer")
                case Unsettled():
                    return OutcomeUnknown(decision.accepted.number)

    async def _announce_intent(self, number):
        """Announce ticket ``number`` to the fleet before it is written.

        A daemon that cannot reach the store serves only while half of the fleet is
        in reach and no newer ticket was announced to any of it. Once more than half
        has recorded ``number``, no such daemon can go on serving an older
        configuration.

        :return: whether more than half of the fleet has recorded it.
        """
        self.record_announced_revision(number)
        peers = self._kernel.find("peers")
        return peers is None or await peers.announce_revision(number)

    async def _apply_newer(self):
        while True:
            accepted = await self._log.read(self.current.revision + 1)
            if accepted is None:
                return
            self.apply_next(accepted)

    async def _follow_store(self):
        await follow_collection(
            self._kernel.clock, self._watch_once, is_wanted=self._is_watcher
        )

    async def _watch_once(self, revision):
        store = self._kernel.get("store")
        asked_at = self._kernel.clock.time()
        if revision is None:
            # A watch from a revision far ahead returns the store's own revision.
            page = await store.watch(TICKETS, 2**52, 0.0)
            revision = page.revision
            await self.load_from_store()
            return revision
        page = await store.watch(TICKETS, revision, WATCH_WAIT_S)
        for stored in page.items:
            if stored.value is not None:
                self.apply_next(load_accepted(stored.value))
        newest = max(
            (_ticket_number(s) for s in page.items if s.value is not None), default=0
        )
        if newest > self.current.revision:
            await self._apply_newer()
        self.confirm(asked_at, max(newest, self.current.revision))
        return page.revision

    def _is_watcher(self):
        """Return whether this daemon watches the store itself.

        Each availability zone has watchers; any other daemon watches while its
        revision is not confirmed.
        """
        peers = self._kernel.find("peers")
        if peers is None or peers.is_watcher():
            return True
        return not isinstance(self.freshness(), Current)

    async def _write_snapshots(self):
        written = self.current.revision
        while True:
            await self._kernel.clock.sleep(SNAPSHOT_CHECK_INTERVAL_S)
            due = self.current.revision >= written + SNAPSHOT_INTERVAL_TICKETS
            if due and self._is_watcher():
                written = self.current.revision
                await self._log.write_snapshot(self.current)
                await self._log.compact()

    def _publish_applied(self, accepted):
        self.record_announced_revision(self.current.revision)
        now = self._kernel.clock.wall()
        self.applied_at_by_number[self.current.revision] = now
        while len(self.applied_at_by_number) > MAX_RECENT_TICKETS:
            del self.applied_at_by_number[next(iter(self.applied_at_by_number))]
        for callback in self._subscribers:
            callback(accepted)

    def _remember_ticket(self, accepted):
        self.recent_by_number[accepted.number] = accepted
        while len(self.recent_by_number) > MAX_RECENT_TICKETS:
            del self.recent_by_number[next(iter(self.recent_by_number))]


def _ticket_number(stored):
    return int(stored.name)
