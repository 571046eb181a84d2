"""Asks the other daemons directly, where gossip proves too little."""

import asyncio
import math

from logbook import Logger

from pimentogap.errors import PeerUnreachable, ResponseLost
from pimentogap.peers._entries import MemberStatus
from pimentogap.tickets import Reach

log = Logger("peers.polling")

STATUS_CALL = "peers.status"
INTENT_CALL = "peers.intent"
ASK_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 1.0
POLL_AFTER_S = 2.0
POLL_VALID_S = 3.0


class FleetPoll:
    """Knows who answered a direct question, and when it was asked."""

    __slots__ = ("_kernel", "_table", "_transport", "_asked_at", "_reach")

    def __init__(self, kernel, table, transport):
        self._kernel = kernel
        self._table = table
        self._transport = transport
        self._asked_at = -math.inf
        self._reach = Reach(1, 1)

    def handlers_by_service(self):
        """Return what answers the questions of other daemons."""
        return {STATUS_CALL: self._answer_status, INTENT_CALL: self._answer_intent}

    def reach(self):
        """Return the `Reach` that direct answers prove; stale ones prove nothing."""
        age_s = self._kernel.clock.time() - self._asked_at
        known = self._table.reach().known
        return self._reach if age_s <= POLL_VALID_S else Reach(known, 1)

    async def gather_majority(self, revision):
        """Tell the fleet that ``revision`` is about to be written.

        :return: whether more than half of the known daemons have noted it.
        """
        asked = [
            self._ask(member, INTENT_CALL, {"revision": revision})
            for member in self._others()
        ]
        known = self._table.reach().known
        noted = 1
        if Reach(known, noted).majority:
            return True
        for answer in asyncio.as_completed(asked):
            noted += await answer is not None
            if Reach(known, noted).majority:
                return True
        return False

    async def run(self):
        """Ask every daemon while the store does not confirm the revision.

        A daemon without a configuration may trust the newest revision that more
        than half of the others know: every ticket in force is among theirs. One
        with a configuration learns whether half of the fleet is in reach, and
        whether any of it has heard of a newer ticket.
        """
        configuration = self._kernel.get("configuration")
        while True:
            jitter = self._kernel.random.uniform(0.5, 1.0)
            await self._kernel.clock.sleep(POLL_INTERVAL_S * jitter)
            if (
                not configuration.loaded
                or configuration.confirmed_age() >= POLL_AFTER_S
            ):
                await self._poll(configuration)

    async def _poll(self, configuration):
        asked_at = self._kernel.clock.time()
        answers = await asyncio.gather(
            *(self._ask(member, STATUS_CALL, {}) for member in self._others())
        )
        known = self._table.reach().known
        heard = [answer for answer in answers if answer is not None]
        for answer in heard:
            configuration.heard(answer["newest_heard"])
        self._asked_at = asked_at
        self._reach = Reach(known, 1 + len(heard))
        loaded = [answer["newest_heard"] for answer in heard if answer["loaded"]]
        if loaded and len(loaded) * 2 > known - 1:
            configuration.trust_from(max(loaded))

    def _others(self):
        return [
            member
            for member in self._table.members_by_id.values()
            if member.id != self._table.own_id and member.status != MemberStatus.LEFT
        ]

    async def _ask(self, member, service, body):
        """Return the plain answer of a daemon, or ``None`` if there is none."""
        try:
            return await self._transport.call(
                member.peer_address, service, body, timeout_s=ASK_TIMEOUT_S
            )
        except (PeerUnreachable, ResponseLost) as error:
            log.debug("{} does not answer {}: {}", member.id, service, error)
            return None

    async def _answer_status(self, body):
        configuration = self._kernel.get("configuration")
        return {
            "newest_heard": configuration.newest_heard,
            "loaded": configuration.loaded,
        }

    async def _answer_intent(self, body):
        self._kernel.get("configuration").heard(body["revision"])
        return {}
