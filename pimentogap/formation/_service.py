"""The service that makes, opens, repairs and dissolves model groups."""

from collections import Counter

from logbook import Logger

from pimentogap.directory import MODEL_SEPARATOR, group_name, groups_of
from pimentogap.formation._demand import DemandMeter
from pimentogap.formation._forming import Forming
from pimentogap.formation._limiter import LoadLimiter
from pimentogap.formation._losses import LossWatch
from pimentogap.formation._orders import OrderSender
from pimentogap.formation._plan import (
    SPARES_FOR_EACH_DOMAIN,
    configured_wants,
    plan_groups,
    target_counts,
)
from pimentogap.formation._staging import SpareStaging
from pimentogap.kernel import RestartOnError
from pimentogap.types import (
    BackendState,
    CloseGroup,
    JoinGroup,
    LeaveGroup,
    MemberState,
    OpenGroup,
    StageWeights,
)

log = Logger("formation")

TICK_S = 0.15
# A new leader lets the list settle before it changes anything.
SETTLE_S = 0.5
# At the first start of all, backend servers enter the list one after the other.
FIRST_LIST_STILL_S = 0.8
FIRST_LIST_S = 5.0
EPOCHS_FOR_EACH_TERM = 100000
SERVING_STATES = (MemberState.OPEN, MemberState.CLOSING)
LOADED_STATES = (MemberState.READY, MemberState.OPEN, MemberState.CLOSING)
# Loads before the first request take a tenth of the time and are not counted.
FREE_LOADS_S = 9.0
SETTLING_S = 1.0


class FormationService:
    """Keeps as many complete groups as the backend servers allow.

    Only the holder of the lease acts. What is intended is read from the members
    themselves: a group's name and epoch are never used twice, so a successor
    finds every group as it is and dissolves what is not whole.
    """

    name = "formation"
    requires = ("lease", "directory", "serving_configuration", "placement", "metrics")
    __slots__ = (
        "_settings",
        "_engines",
        "_kernel",
        "_lease",
        "_directory",
        "_configuration",
        "_limiter",
        "_term",
        "_term_since",
        "_epoch_count",
        "_forming_by_key",
        "_orders",
        "_last_model_by_id",
        "_losses",
        "_dissolving_since_by_key",
        "_demand",
        "_staging",
        "_started_at",
        "_list_size",
        "_list_size_since",
    )

    def __init__(self, settings, engines):
        """Give orders through ``engines``.

        :param settings: the `FrontSettings`.
        """
        self._settings = settings
        self._engines = engines
        self._kernel = None
        self._lease = None
        self._directory = None
        self._configuration = None
        self._demand = None
        self._limiter = LoadLimiter(settings.load_window_s)
        self._last_model_by_id = {}
        self._started_at = 0.0
        self._list_size = 0
        self._list_size_since = 0.0
        self._term = 0
        self._losses = None

    def _reset(self, term, now):
        self._term = term
        self._term_since = now
        self._limiter.restart(now)
        self._epoch_count = 0
        self._forming_by_key = {}
        self._orders = OrderSender(self._kernel, self._engines, term)
        self._losses = LossWatch(self._kernel, self._engines)
        self._dissolving_since_by_key = {}
        self._demand = DemandMeter(self._kernel)
        self._staging = SpareStaging()

    async def start(self, kernel):
        """Begin to act whenever the lease is held."""
        self._kernel = kernel
        self._started_at = kernel.clock.time()
        self._lease = kernel.get("lease")
        self._directory = kernel.get("directory")
        self._configuration = kernel.get("serving_configuration")
        kernel.spawn(self.name, self._run, on_error=RestartOnError())

    async def stop(self):
        """Do nothing; the kernel ends the tasks."""

    def alarm(self, backend_id):
        """Ask the members of the head ``backend_id`` at the next turn."""
        if self._losses is not None:
            self._losses.alarm(backend_id)

    async def _run(self):
        clock = self._kernel.clock
        while True:
            try:
                async with clock.timeout(TICK_S):
                    await self._directory.changed.wait()
                await clock.sleep(0.02)
            except TimeoutError:
                pass
            if not self._lease.is_held():
                if self._term:
                    self._stop_leading()
                continue
            if self._term != self._lease.term:
                self._reset(self._lease.term, clock.time())
                log.notice("leading", term=self._term)
            if self._is_settled():
                self._act()

    def _stop_leading(self):
        self._term = 0
        self._demand.hide()
        log.notice("no longer leading")

    def _is_settled(self):
        now = self._kernel.clock.time()
        if not self._directory.loaded or self._configuration.current is None:
            return False
        if self._settings.first_start and self._term == 1:
            size = len(self._directory.backends_by_id)
            if size != self._list_size:
                self._list_size, self._list_size_since = size, now
            still_s = now - self._list_size_since
            if still_s < FIRST_LIST_STILL_S and now - self._term_since < FIRST_LIST_S:
                return False
        return now - self._term_since >= SETTLE_S

    def _act(self):
        for service in self._configuration.current.services_by_name.values():
            if service.engine is not None and service.engine.models:
                self._act_for(service)

    def _act_for(self, service):
        backends = [
            backend
            for backend in self._directory.backends_by_id.values()
            if backend.service == service.name
        ]
        self._note_models(backends)
        groups = groups_of(backends)
        specs = {spec.name: spec for spec in service.engine.models}
        models_by_key = {}
        busy_ids = set()
        for key, group in groups.items():
            if self._keep_group(service, key, group, specs):
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
        settling = self._settling_domains(groups, now)
        free = [
            backend
            for backend in backends
            if backend.id not in busy_ids
            and backend.domain not in settling
            and backend.state is BackendState.READY
            and not self._losses.is_lost(backend.id)
            and not self._orders.is_unsettled(backend.id)
            and backend.membership is None
        ]
        sizes_by_domain = {}
        for backend in backends:
            if backend.state is BackendState.READY and not self._losses.is_lost(
                backend.id
            ):
                size = sizes_by_domain.get(backend.domain, 0)
                sizes_by_domain[backend.domain] = size + 1
        wants = self._demand.wants(service, now)
        targets = target_counts(
            service.engine,
            sizes_by_domain,
            configured_wants(service.engine),
            spares=SPARES_FOR_EACH_DOMAIN,
        )
        self._form(service, free, counts, targets, wants)
        self._stage_spares(service, free, groups)

    def _settling_domains(self, groups, now):
        """Return the domains in which members are just leaving a dissolved group.

        Those have the weights at hand; waiting for them spares the spares.
        """
        since_by_key = self._dissolving_since_by_key
        for key in [key for key in since_by_key if key not in groups]:
            del since_by_key[key]
        return {
            member.domain
            for key, since in since_by_key.items()
            if now - since < SETTLING_S
            for member in groups[key].members_by_rank.values()
            if not self._losses.is_lost(member.id)
        }

    def _note_models(self, backends):
        for backend in backends:
            place = backend.membership
            if place is not None and place.state in LOADED_STATES:
                model = place.group.partition(MODEL_SEPARATOR)[0]
                self._last_model_by_id[backend.id] = model

    def _keep_group(self, service, key, group, specs):
        """Open a whole group, dissolve a broken one; tell whether it is to be kept."""
        spec = specs.get(group.model)
        size = spec.size if spec else 0
        whole = group.is_complete(size) and not any(
            self._losses.is_lost(item.id) for item in group.members_by_rank.values()
        )
        if whole:
            if group.head.membership.state is MemberState.READY:
                self._orders.ask(group.head, OpenGroup(group.name, group.epoch))
            else:
                self._losses.probe_if_silent(group)
            return True
        if key in self._forming_by_key:
            return False
        if spec is not None and self._may_adopt(group, spec):
            self._adopt(service, group, spec)
            return False
        self._dissolve(group)
        return False

    def _may_adopt(self, group, spec):
        """Tell whether another leader's group is still on its way to be whole."""
        members = group.members_by_rank
        return set(members) == set(range(spec.size)) and all(
            not self._losses.is_lost(item.id)
            and item.state is BackendState.READY
            and item.membership.state in (MemberState.JOINING, MemberState.READY)
            for item in members.values()
        )

    def _adopt(self, service, group, spec):
        now = self._kernel.clock.time()
        members = [group.members_by_rank[rank] for rank in range(spec.size)]
        loading = sum(
            item.membership.state is MemberState.JOINING
            and spec.name not in item.staged
            for item in members
        )
        self._limiter.note(loading, now, load_s=spec.load_s)
        forming = Forming(
            service.name,
            spec,
            name=group.name,
            epoch=group.epoch,
            members=tuple(item.id for item in members),
            now=now,
        )
        self._forming_by_key[(group.name, group.epoch)] = forming
        log.info("group adopted", group=group.name, members=forming.members)

    def _dissolve(self, group):
        """Have the members of a group that cannot serve leave it.

        Nobody joins another group before the list shows that it has left: the
        list may be older than the head's state, and a head that is not listed
        may still be open.
        """
        now = self._kernel.clock.time()
        self._dissolving_since_by_key.setdefault((group.name, group.epoch), now)
        members = group.members_by_rank.values()
        lost = any(self._losses.is_lost(item.id) for item in members)
        draining = any(item.state is BackendState.DRAINING for item in members)
        head = group.head
        if head is not None and not self._losses.is_lost(head.id):
            if head.membership.state is MemberState.OPEN:
                preempt = lost or not draining
                self._orders.ask(head, CloseGroup(group.name, group.epoch, preempt))
                if not preempt:
                    return
            elif head.membership.state is MemberState.CLOSING and not lost:
                return
        for member in members:
            if self._losses.is_lost(member.id) or (
                member is head and head.membership.state in SERVING_STATES
            ):
                continue
            self._orders.ask(member, LeaveGroup(group.name, group.epoch))

    def _form(self, service, free, counts, targets, wants):
        plans = plan_groups(
            service.engine,
            free,
            counts,
            self._last_model_by_id,
            targets,
            wants,
            spares=SPARES_FOR_EACH_DOMAIN,
        )
        now = self._kernel.clock.time()
        for plan in plans:
            if not self._may_load(service, plan, now):
                continue
            self._epoch_count += 1
            epoch = self._term * EPOCHS_FOR_EACH_TERM + self._epoch_count
            name = group_name(plan.model.name, epoch)
            forming = Forming(
                service.name,
                plan.model,
                name=name,
                epoch=epoch,
                members=tuple(member.id for member in plan.members),
                now=now,
            )
            self._forming_by_key[(name, epoch)] = forming
            log.info(
                "forming group",
                group=name,
                members=forming.members,
                loads=plan.loads,
                list_rev=self._directory.revision,
                term=self._term,
            )
            self._advance(forming, None)

    def _advance(self, forming, group):
        """Send what the forming group still needs; tell whether to go on with it."""
        now = self._kernel.clock.time()
        backends = [self._directory.backends_by_id.get(id_) for id_ in forming.members]
        lost = [
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
        if lost or now > (forming.ready_by if joined else forming.join_by):
            log.info("group given up", group=forming.name, lost=lost, term=self._term)
            for item in backends:
                if item is not None and item.id not in lost:
                    self._orders.ask(item, LeaveGroup(forming.name, forming.epoch))
            return False
        join = JoinGroup(forming.name, forming.epoch, forming.model, forming.members)
        for backend in backends:
            place = backend.membership
            if place is None or (place.group, place.epoch) != (
                forming.name,
                forming.epoch,
            ):
                self._orders.ask(backend, join)
        return True

    def _may_load(self, service, plan, now):
        if not plan.loads or self._loads_are_free():
            return True
        return self._limiter.admit_group(
            service.engine, plan.loads, now, load_s=plan.model.load_s
        )

    def _may_stage(self, service, load_s):
        now = self._kernel.clock.time()
        return self._loads_are_free() or self._limiter.admit_staging(
            service.engine, now, load_s=load_s
        )

    def _loads_are_free(self):
        age_s = self._kernel.clock.time() - self._started_at
        served = self._kernel.get("forwarding").served
        return self._settings.first_start and age_s < FREE_LOADS_S and not served

    def _stage_spares(self, service, free, groups):
        """Have weights loaded onto hosts in no group, for the next repair."""
        forming = {id_ for f in self._forming_by_key.values() for id_ in f.members}
        spares_by_domain = {}
        for backend in free:
            if backend.id not in forming and backend.membership is None:
                spares_by_domain.setdefault(backend.domain, []).append(backend)
        specs_by_name = {spec.name: spec for spec in service.engine.models}
        for domain, spares in spares_by_domain.items():
            members = Counter(
                group.model
                for group in groups.values()
                for item in group.members_by_rank.values()
                if item.domain == domain
            )
            # A model without a group there still counts a little.
            weights = {
                name: (members[name] + 0.5) * spec.load_s
                for name, spec in specs_by_name.items()
            }
            for backend, model in self._staging.choose(spares, weights):
                load_s = specs_by_name[model].load_s
                if self._may_stage(service, load_s):
                    self._staging.note(backend, model)
                    self._orders.ask(backend, StageWeights(model))
