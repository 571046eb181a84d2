"""The service in which requests wait for a place at a model group."""

import asyncio
from dataclasses import dataclass

from logbook import Logger

from pimentogap.admission._callers import CallerPatience
from pimentogap.admission._claim import Claim, tightest_objective_s
from pimentogap.admission._decide import (
    Admit,
    Hold,
    Prospect,
    Turn,
    decide,
    spare_places,
)
from pimentogap.admission._line import LineFull, WaitingLine
from pimentogap.admission._returns import ReturnBook
from pimentogap.admission._share import KNOWLEDGE_AGE_S, SpareShare, places_per_s
from pimentogap.costs import Correction, GroupCost
from pimentogap.metrics import Series
from pimentogap.placement import Forward, Full, Limited, Missing

log = Logger("admission")

# A waiting request looks for a place so often, beside the wake-ups by own answers.
CHECK_INTERVAL_S = 0.025
MAX_WAITING = 64


@dataclass(frozen=True, slots=True)
class Refused:
    """No place was found for the request, for this ``cause``.

    One is expected for it in ``return_s`` seconds.
    """

    cause: str
    return_s: float


class Pool:
    """What this daemon knows of one service and model: costs and waiting requests.

    ``changed`` is done when a place may have come free. ``hopeful`` says that the last
    request that could be in time was let on.
    """

    __slots__ = (
        "cost",
        "configured_for",
        "correction",
        "line",
        "spare",
        "returns",
        "changed",
        "hopeful",
    )

    def __init__(self):
        self.cost = None
        self.configured_for = None
        self.correction = Correction()
        self.line = WaitingLine(MAX_WAITING)
        self.spare = SpareShare()
        self.returns = ReturnBook()
        self.changed = asyncio.get_running_loop().create_future()
        self.hopeful = True


class AdmissionService:
    """Lets requests on in the order that keeps most of them in time."""

    name = "admission"
    requires = (
        "placement",
        "directory",
        "daemons",
        "serving_configuration",
        "metrics",
    )
    __slots__ = (
        "_scarce_room",
        "_kernel",
        "_placement",
        "_directory",
        "_daemons",
        "_configuration",
        "_metrics",
        "_patience",
        "_pools_by_key",
    )

    def __init__(self, settings):
        """Govern model services if ``settings`` say that room is scarce."""
        self._scarce_room = settings.scarce_room
        self._kernel = None
        self._placement = None
        self._directory = None
        self._daemons = None
        self._configuration = None
        self._metrics = None
        self._patience = CallerPatience()
        self._pools_by_key = {}

    async def start(self, kernel):
        """Look up the services."""
        self._kernel = kernel
        self._placement = kernel.get("placement")
        self._directory = kernel.get("directory")
        self._daemons = kernel.get("daemons")
        self._configuration = kernel.get("serving_configuration")
        self._metrics = kernel.get("metrics")

    async def stop(self):
        """Do nothing; waiting requests end with their callers' connections."""

    def claim(self, request, admitted, deadline):
        """Return the `Claim` of a request, ``None`` if its service is not governed."""
        route = admitted.route
        model = request.needs.model if route.carries_model else ""
        if self._cost(admitted.service, model) is None:
            return None
        configuration = self._configuration.current
        now = self._kernel.clock.time()
        return Claim(
            attempt_id=request.needs.attempt_id,
            service=admitted.service,
            model=model,
            workspace=admitted.workspace,
            priority=configuration.priority(route, admitted.workspace),
            objective_s=route.first_byte_s,
            tightest_s=tightest_objective_s(configuration, route, admitted.service),
            elapsed_s=self._patience.elapsed_s(
                route.name, request.needs.deadline_s, now
            ),
            arrived_at=request.received_at,
            deadline=deadline,
            prompt_tokens=request.needs.prompt_tokens,
        )

    async def place(self, claim, choose):
        """Wait until ``claim`` may go on, or is refused.

        :param choose: returns the placement's present choice for it.
        :return: the choice and the urgency, or `Refused` and ``None``.
        """
        pool = self._pool(claim.service, claim.model)
        try:
            late = claim.is_late(pool.cost.first_event_s(0), self._kernel.clock.time())
            pool.line.join(claim, late=late)
        except LineFull:
            return self._refuse(claim, pool, "line_full"), None
        self._show_length(claim, pool)
        try:
            return await self._wait_in_line(claim, pool, choose)
        finally:
            pool.line.leave(claim)
            self._wake(pool)
            self._show_length(claim, pool)

    async def _wait_in_line(self, claim, pool, choose):
        clock = self._kernel.clock
        while True:
            now = clock.time()
            late = claim.is_late(pool.cost.first_event_s(0), now)
            pool.line.mark_late(claim, late)
            choice = prospect = None
            if pool.line.first(now) is claim and (
                not late or self._may_ask(claim, pool)
            ):
                choice = choose()
                if isinstance(choice, Limited | Missing):
                    return choice, None
                prospect = self._prospect(choice, pool, now)
            match decide(claim, prospect, now, late=late, hopeful=pool.hopeful):
                case Admit(urgency):
                    pool.hopeful = pool.hopeful or not late
                    pool.line.record_admission(claim, now)
                    self._count_return(claim, "admitted")
                    self._record_wait(claim, pool, prospect)
                    return choice, urgency
                case Turn(cause):
                    pool.hopeful = pool.hopeful and late
                    return self._refuse(claim, pool, cause, prospect), None
                case Hold(for_s):
                    wake_in_s = min(CHECK_INTERVAL_S, claim.arrived_at + for_s - now)
            await asyncio.wait({pool.changed}, timeout=max(0.0, wake_in_s))

    def _may_ask(self, claim, pool):
        """Tell whether a late ``claim`` may ask for a spare place now."""
        now = self._kernel.clock.time()
        if now < claim.asks_at:
            return False
        spare = self._spare_places(claim, now)
        if spare <= 0:
            return False
        claim.asks_at = now + KNOWLEDGE_AGE_S / 2
        return pool.spare.draw(spare, self._daemons.count, now, self._kernel.random)

    def expected_s(self, claim, backend):
        """Return the uncorrected time to a first event at ``backend``, 0 if unknown."""
        cost = self._cost(claim.service, claim.model) if claim else None
        if cost is None:
            return 0.0
        load = self._placement.load(backend)
        requests = load.expected_requests(self._kernel.clock.time())
        return cost.first_event_s(requests, claim.prompt_tokens)

    def record_first_event(self, claim, expected_s, observed_s):
        """Correct the estimates of a model by an observed first event.

        Late requests give way to others at their groups, and so show nothing.
        """
        if claim is not None and not claim.is_return:
            correction = self._pool(claim.service, claim.model).correction
            correction.record(observed_s, expected_s, self._kernel.clock.time())

    def record_end(self, claim):
        """Wake those who wait, since an attempt has ended and its place is free."""
        if claim is not None:
            self._wake(self._pool(claim.service, claim.model))

    def _prospect(self, choice, pool, now):
        """Return the `Prospect` at the chosen backend server, ``None`` without one."""
        match choice:
            case Forward(backend):
                load = self._placement.load(backend)
                requests = load.expected_requests(now)
                excess_s = pool.correction.excess_s(now)
                first_event_s = pool.cost.first_event_s(requests) + excess_s
                return Prospect(requests, load.slots, first_event_s)
            case Full():
                return None

    def _spare_places(self, claim, now):
        """Return how many places of all backend servers late requests may take."""
        free = places = 0.0
        for backend in self._directory.heads(claim.service, claim.model):
            load = self._placement.load(backend)
            usable = min(load.slots, load.limit)
            places += usable
            free += max(0.0, usable - load.expected_requests(now))
        return spare_places(free, places)

    def _pool(self, service, model):
        pool = self._pools_by_key.get((service, model))
        if pool is None:
            pool = self._pools_by_key[service, model] = Pool()
        return pool

    def _cost(self, service, model):
        """Return the `GroupCost` of a model, ``None`` if it is not governed."""
        configuration = self._configuration.current
        if not self._scarce_room or configuration is None or not model:
            return None
        spec = configuration.services_by_name.get(service)
        if spec is None or spec.engine is None or spec.engine.timings is None:
            return None
        paces = [item.pace for item in spec.engine.models if item.name == model]
        if not paces or not spec.engine.slots:
            return None
        pool = self._pool(service, model)
        if pool.configured_for is not spec:
            pool.cost = GroupCost(
                spec.engine.timings, pace=paces[0], slots=spec.engine.slots
            )
            pool.configured_for = spec
        return pool.cost

    def _wake(self, pool):
        if not pool.changed.done():
            pool.changed.set_result(None)
        pool.changed = asyncio.get_running_loop().create_future()

    def _show_length(self, claim, pool):
        series = Series("admission_waiting", claim.service, "-", "", claim.model)
        self._metrics.set_gauge(series, len(pool.line))

    def _record_wait(self, claim, pool, prospect):
        waited_s = self._kernel.clock.time() - claim.arrived_at
        if waited_s < CHECK_INTERVAL_S / 2:
            return
        series = Series("admission_wait", claim.service, "-", "", claim.model)
        self._metrics.record_duration(series, waited_s)
        numbers = self._numbers(claim, pool, prospect)
        log.info("waited for a place", **numbers)

    def _refuse(self, claim, pool, cause, prospect=None):
        """Return the `Refused` for ``claim``, and record it."""
        now = self._kernel.clock.time()
        spare = self._spare_places(claim, now)
        return_s = pool.returns.tell(
            now,
            left_s=claim.deadline - now,
            places_per_s=places_per_s(spare, self._daemons.count),
            rng=self._kernel.random,
        )
        series = Series("refused_for_room", claim.service, "-", cause, claim.model)
        self._metrics.count(series)
        self._count_return(claim, "refused")
        numbers = self._numbers(claim, pool, prospect)
        return_ms = round(return_s * 1000)
        log.info("refused for room", cause=cause, return_ms=return_ms, **numbers)
        return Refused(cause, return_s)

    def _count_return(self, claim, outcome):
        """Count how a request fared that came back after a refusal."""
        if claim.is_return:
            series = Series("returns", claim.service, "-", outcome, claim.model)
            self._metrics.count(series)

    def _numbers(self, claim, pool, prospect):
        """Return the numbers that decided, for a log line."""
        now = self._kernel.clock.time()
        held_s = now - claim.arrived_at
        return {
            "id": claim.attempt_id,
            "model": claim.model,
            "priority": claim.priority,
            "objective_ms": round(claim.objective_s * 1000),
            "age_ms": round((claim.elapsed_s + held_s) * 1000),
            "held_ms": round(held_s * 1000),
            "waiting": len(pool.line),
            "promised": pool.returns.promised(now),
            "spare": round(self._spare_places(claim, now), 1),
            "excess_ms": round(pool.correction.excess_s(now) * 1000),
            "expected_ms": prospect and round(prospect.first_event_s * 1000),
            "requests": prospect and round(prospect.requests, 1),
            "slots": prospect and prospect.slots,
        }
