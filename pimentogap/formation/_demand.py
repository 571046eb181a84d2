"""How much of the work each model has, by the loads that its heads report."""

from pimentogap.formation._plan import configured_wants
from pimentogap.metrics import Series

# Gauges that the leader shows for each model.
OPEN_GROUPS = "open_groups"
BUSY_GROUPS = "busy_groups"

# Time in which an old measurement loses two thirds of its weight.
MEMORY_S = 5.0
# The part of the configuration's estimate that measurements leave in force.
CONFIGURED_PART = 0.5
# Below this many busy groups in all, the split says nothing.
MIN_BUSY_GROUPS = 0.5
MIN_WANT = 0.02


class Demand:
    """Measures busy groups of each model, and blends them with the configuration."""

    __slots__ = ("_busy_by_model", "_noted_at")

    def __init__(self):
        self._busy_by_model = {}
        self._noted_at = None

    def note(self, busy_by_model, now):
        """Take the busy groups of each model: expected requests for each slot."""
        passed_s = 0.0 if self._noted_at is None else now - self._noted_at
        self._noted_at = now
        weight = min(1.0, passed_s / MEMORY_S)
        for model, busy in busy_by_model.items():
            before = self._busy_by_model.get(model, busy)
            self._busy_by_model[model] = before + weight * (busy - before)

    def wants(self, engine):
        """Return each model's part of the work, for an `EngineSpec`."""
        configured = configured_wants(engine)
        busy = {name: self._busy_by_model.get(name, 0.0) for name in configured}
        total = sum(busy.values())
        if total < MIN_BUSY_GROUPS:
            return configured
        return {
            name: max(
                MIN_WANT,
                CONFIGURED_PART * configured[name]
                + (1 - CONFIGURED_PART) * busy[name] / total,
            )
            for name in configured
        }


class DemandMeter:
    """Measures the demand of each service by its open heads, and shows it."""

    __slots__ = ("_kernel", "_demand_by_service")

    def __init__(self, kernel):
        self._kernel = kernel
        self._demand_by_service = {}

    def wants(self, service, now):
        """Return each model's part of the work of ``service``, a `ServiceSpec`."""
        demand = self._demand_by_service.setdefault(service.name, Demand())
        busy_by_model = {
            spec.name: self._measure(service.name, spec.name, now)
            for spec in service.engine.models
        }
        demand.note(busy_by_model, now)
        return demand.wants(service.engine)

    def hide(self):
        """Show nothing any more, since another daemon leads."""
        for name in (OPEN_GROUPS, BUSY_GROUPS):
            self._kernel.get("metrics").hide(name)

    def _measure(self, service, model, now):
        heads = self._kernel.get("directory").heads(service, model)
        placement = self._kernel.get("placement")
        busy = sum(placement.load(head).fullness(now) for head in heads)
        metrics = self._kernel.get("metrics")
        metrics.show(Series(OPEN_GROUPS, service, "-", model=model), len(heads))
        metrics.show(Series(BUSY_GROUPS, service, "-", model=model), busy)
        return busy
