"""The service that tells for how long the store has answered."""

import asyncio
import math
from dataclasses import dataclass, replace

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


@dataclass(frozen=True, slots=True)
class Opinion:
    """What other daemons have told about the store.

    ``longest_s`` is the longest time for which it has answered one of them. Of
    ``asked`` daemons ``witnesses`` have called the store lately and told so.
    """

    longest_s: float
    asked: int = 0
    witnesses: int = 0

    @property
    def confirms_outage(self):
        """Return whether most others call the store, and none got answers all along.

        Without that, the daemon that asks may have been cut off alone.
        """
        return self.longest_s < REREGISTRATION_S and 2 * self.witnesses > self.asked


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
        "_told",
        "_told_at",
    )

    def __init__(self):
        self._kernel = None
        self._store = None
        self._calls = None
        self._daemons = None
        self._lock = asyncio.Lock()
        self._told_era = 0
        self._told = Opinion(0.0)
        self._told_at = -math.inf

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

    async def ask_others(self, era):
        """Ask other daemons, and return their `Opinion`."""
        async with self._lock:
            age_s = self._kernel.clock.time() - self._told_at
            if age_s >= ANSWER_LIFETIME_S or self._told_era != era:
                self._told = await self._collect(era)
                self._told_era = era
                self._told_at = self._kernel.clock.time()
                age_s = 0.0
            longest_s = self._told.longest_s + age_s if self._told.longest_s else 0.0
            return replace(self._told, longest_s=longest_s)

    async def _collect(self, era):
        addresses = self._addresses_to_ask()
        asked = [
            asyncio.ensure_future(self._ask(address, era)) for address in addresses
        ]
        told_s_by_address = {}
        try:
            for answer in asyncio.as_completed(asked):
                address, told_s = await answer
                if told_s is not None:
                    told_s_by_address[address] = told_s
                if (told_s or 0.0) >= REREGISTRATION_S:
                    break
        finally:
            for task in asked:
                task.cancel()
        longest_s = max(told_s_by_address.values(), default=0.0)
        opinion = Opinion(longest_s, len(asked), len(told_s_by_address))
        log.info(
            "others asked about the store",
            asked=addresses,
            told_s={at: round(told, 3) for at, told in told_s_by_address.items()},
            outage=opinion.confirms_outage,
        )
        return opinion

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
        """Return ``address`` and the seconds told, ``None`` if it cannot tell."""
        try:
            async with self._kernel.clock.timeout(CONTACT_TIMEOUT_S):
                answer = await self._calls.call(
                    address, CONTACT_CALL, {}, timeout_s=CONTACT_TIMEOUT_S
                )
            told_s = float(answer["answering_s"]) if answer["era"] == era else 0.0
            # Daemons of earlier releases do not say whether they call the store.
            has_called = answer.get("has_called", True) is True
        except (PeerUnreachable, ResponseLost, TimeoutError) as error:
            log.info("daemon does not answer", daemon=address, error=repr(error))
            return address, None
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("answer not readable", daemon=address, error=repr(error))
            return address, None
        if not 0.0 <= told_s < math.inf or (not has_called and not told_s):
            return address, None
        return address, told_s

    async def _answer_contact(self, body):
        return {
            "era": self._store.era,
            "answering_s": self._store.answering_s(),
            "has_called": self._store.has_called(),
        }
