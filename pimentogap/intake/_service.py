"""The service that admits connections and bodies of callers."""

import asyncio
import math

from logbook import Logger

from pimentogap.intake._account import Account, is_small
from pimentogap.intake._callers import (
    Caller,
    Fresh,
    Idle,
    Leaving,
    ReadingBody,
    ReadingHead,
    Serving,
)
from pimentogap.intake._limits import IntakeLimits
from pimentogap.intake._pace import ChunkTurns
from pimentogap.metrics import Series
from pimentogap.types import CallerLimits

log = Logger("intake")

SWEEP_S = 0.5
# A sweep that comes this late judges nobody: the daemon itself stood still.
MAX_SWEEP_DELAY_S = 1.0
# Added to the limits of the configuration, for links and a busy machine.
MARGIN_S = 1.0
# Fewer bytes are no progress.
PROGRESS_BYTES = 8 * 1024
# Who gets on less than this may be turned away if others need the room.
STALL_S = 1.0
# Who gets on less than this is turned away in any case.
MAX_STALL_S = 60.0
# How often callers are turned away to make room, at most.
RELIEF_INTERVAL_S = 0.1
# How long a body waits for room.
MAX_WAIT_S = 1.0
RETRY_AFTER_S = 0.5
# All refused requests together are read once in this time.
DRAIN_S = 0.001


class NoRoom(Exception):
    """There is no room for the body; the request may come again."""


class _Wait:
    """A body that waits for ``size`` bytes."""

    __slots__ = ("size", "granted")

    def __init__(self, size):
        self.size = size
        self.granted = asyncio.get_running_loop().create_future()


class IntakeService:
    """Keeps callers' connections and bodies within what the VM has.

    Whoever doesn't fit waits for a while, which stops the reading of its connection;
    then callers that make no progress are turned away, and after them the body that
    asks. All causes are counted.
    """

    name = "intake"
    requires = ("serving_configuration", "metrics")
    __slots__ = (
        "account",
        "turns",
        "_limits",
        "_kernel",
        "_configuration",
        "_metrics",
        "_callers_by_phase",
        "_queues_by_kind",
        "_relieved_at",
        "_counts_by_cause",
        "_swept_at",
        "_skips_sweep",
    )

    def __init__(self, settings):
        """Derive the limits.

        :param settings: the `FrontSettings`.
        """
        self._limits = IntakeLimits.of_vm(settings.memory_mb, settings.max_descriptors)
        self.account = Account(self._limits)
        self.turns = None
        self._kernel = None
        self._configuration = None
        self._metrics = None
        phases = (Fresh, Idle, ReadingHead, ReadingBody, Serving, Leaving)
        # In each phase, callers are in the order in which they came to it.
        self._callers_by_phase = {phase: {} for phase in phases}
        # Callers and their waits in the order of their coming. Nobody waits for those
        # of another kind; bodies that have begun go before new ones.
        self._queues_by_kind = {"small": {}, "begun": {}, "new": {}}
        self._relieved_at = -math.inf
        self._counts_by_cause = {}
        self._swept_at = 0.0
        self._skips_sweep = False

    async def start(self, kernel):
        """Begin to look for callers that make no progress."""
        self._kernel = kernel
        self._configuration = kernel.get("serving_configuration")
        self._metrics = kernel.get("metrics")
        self.turns = ChunkTurns(kernel.clock)
        self._swept_at = kernel.clock.time()
        kernel.spawn(self.name, self._sweep_regularly)

    async def stop(self):
        """Do nothing; connections belong to the service that accepts them."""

    def caller_limits(self):
        """Return the configured `CallerLimits`, or the defaults if there are none."""
        configuration = self._configuration.current
        return configuration.limits if configuration else CallerLimits()

    def admit(self, address, close):
        """Return the `Caller` of a new connection, ``None`` if it must be closed.

        A connection on which no request is under way makes room for it.

        :param address: where the caller connects from.
        :param close: a function that closes the connection.
        """
        if self.account.connections >= self._limits.connections:
            oldest = self._oldest_without_request()
            if oldest is None:
                self.count("connection refused")
                return None
            self.count("connection displaced")
            oldest.close()
            self.leave(oldest)
        caller = Caller(address, close, self._kernel.clock.time())
        self._callers_by_phase[Fresh][caller] = None
        self.account.connections += 1
        return caller

    def leave(self, caller):
        """Forget the caller of a connection that has ended."""
        if self._callers_by_phase[type(caller.phase)].pop(caller, self) is not self:
            self.account.connections -= 1
        self.account.add_unsent(caller, -caller.unsent)
        self.release(caller)

    def record_received(self, caller, size):
        """Note that ``size`` bytes have arrived."""
        now = self._kernel.clock.time()
        match caller.phase:
            case Fresh() | Idle():
                self._set_phase(caller, ReadingHead(now))
            case ReadingBody():
                caller.record_progress(size, now, PROGRESS_BYTES)

    def record_sent(self, caller, size):
        """Note that the caller has taken ``size`` bytes of its answer."""
        caller.record_progress(size, self._kernel.clock.time(), PROGRESS_BYTES)
        self.account.add_unsent(caller, -min(size, caller.unsent))
        self._grant_waiting()

    def begin_body(self, caller, turn_away):
        """Note that a head is complete.

        :param turn_away: a function that refuses the request while its body is read;
            it gets the cause, `NoRoom` or `TimeoutError`.
        """
        now = self._kernel.clock.time()
        caller.turn_away = turn_away
        caller.restart_progress(now)
        self._set_phase(caller, ReadingBody(now))

    def begin_service(self, caller):
        """Note that a request is complete."""
        self.account.finish(caller)
        self._set_phase(caller, Serving())

    def begin_idle(self, caller):
        """Note that a request has been answered."""
        self.release(caller)
        self._set_phase(caller, Idle(self._kernel.clock.time()))

    def begin_leaving(self, caller):
        """Note that a request has been refused and that its connection will close."""
        for queue in self._queues_by_kind.values():
            if wait := queue.pop(caller, None):
                wait.granted.set_exception(NoRoom())
        self.release(caller)
        self._set_phase(caller, Leaving())

    async def wait_to_drain(self):
        """Wait before the next bytes of a refused request are read and dropped."""
        leaving = len(self._callers_by_phase[Leaving])
        await self._kernel.clock.sleep(leaving * DRAIN_S)

    def try_reserve(self, caller, size):
        """Reserve ``size`` bytes of a body if they fit; return whether they do."""
        if not self.account.fits(caller, size):
            return False
        self.account.take(caller, size)
        return True

    async def reserve(self, caller, size):
        """Reserve ``size`` bytes of a body, and wait for room if there is none.

        :raises NoRoom: if there is none in time, or if the body has begun and all
            others that could give way began before it.
        """
        if caller.held and self.account.gives_way(caller):
            raise NoRoom
        if sum(map(len, self._queues_by_kind.values())) >= self._limits.waiting:
            raise NoRoom
        queue = self._queues_by_kind[_queue_kind(caller, size)]
        wait = queue[caller] = _Wait(size)
        self._relieve(self._kernel.clock.time())
        try:
            async with self._kernel.clock.timeout(MAX_WAIT_S):
                await wait.granted
        except TimeoutError:
            raise NoRoom
        finally:
            queue.pop(caller, None)
        caller.restart_progress(self._kernel.clock.time())

    def release(self, caller):
        """Give back what is reserved for the body of ``caller``."""
        if caller.held:
            self.account.release(caller)
            self._grant_waiting()

    def add_unsent(self, caller, size):
        """Count ``size`` more bytes of an answer that the caller has not taken."""
        if not caller.unsent:
            caller.restart_progress(self._kernel.clock.time())
        self.account.add_unsent(caller, size)

    def count(self, cause):
        """Count a caller that was turned away."""
        cause = cause.replace(" ", "_")
        self._metrics.count(Series("turned_away", "-", "-", cause))
        self._counts_by_cause[cause] = self._counts_by_cause.get(cause, 0) + 1

    def _set_phase(self, caller, phase):
        callers = self._callers_by_phase[type(caller.phase)]
        if callers.pop(caller, self) is not self:
            self._callers_by_phase[type(phase)][caller] = None
        caller.phase = phase

    def _oldest_without_request(self):
        for phase in (Leaving, Fresh, Idle, ReadingHead):
            if callers := self._callers_by_phase[phase]:
                return next(iter(callers))
        return None

    def _grant_waiting(self):
        """Let those who wait go on, in their order, as far as there is room."""
        for queue in self._queues_by_kind.values():
            while queue:
                caller, wait = next(iter(queue.items()))
                if not self.try_reserve(caller, wait.size):
                    break
                del queue[caller]
                if not wait.granted.done():
                    wait.granted.set_result(None)

    def _relieve(self, now):
        """Turn callers away until nobody waits, those that stand still first."""
        if now - self._relieved_at < RELIEF_INTERVAL_S:
            return
        self._relieved_at = now
        self._grant_waiting()
        for caller, cause in self._candidates(now):
            if not any(self._queues_by_kind.values()):
                return
            self._end(caller, cause)

    def _candidates(self, now):
        """Return who may be turned away if others need the room, and the causes."""
        bodies = [c for c in self._callers_by_phase[ReadingBody] if c.held]
        waiting = set().union(*self._queues_by_kind.values())
        still = [c for c in bodies if _is_stalled(c, now) and c not in waiting]
        for reader in self._stalled_readers(now):
            yield reader, "stalled reader"
        for body in sorted(still, key=lambda caller: -caller.held):
            yield body, "stalled body"
        if not any(self.account.is_under_fair_part(c.address) for c in waiting):
            return
        for body in reversed(bodies):
            if body.held and self.account.is_over_fair_part(body.address):
                yield body, "over fair part"

    def _stalled_readers(self, now):
        """Return the callers that do not take their answers, the slowest first."""
        serving = self._callers_by_phase[Serving]
        stalled = [c for c in serving if c.unsent and _is_stalled(c, now)]
        return sorted(stalled, key=lambda caller: caller.progress_at)

    def _end(self, caller, cause, error=NoRoom):
        """Turn ``caller`` away: with an answer if none has begun, else without."""
        self.count(cause)
        match caller.phase:
            case ReadingBody():
                caller.turn_away(error)
            case _:
                caller.close()
                self.leave(caller)

    async def _sweep_regularly(self):
        while True:
            await self._kernel.clock.sleep(SWEEP_S)
            now = self._kernel.clock.time()
            is_late = now - self._swept_at > SWEEP_S + MAX_SWEEP_DELAY_S
            self._swept_at = now
            # Callers may hold up every sweep, so the next one judges in any case.
            self._skips_sweep = is_late and not self._skips_sweep
            if not self._skips_sweep:
                self._sweep(now)
            self._log_counts()

    def _sweep(self, now):
        """Turn away who takes too long, and more if others wait for room."""
        limits = self.caller_limits()
        idle_before = now - limits.idle_timeout_s - MARGIN_S
        head_before = now - limits.header_timeout_s - MARGIN_S
        self._end_oldest(Fresh, idle_before, "idle")
        self._end_oldest(Idle, idle_before, "idle")
        self._end_oldest(ReadingHead, head_before, "slow head")
        for phase, cause in ((ReadingBody, "slow body"), (Serving, "slow reader")):
            for caller in list(self._callers_by_phase[phase]):
                is_due = phase is ReadingBody or caller.unsent
                if is_due and now - caller.progress_at > MAX_STALL_S:
                    self._end(caller, cause, TimeoutError)
        if self.account.is_overdrawn:
            for caller in self._stalled_readers(now):
                self._end(caller, "stalled reader")
        self._relieve(now)

    def _end_oldest(self, phase, before, cause):
        for caller in list(self._callers_by_phase[phase]):
            if caller.phase.since >= before:
                return
            self._end(caller, cause)

    def _log_counts(self):
        if self._counts_by_cause:
            log.notice("callers turned away", **self._counts_by_cause)
            self._counts_by_cause.clear()


def _queue_kind(caller, size):
    if is_small(caller.held + size):
        return "small"
    return "begun" if caller.held else "new"


def _is_stalled(caller, now):
    return now - caller.progress_at >= STALL_S
