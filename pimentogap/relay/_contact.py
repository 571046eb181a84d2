"""The service that tells for how long the store has answered."""

import asyncio
import math

from logbook import Logger

from pimentogap.errors import PeerUnreachable, ResponseLost

log = Logger("relay.contact")

CONTACT_CALL = "store_contact"
CONTACT_TIMEOUT_S = 0.25
# Daemons that are asked at once, the leader and the relays first, since they call the
# store all the time.
MAX_ASKED = 8
# What others have told is believed this long, so that several collections ask once.
ANSWER_LIFETIME_S = 0.5
# Entries of live backend servers that expired while the store was away are written
# again within this time after its return is noticed. A backend server that has left
# serves on for 2 s, so its removal can't be put off for longer.
REREGISTRATION_S = 1.8


class StoreContactService:
    """Tells for how long the store has answered, to this daemon or to any other.

    A daemon that was cut off from the store cannot know whether the store was away,
    and entries have expired only if it was. A daemon that the store has answered all
    the while proves that it was not.
    """

    name = "store_contact"
    requires = ("store", "calls", "daemons")
    __slots__ = (
        "_kernel",
        "_store",
        "_calls",
        "_daemons",
        "_lock",
        "_told_era",
        "_told_since",
        "_told_until",
    )

    def __init__(self):
        self._kernel = None
        self._store = None
        self._calls = None
        self._daemons = None
        self._lock = asyncio.Lock()
        self._told_era = 0
        self._told_since = math.inf
        self._told_until = -math.inf

    async def start(self, kernel):
        """Register the call by which other daemons ask."""
        self._kernel = kernel
        self._store = kernel.get("store")
        self._calls = kernel.get("calls")
        self._daemons = kernel.get("daemons")
        self._calls.register(CONTACT_CALL, self._answer_contact)

    async def stop(self):
        """Do nothing; the service has no task."""

    def own_s(self, era):
        """Return for how long the store has answered this daemon, in seconds.

        :param era: the era of the data in question; 0 is returned if the store has not
            answered this daemon in it.
        """
        return self._store.answering_s() if self._store.era == era else 0.0

    async def others_s(self, era):
        """Ask other daemons, and return the longest time that one of them tells."""
        async with self._lock:
            now = self._kernel.clock.time()
            if now >= self._told_until or self._told_era != era:
                told_s = await self._ask_others(era)
                now = self._kernel.clock.time()
                self._told_era = era
                self._told_since = now - told_s
                self._told_until = now + ANSWER_LIFETIME_S
            return now - self._told_since

    async def _ask_others(self, era):
        asked = [
            asyncio.ensure_future(self._ask(address, era))
            for address in self._addresses_to_ask()
        ]
        longest_s = 0.0
        try:
            for answer in asyncio.as_completed(asked):
                longest_s = max(longest_s, await answer)
                if longest_s >= REREGISTRATION_S:
                    break
        finally:
            for task in asked:
                task.cancel()
        log.info("others asked about the store", count=len(asked), told_s=longest_s)
        return longest_s

    def _addresses_to_ask(self):
        lease = self._kernel.find("lease")
        leader_address = lease.leader_address if lease is not None else ""
        others = sorted(self._daemons.addresses_by_id.values())
        self._kernel.random.shuffle(others)
        relays = self._daemons.all_relay_addresses
        addresses = dict.fromkeys((leader_address, *relays, *others))
        own = ("", self._calls.address)
        return [address for address in addresses if address not in own][:MAX_ASKED]

    async def _ask(self, address, era):
        try:
            async with self._kernel.clock.timeout(CONTACT_TIMEOUT_S):
                answer = await self._calls.call(
                    address, CONTACT_CALL, {}, timeout_s=CONTACT_TIMEOUT_S
                )
            told_s = float(answer["answering_s"]) if answer["era"] == era else 0.0
        except (PeerUnreachable, ResponseLost, TimeoutError) as error:
            log.debug("daemon does not answer", daemon=address, error=repr(error))
            return 0.0
        except (KeyError, TypeError, ValueError) as error:
            log.warning("answer not readable", daemon=address, error=repr(error))
            return 0.0
        return told_s if 0.0 <= told_s < math.inf else 0.0

    async def _answer_contact(self, body):
        return {"era": self._store.era, "answering_s": self._store.answering_s()}
