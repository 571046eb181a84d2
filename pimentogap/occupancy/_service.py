"""The service that exchanges the daemons' requests at work by way of the relays."""

import math
from dataclasses import replace

from logbook import Logger

from pimentogap.errors import InvalidStatement, PeerUnreachable, ResponseLost
from pimentogap.kernel import RestartOnError
from pimentogap.metrics import Series
from pimentogap.occupancy._book import Counts, OccupancyBook, Others
from pimentogap.occupancy._messages import (
    dump_counts,
    dump_others,
    load_counts,
    load_others,
)

log = Logger("occupancy")

TELL_CALL = "occupancy_tell"
SWAP_CALL = "occupancy_swap"
INTERVAL_S = 0.2
# Interval of a daemon that has no requests.
IDLE_INTERVAL_S = 0.5
# Each pause differs by up to this share, so that daemons do not keep in step.
JITTER = 0.2
CALL_TIMEOUT_S = 0.5
# What was heard longer ago is not known any more.
HEARD_LIFETIME_S = 1.5
# A relay that failed is not told for this long, if there is another.
RELAY_COOLDOWN_S = 2.0
# The age of what is known of other daemons, exported by each daemon.
AGE_GAUGE = "occupancy_age_seconds"
DAEMONS_GAUGE = "occupancy_daemons"


class OccupancyService:
    """Tells a relay what this daemon has at work, and learns what all others have.

    A relay adds up what daemons tell it and swaps the sums with every other relay.
    Each pair of relays has one task, at the relay with the lower address.
    """

    name = "occupancy"
    requires = ("calls", "daemons", "metrics")
    __slots__ = (
        "_id",
        "_is_enabled",
        "_kernel",
        "_calls",
        "_daemons",
        "_book",
        "_tell",
        "_hear",
        "_limits",
        "_heard",
        "_heard_at",
        "_cooldown_until_by_relay",
        "_swapping_with",
    )

    def __init__(self, daemon_id, *, enabled):
        """Identify this daemon.

        :param enabled: whether daemons tell each other anything.
        """
        self._id = daemon_id
        self._is_enabled = enabled
        self._kernel = None
        self._calls = None
        self._daemons = None
        self._book = OccupancyBook()
        self._tell = lambda: Counts(daemons=1)
        self._hear = None
        self._limits = dict
        self._heard = Others(Counts(), 0.0)
        self._heard_at = -math.inf
        self._cooldown_until_by_relay = {}
        self._swapping_with = set()

    async def start(self, kernel):
        """Start the exchange."""
        self._kernel = kernel
        self._calls = kernel.get("calls")
        self._daemons = kernel.get("daemons")
        if not self._is_enabled:
            return
        self._calls.register(TELL_CALL, self._answer_tell)
        self._calls.register(SWAP_CALL, self._answer_swap)
        kernel.spawn(self.name, self._exchange, on_error=RestartOnError())

    async def stop(self):
        """Do nothing; the kernel cancels the tasks."""

    def attach(self, tell, hear, limits=dict):
        """Take the daemon's own counts from ``tell`` and pass the others' to ``hear``.

        :param tell: returns the daemon's `Counts`.
        :param hear: gets the `Others`.
        :param limits: returns the limits by backend server that a relay passes on.
        """
        self._tell = tell
        self._hear = hear
        self._limits = limits

    async def _exchange(self):
        was_idle = False
        while True:
            interval_s = IDLE_INTERVAL_S if was_idle else INTERVAL_S
            spread = self._kernel.random.uniform(1 - JITTER, 1 + JITTER)
            await self._kernel.clock.sleep(interval_s * spread)
            own = self._tell()
            was_idle = not own.at_work_by_key
            now = self._kernel.clock.time()
            self._book.record_daemon(self._id, own, now)
            if self._daemons.is_relay():
                was_idle = False
                self._swap_with_new_relays()
                self._pass_on(self._book.others(self._id, now))
            else:
                await self._tell_relay(own)
            self._export()

    def _pass_on(self, others):
        self._heard = others
        self._heard_at = self._kernel.clock.time()
        if self._hear is not None:
            self._hear(others)

    def _export(self):
        """Export the number of daemons that are known of, and the age of that."""
        age_s = self._kernel.clock.time() - self._heard_at + self._heard.age_s
        daemons = self._heard.counts.daemons if age_s <= HEARD_LIFETIME_S else 0
        metrics = self._kernel.get("metrics")
        metrics.set_gauge(Series(AGE_GAUGE, "-", "-"), age_s)
        metrics.set_gauge(Series(DAEMONS_GAUGE, "-", "-"), daemons)

    async def _tell_relay(self, own):
        address = self._choose_relay()
        if address is None:
            return
        body = {"daemon": self._id, **dump_counts(own)}
        try:
            answer = await self._calls.call(
                address, TELL_CALL, body, timeout_s=CALL_TIMEOUT_S
            )
            self._pass_on(load_others(answer))
        except (PeerUnreachable, ResponseLost, InvalidStatement) as error:
            log.info("relay not told", relay=address, error=str(error))
            until = self._kernel.clock.time() + RELAY_COOLDOWN_S
            self._cooldown_until_by_relay[address] = until

    def _choose_relay(self):
        """Return the first relay that has not failed, ``None`` without one."""
        now = self._kernel.clock.time()
        for address in self._daemons.relay_addresses():
            if self._cooldown_until_by_relay.get(address, now) <= now:
                return address
        return None

    def _swap_with_new_relays(self):
        for address in self._daemons.all_relay_addresses:
            if self._calls.address < address and address not in self._swapping_with:
                self._swapping_with.add(address)
                self._kernel.spawn(self.name, self._swap_with, address)

    async def _swap_with(self, address):
        """Swap sums with the relay at ``address`` as long as both are relays."""
        clock = self._kernel.clock
        try:
            while (
                self._daemons.is_relay()
                and address in self._daemons.all_relay_addresses
            ):
                pause_s = INTERVAL_S
                told = self._book.told(clock.time())
                body = {"relay": self._calls.address, **dump_others(told)}
                try:
                    answer = await self._calls.call(
                        address, SWAP_CALL, body, timeout_s=CALL_TIMEOUT_S
                    )
                    self._record_relay(address, answer)
                except (PeerUnreachable, ResponseLost, InvalidStatement) as error:
                    log.info("sums not swapped", relay=address, error=str(error))
                    pause_s = RELAY_COOLDOWN_S
                spread = self._kernel.random.uniform(1 - JITTER, 1 + JITTER)
                await clock.sleep(pause_s * spread)
        finally:
            self._swapping_with.discard(address)

    def _record_relay(self, address, body):
        others = load_others(body)
        now = self._kernel.clock.time()
        self._book.record_relay(address, others.counts, now, age_s=others.age_s)

    async def _answer_tell(self, body):
        """Record what a daemon has at work; answer with what the others have."""
        try:
            counts = load_counts(body)
            id_ = _text(body, "daemon")
        except InvalidStatement as error:
            log.warning("statement not readable", error=str(error))
            return {}
        now = self._kernel.clock.time()
        self._book.record_daemon(id_, counts, now)
        others = self._book.others(id_, now)
        return dump_others(replace(others, limits_by_key=self._limits()))

    async def _answer_swap(self, body):
        """Record the sums of another relay; answer with this one's."""
        try:
            self._record_relay(_text(body, "relay"), body)
        except InvalidStatement as error:
            log.warning("sums not readable", error=str(error))
            return {}
        return dump_others(self._book.told(self._kernel.clock.time()))


def _text(body, field):
    value = body.get(field)
    if not isinstance(value, str) or not value:
        raise InvalidStatement(f"the statement names no {field}")
    return value
