"""The service that holds the configuration and takes tickets."""

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
from pimentogap.tickets._freshness import CURRENT_LIMIT_S, Current, Reach, judge
from pimentogap.tickets._log import SNAPSHOT_EVERY_TICKETS, TICKETS, TicketLog
from pimentogap.tickets._outcomes import Accepted, NotAccepted, OutcomeUnknown
from pimentogap.tickets._ticket import load_accepted

log = Logger("tickets")

WATCH_WAIT_S = 1.0
SNAPSHOT_CHECK_S = 0.5
RECENT_TICKETS = 500
INTENT_LIFETIME_S = 10.0


class ConfigurationService:
    """Keeps the newest configuration that the daemon has learned.

    Tickets arrive from three sides: operators submit them here, the store's
    watch shows those of other daemons, and peers pass them on. Whatever the
    side, a ticket is applied once, in the order of its number.
    """

    name = "configuration"
    requires = ("store",)
    __slots__ = (
        "current",
        "recent_by_number",
        "applied_at_by_number",
        "loaded",
        "newest_heard",
        "_heard_at",
        "_kernel",
        "_log",
        "_confirmed_at",
        "_subscribers",
        "_submitting",
    )

    def __init__(self):
        self.current = Configuration()
        self.recent_by_number = {}
        self.applied_at_by_number = {}
        self.loaded = False
        self.newest_heard = 0
        self._heard_at = -math.inf
        self._kernel = None
        self._log = None
        self._confirmed_at = -math.inf
        self._subscribers = []
        self._submitting = asyncio.Lock()

    async def start(self, kernel):
        """Load from the store if it answers, and follow it from then on."""
        self._kernel = kernel
        self._log = TicketLog(kernel.get("store"))
        try:
            await self.load_from_store()
        except StoreError as error:
            log.warning("the configuration is not loaded from the store: {}", error)
        kernel.spawn(self.name, self._follow_store, on_error=RestartOnError())
        kernel.spawn(self.name, self._keep_snapshots, on_error=RestartOnError())

    async def stop(self):
        """Do nothing; the tasks are cancelled by the kernel."""

    def subscribe(self, callback):
        """Call ``callback(accepted)`` after each ticket that is applied.

        A configuration that was adopted whole is announced by ``None``.
        """
        self._subscribers.append(callback)

    def freshness(self):
        """Return how far the configuration may be trusted to be the newest."""
        peers = self._kernel.find("peers")
        return judge(
            loaded=self.loaded,
            age_s=self.confirmed_age(),
            reach=peers.polled_reach() if peers is not None else Reach(1, 1),
            behind=self.newest_heard > self.current.revision,
        )

    def confirmed_age(self):
        """Return the seconds since the store confirmed the revision."""
        return self._kernel.clock.time() - self._confirmed_at

    def confirm(self, confirmed_at, revision):
        """Note that at ``confirmed_at`` the store's newest ticket was ``revision``."""
        if revision > self.current.revision:
            return
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        if self.confirmed_age() <= CURRENT_LIMIT_S:
            self.loaded = True
        if confirmed_at > self._heard_at + INTENT_LIFETIME_S:
            self.newest_heard = self.current.revision

    def heard(self, revision):
        """Note that ticket ``revision`` was accepted, or is about to be."""
        if revision > self.newest_heard:
            self.newest_heard = revision
            self._heard_at = self._kernel.clock.time()

    def trust_from(self, revision):
        """Trust the configuration once it has reached ``revision``."""
        if self.current.revision >= revision:
            self.loaded = True

    def learn(self, accepted):
        """Apply ``accepted`` if it is the next; return whether it was."""
        if accepted.number != self.current.revision + 1:
            return False
        self.current.apply(accepted)
        self._remember(accepted)
        log.info(
            "ticket {} by {} is applied: {}",
            accepted.number,
            accepted.ticket.header.author,
            accepted.ticket.header.reason,
        )
        self._announce(accepted)
        return True

    def adopt(self, configuration):
        """Replace the configuration by a newer one; return whether it was newer."""
        if configuration.revision <= self.current.revision:
            return False
        self.current = configuration
        self._announce(None)
        return True

    async def load_from_store(self):
        """Learn everything that the store holds.

        :raises StoreUnavailable: if it does not answer.
        """
        asked_at = self._kernel.clock.time()
        if self.current.revision == 0:
            self.adopt(await self._log.load())
        await self._read_newer()
        self.confirm(asked_at, self.current.revision)

    async def submit(self, ticket):
        """Have ``ticket`` accepted, or return why not.

        :return: `Accepted`, `AlreadyAccepted`, `Outdated`, `Invalid`,
            `NotAccepted` or `OutcomeUnknown`.
        """
        async with self._submitting:
            try:
                return await self._submit(ticket)
            except StoreUnavailable as error:
                return NotAccepted(str(error))

    async def read_ticket(self, number):
        """Return the accepted ticket ``number``, or ``None``."""
        accepted = self.recent_by_number.get(number)
        return accepted or await self._log.read(number)

    async def _submit(self, ticket):
        clock = self._kernel.clock
        while True:
            await self._read_newer()
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
                    self.learn(decision.accepted)
                    return Accepted(decision.accepted.number)
                case Conflict(current) if current is not None:
                    self.learn(load_accepted(current.value))
                case Conflict():
                    continue
                case NotWritten():
                    return NotAccepted("the store does not answer")
                case Unsettled():
                    return OutcomeUnknown(decision.accepted.number)

    async def _announce_intent(self, number):
        """Have more than half of the fleet note ``number`` before it is written.

        A daemon that cannot ask the store serves only while half of the fleet
        is in reach and none of it has heard of a newer ticket, so none can go
        on with an older configuration once this has succeeded.
        """
        self.heard(number)
        peers = self._kernel.find("peers")
        return peers is None or await peers.gather_majority(number)

    async def _read_newer(self):
        while True:
            accepted = await self._log.read(self.current.revision + 1)
            if accepted is None:
                return
            self.learn(accepted)

    async def _follow_store(self):
        await follow_collection(
            self._kernel.clock, self._watch_once, is_wanted=self._is_watcher
        )

    async def _watch_once(self, revision):
        store = self._kernel.get("store")
        asked_at = self._kernel.clock.time()
        if revision is None:
            page = await store.watch(TICKETS, 2**52, 0.0)
            revision = page.revision
            await self.load_from_store()
            return revision
        page = await store.watch(TICKETS, revision, WATCH_WAIT_S)
        for stored in page.items:
            if stored.value is not None:
                self.learn(load_accepted(stored.value))
        newest = max((_number(s) for s in page.items if s.value is not None), default=0)
        if newest > self.current.revision:
            await self._read_newer()
        self.confirm(asked_at, max(newest, self.current.revision))
        return page.revision

    def _is_watcher(self):
        peers = self._kernel.find("peers")
        if peers is None or peers.is_watcher():
            return True
        return not isinstance(self.freshness(), Current)

    async def _keep_snapshots(self):
        written = self.current.revision
        while True:
            await self._kernel.clock.sleep(SNAPSHOT_CHECK_S)
            due = self.current.revision >= written + SNAPSHOT_EVERY_TICKETS
            if due and self._is_watcher():
                written = self.current.revision
                await self._log.write_snapshot(self.current)
                await self._log.compact()

    def _announce(self, accepted):
        self.heard(self.current.revision)
        now = self._kernel.clock.wall()
        self.applied_at_by_number[self.current.revision] = now
        while len(self.applied_at_by_number) > RECENT_TICKETS:
            del self.applied_at_by_number[next(iter(self.applied_at_by_number))]
        for callback in self._subscribers:
            callback(accepted)

    def _remember(self, accepted):
        self.recent_by_number[accepted.number] = accepted
        while len(self.recent_by_number) > RECENT_TICKETS:
            del self.recent_by_number[next(iter(self.recent_by_number))]


def _number(stored):
    return int(stored.name)
