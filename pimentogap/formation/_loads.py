"""Decides when hosts load weights, and keeps the loads within the platform's limits."""

from collections import Counter

from logbook import Logger

from pimentogap.formation._limiter import LoadLimiter
from pimentogap.formation._staging import choose_staging
from pimentogap.formation._weights import HostWeights
from pimentogap.types import StageWeights

log = Logger("formation")

# At the first start of the fleet, the leader does not limit loads for this long after
# its own start, or until a daemon has admitted a request: loads before the first one
# take a tenth of the time and do not count against the platform's limits.
UNLIMITED_LOADS_S = 9.0


class WeightLoads:
    """Orders hosts to load weights, for groups that lack them and for the next repair.

    ``weights`` is what is known of each host. It outlasts the terms of a leader; the
    orders go out through the `OrderSender` of the present one.
    """

    __slots__ = (
        "weights",
        "_clock",
        "_limiter",
        "_may_be_unlimited",
        "_started_at",
        "_orders",
        "_term",
    )

    def __init__(self, settings):
        """Set the limits from the `FrontSettings`."""
        self.weights = HostWeights()
        self._clock = None
        self._limiter = LoadLimiter(settings.load_window_s)
        self._may_be_unlimited = settings.first_start
        self._started_at = 0.0
        self._orders = None
        self._term = 0

    def start(self, clock):
        """Count the time of a first start from now on."""
        self._clock = clock
        self._started_at = clock.time()

    def begin_term(self, term, orders):
        """Send through ``orders`` during ``term``."""
        self._term = term
        self._orders = orders
        self._limiter.begin_term(self._clock.time())

    def record_first_request(self):
        """Limit loads from now on, since callers send requests."""
        self._may_be_unlimited = False

    def are_unlimited(self):
        """Return whether loads are fast and free, before the first request."""
        age_s = self._clock.time() - self._started_at
        return self._may_be_unlimited and age_s < UNLIMITED_LOADS_S

    def record_running(self, count, load_s):
        """Count ``count`` loads that another leader started."""
        now = self._clock.time()
        self._limiter.record_running_loads(count, now, load_s=load_s)

    def admit_join(self, service, planned):
        """Return whether a planned group may join, and load what it lacks, now."""
        if not planned.loads or self.are_unlimited():
            return True
        return self._limiter.admit_group(
            service.engine,
            planned.loads,
            self._clock.time(),
            load_s=planned.model.load_s,
        )

    def come_first(self, planned, served):
        """Return whether the members of ``planned`` load weights before they join.

        :param served: pairs of a fabric domain and a model that has a group there.
        """
        if not planned.loads or self.are_unlimited():
            return False
        name = planned.model.name
        now = self._clock.time()
        return (planned.members[0].domain, name) in served or any(
            self.weights.loading(member, now) == name for member in planned.members
        )

    def load_for_group(self, service, planned, *, list_revision):
        """Order the members of ``planned`` that lack the weights to load them.

        All of them or none, as the limits on loads admit for a group.
        """
        now = self._clock.time()
        spec = planned.model
        order = StageWeights(spec.name)
        missing = []
        for member in planned.members:
            if self.weights.loading(member, now) == spec.name:
                # Sent again in case the order was lost; it changes nothing otherwise.
                self._orders.send_again_if_unanswered(member, order)
            elif self.weights.is_cold(member, spec, now):
                missing.append(member)
        if not missing or not self._limiter.admit_group(
            service.engine, len(missing), now, load_s=spec.load_s
        ):
            return
        for member in missing:
            self._order_load(member, spec)
        log.info(
            "loading weights for a group",
            model=spec.name,
            loading=[member.id for member in missing],
            members=[member.id for member in planned.members],
            list_rev=list_revision,
            term=self._term,
        )

    def stage_on_spares(self, service, spares, groups):
        """Order spares to load the weights that the next repair is likely to need.

        :param spares: backend servers that are in no group and kept for none.
        :param groups: the `GroupView` of each group of the service.
        """
        spares_by_domain = {}
        for backend in spares:
            spares_by_domain.setdefault(backend.domain, []).append(backend)
        members_by_domain = Counter(
            (item.domain, group.model)
            for group in groups
            for item in group.members_by_rank.values()
        )
        specs_by_name = {spec.name: spec for spec in service.engine.models}
        now = self._clock.time()
        for domain, domain_spares in spares_by_domain.items():
            # The 0.5 lets a model without a group in the domain get spares, too.
            needs = {
                name: (members_by_domain[domain, name] + 0.5) * spec.load_s
                for name, spec in specs_by_name.items()
            }
            loading_by_id = {
                item.id: self.weights.loading(item, now) for item in domain_spares
            }
            for backend, model in choose_staging(domain_spares, loading_by_id, needs):
                spec = specs_by_name[model]
                if self.are_unlimited() or self._limiter.admit_staging(
                    service.engine, now, load_s=spec.load_s
                ):
                    self._order_load(backend, spec)

    def _order_load(self, backend, spec):
        self.weights.record_load(backend, spec, self._clock.time())
        self._orders.send(backend, StageWeights(spec.name))
