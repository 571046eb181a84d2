"""Estimates each model's share of the groups from the load of its group heads."""

from pimentogap.formation._plan import configured_group_shares
from pimentogap.metrics import Series

# Gauges that the leader exports for each model.
OPEN_GROUPS = "open_groups"
BUSY_GROUPS = "busy_groups"

# Time constant of the average: an old measurement loses two thirds of its weight
# in this time.
LOAD_AVERAGE_TIME_S = 5.0
# Weight of the configured shares when they are blended with the measured ones.
CONFIGURED_WEIGHT = 0.5
# With fewer busy groups than this over all models, no shares are derived from them.
MIN_BUSY_GROUPS = 0.5
MIN_SHARE = 0.02
# Requests per slot, averaged over a model's open groups, from which callers wait or
# are refused.
OVERLOAD_REQUESTS_PER_SLOT = 1.0


class Demand:
    """Averages the busy groups of each model and blends them with the configuration."""

    __slots__ = ("_busy_by_model", "_recorded_at")

    def __init__(self):
        self._busy_by_model = {}
        self._recorded_at = None

    def record(self, busy_by_model, now):
        """Add a measurement to the moving average.

        :param busy_by_model: the busy groups of each model, as the sum of expected
            requests over the group heads, as a share of what each can have.
        :param now: time of the measurement, in seconds of the runtime's clock.
        """
        elapsed_s = 0.0 if self._recorded_at is None else now - self._recorded_at
        self._recorded_at = now
        weight = min(1.0, elapsed_s / LOAD_AVERAGE_TIME_S)
        for model, busy in busy_by_model.items():
            average = self._busy_by_model.get(model, busy)
            self._busy_by_model[model] = average + weight * (busy - average)

    @property
    def busy_by_model(self):
        """Return the averaged busy groups of each model."""
        return dict(self._busy_by_model)

    def overloaded_models(self, open_groups_by_model):
        """Return the names of the models whose open groups have no free slots.

        :param open_groups_by_model: how many groups of each model are open.
        """
        return {
            model
            for model, count in open_groups_by_model.items()
            if count
            and self._busy_by_model.get(model, 0.0)
            >= count * OVERLOAD_REQUESTS_PER_SLOT
        }

    def group_shares(self, engine):
        """Return each model's share of the groups, between 0 and 1, by model name.

        :param engine: the `EngineSpec` of the service.
        """
        configured = configured_group_shares(engine)
        busy = {name: self._busy_by_model.get(name, 0.0) for name in configured}
        total = sum(busy.values())
        if total < MIN_BUSY_GROUPS:
            return configured
        return {
            name: max(
                MIN_SHARE,
                CONFIGURED_WEIGHT * configured[name]
                + (1 - CONFIGURED_WEIGHT) * busy[name] / total,
            )
            for name in configured
        }


class DemandMeter:
    """Measures the demand of each service at its group heads and exports gauges."""

    __slots__ = ("_kernel", "_demand_by_service")

    def __init__(self, kernel):
        self._kernel = kernel
        self._demand_by_service = {}

    def group_shares(self, service, now):
        """Measure the demand now; return each model's share of the groups by its name.

        :param service: the `ServiceSpec`.
        """
        demand = self._demand_by_service.setdefault(service.name, Demand())
        busy_by_model = {
            spec.name: self._measure(service.name, spec.name, now)
            for spec in service.engine.models
        }
        demand.record(busy_by_model, now)
        return demand.group_shares(service.engine)

    def overloaded_models(self, service):
        """Return the names of the models of ``service`` that lack slots.

        It goes by the last measurement of `group_shares`.
        """
        demand = self._demand_by_service.get(service.name)
        if demand is None:
            return frozenset()
        directory = self._kernel.get("directory")
        return demand.overloaded_models(
            {
                spec.name: len(directory.heads(service.name, spec.name))
                for spec in service.engine.models
            }
        )

    def busy_by_model(self, service):
        """Return the averaged busy groups of each model of ``service``."""
        demand = self._demand_by_service.get(service.name)
        return demand.busy_by_model if demand is not None else {}

    def clear_gauges(self):
        """Remove the gauges, which only the leader may export."""
        for name in (OPEN_GROUPS, BUSY_GROUPS):
            self._kernel.get("metrics").remove_gauges(name)

    def _measure(self, service, model, now):
        heads = self._kernel.get("directory").heads(service, model)
        placement = self._kernel.get("placement")
        busy = sum(placement.load(head).busy_share(now) for head in heads)
        metrics = self._kernel.get("metrics")
        metrics.set_gauge(Series(OPEN_GROUPS, service, "-", model=model), len(heads))
        metrics.set_gauge(Series(BUSY_GROUPS, service, "-", model=model), busy)
        return busy
