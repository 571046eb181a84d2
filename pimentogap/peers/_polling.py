"""Calls the other daemons directly: gossip does not prove that a majority is up."""

import asyncio
import math

from logbook import Logger

from pimentogap.errors import PeerUnreachable, ResponseLost
from pimentogap.peers._entries import MemberStatus
from pimentogap.tickets import Reach

log = Logger("peers.polling")

STATUS_CALL = "peers.status"
INTENT_CALL = "peers.intent"
CALL_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 1.0
MAX_CONFIRMED_AGE_S = 2.0
POLL_VALIDITY_S = 3.0


class FleetPoll:
    """Polls all daemons and keeps the `Reach` of the last poll."""

    __slots__ = ("_kernel", "_table", "_transport", "_polled_at", "_reach")

    def __init__(self, kernel, table, transport):
        self._kernel = kernel
        self._table = table
        self._transport = transport
        self._polled_at = -math.inf
        self._reach = Reach(1, 1)

    def handlers_by_service(self):
        """Return the handlers for the calls of other daemons, by the call's name."""
        return {STATUS_CALL: self._answer_status, INTENT_CALL: self._answer_intent}

    def reach(self):
        """Return the `Reach` of the last poll, or only this daemon if that is stale."""
        age_s = self._kernel.clock.time() - self._polled_at
        known = self._table.reach().known
        return self._reach if age_s <= POLL_VALIDITY_S else Reach(known, 1)

    async def announce_revision(self, revision):
        """Announce to all daemons that ``revision`` is about to be written.

        :return: whether more than half of the known daemons, this one included,
            have acknowledged it.
        """
        calls = [
            self._call(member, INTENT_CALL, {"revision": revision})
            for member in self._other_members()
        ]
        known = self._table.reach().known
        acknowledged = 1
        if Reach(known, acknowledged).has_majority:
            return True
        for answer in asyncio.as_completed(calls):
            acknowledged += await answer is not None
            if Reach(known, acknowledged).has_majority:
                return True
        return False

    async def run(self):
        """Poll all daemons while the store does not confirm the revision.

        If more than half of the other daemons answer that they have loaded a
        configuration, a daemon that has not may trust the newest revision among
        their answers, since any such majority knows every ticket in force. A daemon
        that has loaded one learns whether half of the fleet is reachable, and
        whether any daemon knows of a newer ticket.
        """
        configuration = self._kernel.get("configuration")
        while True:
            jitter = self._kernel.random.uniform(0.5, 1.0)
            await self._kernel.clock.sleep(POLL_INTERVAL_S * jitter)
            if (
                not configuration.loaded
                or configuration.confirmation_age_s() >= MAX_CONFIRMED_AGE_S
            ):
                await self._poll(configuration)

    async def _poll(self, configuration):
        polled_at = self._kernel.clock.time()
        answers = await asyncio.gather(
            *(self._call(member, STATUS_CALL, {}) for member in self._other_members())
        )
        known = self._table.reach().known
        received = [answer for answer in answers if answer is not None]
        for answer in received:
            configuration.record_announced_revision(answer["newest_heard"])
        self._polled_at = polled_at
        self._reach = Reach(known, 1 + len(received))
        loaded_revisions = [
            answer["newest_heard"] for answer in received if answer["loaded"]
        ]
        if loaded_revisions and len(loaded_revisions) * 2 > known - 1:
            configuration.mark_loaded_at(max(loaded_revisions))

    def _other_members(self):
        return [
            member
            for member in self._table.members_by_id.values()
            if member.id != self._table.own_id and member.status != MemberStatus.LEFT
        ]

    async def _call(self, member, service, body):
        """Return the decoded answer of a daemon, or ``None`` if none arrived."""
        try:
            return await self._transport.call(
                member.peer_address, service, body, timeout_s=CALL_TIMEOUT_S
            )
        except (PeerUnreachable, ResponseLost) as error:
            log.debug(
                "daemon {} did not answer the call to {}: {}", member.id, service, error
            )
            return None

    async def _answer_status(self, body):
        configuration = self._kernel.get("configuration")
        return {
            "newest_heard": configuration.newest_heard,
            "loaded": configuration.loaded,
        }

    async def _answer_intent(self, body):
        self._kernel.get("configuration").record_announced_revision(body["revision"])
        return {}
