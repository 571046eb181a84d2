"""The service that forms, opens, repairs and dissolves model groups."""

from collections import Counter

from logbook import Logger

from pimentogap.directory import build_group_views, group_name, model_of
from pimentogap.formation._absences import AbsenceProber
from pimentogap.formation._confirmations import Confirmations
from pimentogap.formation._demand import DemandMeter
from pimentogap.formation._endings import GroupEndings
from pimentogap.formation._forming import FormingGroup, can_adopt
from pimentogap.formation._loads import WeightLoads
from pimentogap.formation._losses import LossDetector
from pimentogap.formation._orders import OrderSender
from pimentogap.formation._plan import (
    SPARES_PER_DOMAIN,
    configured_group_shares,
    plan_groups,
    target_counts,
)
from pimentogap.formation._readiness import Readiness
from pimentogap.formation._surplus import SurplusGroups
from pimentogap.kernel import RestartOnError
from pimentogap.types import (
    BackendState,
    JoinGroup,
    LeaveGroup,
    MemberState,
    OpenGroup,
)

log = Logger("formation")

POLL_INTERVAL_S = 0.15
# Epochs reserved for each term, so that those of a later term are always greater.
EPOCHS_PER_TERM = 100000
LOADED_STATES = (MemberState.READY, MemberState.OPEN, MemberState.CLOSING)
# Members of a dissolved group that hold its weights are not given others to stage for
# this long, about as long as a load takes.
KEEP_WEIGHTS_S = 15.0


class FormationService:
    """Keeps as many complete groups as the backend servers allow.

    Only the holder of the lease acts. The leader stores no plans: it reads the
    groups from the entries of their members. A group's name and epoch are never
    used twice, so a new leader recognises every group, adopts those that are still
    being formed, and dissolves the incomplete ones.
    """

    name = "formation"
    requires = (
        "lease",
        "settling",
        "directory",
        "serving_configuration",
        "placement",
        "metrics",
    )
    __slots__ = (
        "_settings",
        "_engines",
        "_kernel",
        "_lease",
        "_directory",
        "_configuration",
        "_term",
        "_epoch_count",
        "_forming_by_key",
        "_orders",
        "_losses",
        "_absences",
        "_confirmations",
        "_present_by_id",
        "_free_since_by_id",
        "_endings",
        "_demand",
        "_loads",
        "_surplus",
        "_readiness",
    )

    def __init__(self, settings, engines):
        """Create a service that sends orders through ``engines``.

        :param settings: the `FrontSettings`.
        """
        self._settings = settings
        self._engines = engines
        self._kernel = None
        self._lease = None
        self._directory = None
        self._configuration = None
        self._demand = None
        self._loads = WeightLoads(settings)
        self._surplus = None
        self._readiness = None
        self._term = 0
        self._losses = None

    def _start_term(self, term):
        self._term = term
        self._readiness.begin_term()
        self._epoch_count = 0
        self._forming_by_key = {}
        self._orders = OrderSender(self._kernel, self._engines, term)
        self._loads.begin_term(term, self._orders)
        self._losses = LossDetector(self._kernel, self._engines)
        self._endings = GroupEndings(self._kernel.clock, self._orders, self._losses)
        self._absences = AbsenceProber(self._kernel, self._engines)
        lifetime_s = self._settings.entry_lifetime_s
        self._confirmations = Confirmations(self._kernel, self._engines, lifetime_s)
        self._present_by_id = {}
        self._free_since_by_id = {}
        self._demand = DemandMeter(self._kernel)
        self._surplus = SurplusGroups()

    async def start(self, kernel):
        """Start the task that forms and repairs groups while the lease is held."""
        self._kernel = kernel
        self._loads.start(kernel.clock)
        self._lease = kernel.get("lease")
        self._directory = kernel.get("directory")
        self._configuration = kernel.get("serving_configuration")
        self._readiness = Readiness(kernel, first_start=self._settings.first_start)
        kernel.spawn(self.name, self._run, on_error=RestartOnError())

    async def stop(self):
        """Do nothing; the kernel ends the tasks."""

    def suspect_backend(self, backend_id):
        """Suspect the head ``backend_id``; the next pass probes its group."""
        if self._losses is not None:
            self._losses.suspect_head(backend_id)

    def record_first_request(self):
        """Limit loads of weights from now on, since callers send requests."""
        self._loads.record_first_request()

    async def _run(self):
        clock = self._kernel.clock
        while True:
            try:
                async with clock.timeout(POLL_INTERVAL_S):
                    await self._directory.changed.wait()
                # Changes that arrive close together are handled in one pass.
                await clock.sleep(0.02)
            except TimeoutError:
                pass
            if not self._lease.is_held():
                if self._term:
                    self._stop_leading()
                continue
            if self._term != self._lease.term:
                self._start_term(self._lease.term)
                log.notice("leading", term=self._term)
            self._confirmations.ask()
            if self._readiness.may_act():
                self._reconcile()

    def _stop_leading(self):
        self._term = 0
        self._demand.clear_gauges()
        log.notice("no longer leading")

    def _reconcile(self):
        for service in self._configuration.current.services_by_name.values():
            if service.engine is not None and service.engine.models:
                self._reconcile_service(service)

    def _reconcile_service(self, service):
        backends = [
            backend
            for backend in self._directory.backends_by_id.values()
            if backend.service == service.name
        ] + self._absences.present_members(service)
        self._present_by_id = {backend.id: backend for backend in backends}
        self._record_last_models(backends)
        groups = build_group_views(backends)
        specs = {spec.name: spec for spec in service.engine.models}
        models_by_key = {}
        busy_ids = set()
        for key, group in groups.items():
            if self._reconcile_group(service, key, group, specs):
                models_by_key[key] = group.model
                busy_ids.update(item.id for item in group.members_by_rank.values())
        for key, forming in list(self._forming_by_key.items()):
            if forming.service != service.name:
                continue
            if self._advance(forming, groups.get(key)):
                busy_ids.update(forming.members)
                models_by_key[key] = forming.model
            else:
                del self._forming_by_key[key]
        counts = Counter(models_by_key.values())
        now = self._kernel.clock.time()
        dissolving = self._endings.dissolving_domains(groups, now)
        free = [
            backend
            for backend in backends
            if backend.id not in busy_ids
            and backend.domain not in dissolving
            and backend.state is BackendState.READY
            and not self._losses.is_lost(backend.id)
            and not self._orders.may_still_join(backend.id)
            and backend.membership is None
            and backend.availability_zone not in self._directory.excluded_zones
            and self._confirmations.is_free(backend)
        ]
        sizes_by_domain = {}
        for backend in backends:
            if backend.state is BackendState.READY and not self._losses.is_lost(
                backend.id
            ):
                size = sizes_by_domain.get(backend.domain, 0)
                sizes_by_domain[backend.domain] = size + 1
        group_shares = self._demand.group_shares(service, now)
        self._surplus.update(
            groups.keys() | self._forming_by_key.keys(),
            self._demand.busy_by_model(service),
            counts,
            now,
        )
        # Targets follow the configuration; measured shares decide the order among
        # models and who gets backend servers beyond the targets.
        targets = target_counts(
            service.engine,
            sizes_by_domain,
            configured_group_shares(service.engine),
            spares=SPARES_PER_DOMAIN,
        )
        served = {
            (member.domain, group.model)
            for key, group in groups.items()
            if key in models_by_key
            for member in group.members_by_rank.values()
        }
        reserved_ids = self._form(
            service, free, counts, targets, group_shares, served=served
        )
        spares = [backend for backend in free if backend.id not in reserved_ids]
        self._loads.stage_on_spares(service, spares, groups.values())

    def _record_last_models(self, backends):
        for backend in backends:
            membership = backend.membership
            if membership is not None and membership.state in LOADED_STATES:
                model = model_of(membership.group)
                self._loads.weights.record_served(backend, model)

    def _reconcile_group(self, service, key, group, specs):
        """Open a complete group; adopt or dissolve an incomplete one.

        An incomplete group that is being formed is left to `_advance`, one that is
        known by entries that may be older copies is left as it is.

        :return: whether the group is complete and its members stay in it.
        """
        spec = specs.get(group.model)
        size = spec.size if spec else 0
        if key not in self._forming_by_key and self._confirmations.is_in_doubt(group):
            return True
        complete = group.is_complete(size) and not any(
            self._losses.is_lost(item.id) for item in group.members_by_rank.values()
        )
        if complete:
            if self._surplus.is_closing(key):
                self._endings.give_back(group)
                return False
            if group.head.membership.state is MemberState.READY:
                self._orders.send(group.head, OpenGroup(group.name, group.epoch))
            else:
                self._losses.probe_if_suspect(group)
            return True
        if key in self._forming_by_key:
            return False
        if spec is not None and can_adopt(group, spec, self._losses):
            self._adopt(service, group, spec)
            return False
        self._endings.dissolve(group)
        return False

    def _adopt(self, service, group, spec):
        now = self._kernel.clock.time()
        members = [group.members_by_rank[rank] for rank in range(spec.size)]
        loading = sum(
            item.membership.state is MemberState.JOINING
            and spec.name not in item.staged
            for item in members
        )
        self._loads.record_running(loading, spec.load_s)
        forming = FormingGroup(
            service.name,
            spec,
            name=group.name,
            epoch=group.epoch,
            members=tuple(item.id for item in members),
            now=now,
        )
        self._forming_by_key[(group.name, group.epoch)] = forming
        log.info("group adopted", group=group.name, members=forming.members)

    def _form(self, service, free, counts, targets, group_shares, *, served):
        """Form the planned groups; load weights for those that lack some.

        The members of a group that lacks weights stay free while these load, if their
        fabric domain has another group of the model: those who hold the weights can
        replace a member that it loses meanwhile.

        :param served: pairs of a fabric domain and a model that has a group there.
        :return: the ids of backend servers that are kept for a group.
        """
        now = self._kernel.clock.time()
        planned_groups = plan_groups(
            service.engine,
            free,
            counts,
            self._loads.weights,
            targets,
            group_shares,
            spares=SPARES_PER_DOMAIN,
            overloaded=self._demand.overloaded_models(service),
            now=now,
        )
        reserved_ids = self._recently_freed(free)
        for planned in planned_groups:
            reserved_ids.update(member.id for member in planned.members)
            if self._loads.come_first(planned, served):
                self._loads.load_for_group(
                    service, planned, list_revision=self._directory.revision
                )
                continue
            if not self._loads.admit_join(service, planned):
                continue
            self._epoch_count += 1
            epoch = self._term * EPOCHS_PER_TERM + self._epoch_count
            name = group_name(planned.model.name, epoch)
            forming = FormingGroup(
                service.name,
                planned.model,
                name=name,
                epoch=epoch,
                members=tuple(member.id for member in planned.members),
                now=now,
            )
            self._forming_by_key[(name, epoch)] = forming
            if planned.is_surplus:
                self._surplus.add((name, epoch), planned.model.name)
            log.info(
                "forming group",
                group=name,
                members=forming.members,
                loads=planned.loads,
                of_spares=planned.is_surplus,
                list_rev=self._directory.revision,
                term=self._term,
            )
            self._advance(forming, None)
        return reserved_ids

    def _recently_freed(self, free):
        """Return the ids of ``free`` that hold weights and became free lately."""
        now = self._kernel.clock.time()
        known = self._free_since_by_id
        self._free_since_by_id = {
            item.id: known.get(item.id, now) for item in free if item.staged
        }
        return {
            id_
            for id_, since in self._free_since_by_id.items()
            if now - since < KEEP_WEIGHTS_S
        }

    def _advance(self, forming, group):
        """Send the joins that ``forming`` still needs, or abandon it.

        :return: whether it is still being formed; not so once its head is open.
        """
        now = self._kernel.clock.time()
        backends = [self._present_by_id.get(id_) for id_ in forming.members]
        unusable_ids = [
            id_
            for id_, item in zip(forming.members, backends, strict=True)
            if item is None
            or item.state is not BackendState.READY
            or self._losses.is_lost(id_)
        ]
        size = len(forming.members)
        if group is not None and group.is_complete(size):
            return group.head.membership.state is not MemberState.OPEN
        joined = group is not None and len(group.members_by_rank) == size
        if unusable_ids or now > (
            forming.ready_deadline if joined else forming.join_deadline
        ):
            log.info(
                "forming abandoned",
                group=forming.name,
                lost=unusable_ids,
                term=self._term,
            )
            for item in backends:
                if item is not None and item.id not in unusable_ids:
                    self._orders.send(item, LeaveGroup(forming.name, forming.epoch))
            return False
        join = JoinGroup(forming.name, forming.epoch, forming.model, forming.members)
        for backend in backends:
            membership = backend.membership
            if membership is None or (membership.group, membership.epoch) != (
                forming.name,
                forming.epoch,
            ):
                self._orders.send(backend, join)
        return True
