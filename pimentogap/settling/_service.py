"""The service that tells whether the store may still show an older copy."""

import math

from logbook import Logger

log = Logger("settling")

# What backend servers and daemons wrote is back in the store this long after it came
# back from a copy or an outage, and every lease of before is over.
SETTLING_S = 2.5
FIRST_PAUSE_S = 0.05


class SettlingService:
    """Tells whether the store's era is known to be `SETTLING_S` old.

    A store that has come back from a copy shows leases and entries as they were, and a
    daemon that has just started can't tell that from the present. It takes a lease that
    seems to be free, and acts on a list, only when the store is settled: by its own
    calls, or by what another daemon, which has called the store for longer, knows of
    the same era.
    """

    name = "settling"
    requires = ("store", "daemons", "store_contact")
    __slots__ = (
        "_kernel",
        "_store",
        "_daemons",
        "_contact",
        "_told_era",
        "_told_since",
    )

    def __init__(self):
        self._kernel = None
        self._store = None
        self._daemons = None
        self._contact = None
        self._told_era = 0
        self._told_since = math.inf

    async def start(self, kernel):
        """Use the services of ``kernel``."""
        self._kernel = kernel
        self._store = kernel.get("store")
        self._daemons = kernel.get("daemons")
        self._contact = kernel.get("store_contact")

    async def stop(self):
        """Do nothing; the callers own the tasks."""

    def is_settled(self):
        """Return whether what the store shows can be believed."""
        return self.era_age_s() >= SETTLING_S

    def era_age_s(self):
        """Return for how many seconds at least the store has been in its era."""
        since = self._store.era_since
        if self._told_era == self._store.era:
            since = min(since, self._told_since)
        return self._kernel.clock.time() - since

    async def wait(self):
        """Wait until the store is settled, or another daemon knows that it is."""
        clock = self._kernel.clock
        pause_s = FIRST_PAUSE_S
        while not self.is_settled():
            # Before the list of daemons is read there is nobody to ask.
            if self._daemons.addresses_by_id:
                await self._ask_others()
            remaining_s = max(0.0, SETTLING_S - self.era_age_s())
            await clock.sleep(min(pause_s, remaining_s))
            pause_s *= 2

    async def _ask_others(self):
        era = self._store.era
        told_s = (await self._contact.ask_others(era)).longest_s
        self._told_era = era
        self._told_since = self._kernel.clock.time() - told_s
        if self.is_settled():
            log.info("age of the era told", era=era, age_s=round(told_s, 3))
