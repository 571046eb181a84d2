"""Plans which VMs form which model group."""

import math
from dataclasses import dataclass, replace

from pimentogap.groups._decisions import DecisionKind
from pimentogap.types import SURPLUS_PREFIX, AssignedVm, Assignment, VmState

ABSENCE_TIMEOUT_S = 2.0
MIN_DRAIN_S = 3.0
DRAIN_TIMEOUT_S = 600.0
# First quarantine of a VM that restarts often; it doubles with each further restart.
QUARANTINE_S = 30.0
# Groups that may load weights at once in a region without a configured weight store.
DEFAULT_LOADS_AT_ONCE = 4


@dataclass(frozen=True, slots=True)
class Intact:
    """Every VM of the generation is up, and none is to leave."""


@dataclass(frozen=True, slots=True)
class Broken:
    """VMs of the generation are gone or were restarted."""

    lost_vms: tuple


@dataclass(frozen=True, slots=True)
class Departing:
    """The generation is to end although its VMs are up; ``cause`` says why."""

    cause: str


@dataclass(frozen=True, slots=True)
class PlanDecision:
    """What the planner decided about one group; a `Decision` without id and time."""

    group: str
    action: DecisionKind
    seen: str
    chosen: str
    rejected: tuple = ()
    vms: tuple = ()


class FleetView:
    """What the controller knows of VMs and engines at one moment.

    ``ready``, ``idle`` and ``suspected`` hold the keys of generations; a suspected
    one was seen incomplete by a daemon that routes to it. ``unreachable_vms`` holds
    the VMs whose engine did not answer the controller, ``cached_by_vm`` the weights
    that each VM holds, as MODEL/VERSION. ``absent_since_by_vm``,
    ``quarantined_until_by_vm``, ``draining_since_by_key`` and ``now`` are in seconds
    of the runtime's clock.
    """

    __slots__ = (
        "now",
        "vms_by_id",
        "leaving_vms",
        "absent_since_by_vm",
        "quarantined_until_by_vm",
        "ready",
        "idle",
        "draining_since_by_key",
        "suspected",
        "unreachable_vms",
        "cached_by_vm",
    )

    def __init__(self, *, now, vms_by_id):
        self.now = now
        self.vms_by_id = vms_by_id
        self.leaving_vms = frozenset()
        self.absent_since_by_vm = {}
        self.quarantined_until_by_vm = {}
        self.ready = frozenset()
        self.idle = frozenset()
        self.draining_since_by_key = {}
        self.suspected = frozenset()
        self.unreachable_vms = frozenset()
        self.cached_by_vm = {}

    def is_leaving(self, vm_id):
        """Return whether a VM is to leave, so that it gets no new work."""
        vm = self.vms_by_id.get(vm_id)
        return vm_id in self.leaving_vms or (
            vm is not None and vm.state == VmState.LEAVING
        )

    def is_usable(self, vm):
        """Return whether a VM may join a new generation."""
        quarantined = self.quarantined_until_by_vm.get(vm.id, -math.inf) > self.now
        reachable = vm.id not in self.unreachable_vms
        return reachable and not quarantined and not self.is_leaving(vm.id)

    def has_lost(self, assignment, member):
        """Return whether an assigned VM is gone or was restarted.

        The platform's list lags and flickers, so absence from it alone counts as
        a loss only after `ABSENCE_TIMEOUT_S`. A VM that does not answer the
        controller counts as lost at once if a daemon that routes to the group has
        seen the group incomplete, too. So a controller that is cut off itself ends
        no group.
        """
        vm = self.vms_by_id.get(member.id)
        if vm is not None and vm.incarnation != member.incarnation:
            return True
        if member.id in self.unreachable_vms and assignment.key in self.suspected:
            return True
        since = self.absent_since_by_vm.get(member.id, self.now)
        return vm is None and self.now - since >= ABSENCE_TIMEOUT_S


class Planner:
    """Computes the next assignments of one region from the present ones."""

    __slots__ = (
        "_region",
        "_groups",
        "_services",
        "_view",
        "_next_assignments",
        "_free_by_domain",
        "_loading",
        "_loads_at_once",
        "_broken_domain_by_group",
        "_generations",
        "decisions",
    )

    def __init__(self, *, region, configuration, view):
        """Create a planner for one plan.

        :param configuration: the `pimentogap.tickets.Configuration` in force.
        :param view: the `FleetView` at this moment.
        """
        self._region = region
        groups = configuration.by_name("model_group").values()
        self._groups = {g.name: g for g in groups if g.region == region}
        self._services = configuration.by_name("model_service")
        self._view = view
        self._next_assignments = []
        self._free_by_domain = {}
        self._loading = 0
        weight_store = configuration.get("weight_store", region)
        self._loads_at_once = (
            weight_store.loads_at_once if weight_store else DEFAULT_LOADS_AT_ONCE
        )
        self._broken_domain_by_group = {}
        self._generations = {}
        self.decisions = []

    def plan(self, assignments, generations):
        """Return the next assignments.

        :param assignments: the present `Assignment` objects.
        :param generations: the highest generation ever given to each group, by its
            name; it is updated in place.
        """
        self._generations = generations
        for assignment in assignments:
            self._keep_or_end(assignment)
        self._collect_free_vms()
        self._loading = sum(
            a.key not in self._view.ready for a in self._next_assignments
        )
        for group in self._groups.values():
            self._ensure_generation(group)
        self._form_surplus()
        return self._next_assignments

    def _keep_or_end(self, assignment):
        match self._condition(assignment):
            case Broken(lost):
                self._broken_domain_by_group[assignment.group] = (
                    assignment.fabric_domain
                )
                self._record_decision(
                    assignment.group,
                    DecisionKind.END,
                    f"generation {assignment.generation} lost " + ", ".join(lost),
                    "its other VMs are free",
                    vms=_vm_ids(assignment.vms),
                )
            case Departing(cause) if assignment.draining:
                if not self._is_drained(assignment):
                    self._next_assignments.append(assignment)
                    return
                self._record_decision(
                    assignment.group,
                    DecisionKind.END,
                    f"generation {assignment.generation} is drained: {cause}",
                    "its VMs are free",
                    vms=_vm_ids(assignment.vms),
                )
            case _:
                self._next_assignments.append(assignment)

    def _condition(self, assignment):
        has_lost = self._view.has_lost
        lost = tuple(m.id for m in assignment.vms if has_lost(assignment, m))
        if lost:
            return Broken(lost)
        if assignment.draining:
            return Departing("planned")
        leaving = [m.id for m in assignment.vms if self._view.is_leaving(m.id)]
        if leaving:
            return Departing("leaving: " + ", ".join(leaving))
        service = self._services.get(assignment.service)
        if service is None or not self._is_wanted(assignment):
            return Departing("no longer configured")
        if (assignment.model, assignment.version) != (service.model, service.version):
            return Departing(f"version {service.version} replaces {assignment.version}")
        if len(assignment.vms) != service.vms_per_group:
            return Departing(f"{service.vms_per_group} VMs a group are configured")
        return Intact()

    def _is_wanted(self, assignment):
        group = self._groups.get(assignment.group)
        if group is None:
            return assignment.group.startswith(SURPLUS_PREFIX)
        if group.service != assignment.service:
            return False
        if group.fabric_domain and group.fabric_domain != assignment.fabric_domain:
            return False
        return not group.vms or set(group.vms) == {m.id for m in assignment.vms}

    def _is_drained(self, assignment):
        since = self._view.draining_since_by_key.get(assignment.key)
        if since is None:
            return False
        waited_s = self._view.now - since
        idle = assignment.key in self._view.idle and waited_s >= MIN_DRAIN_S
        return idle or waited_s >= DRAIN_TIMEOUT_S

    def _collect_free_vms(self):
        assigned_ids = {member.id for a in self._next_assignments for member in a.vms}
        for vm in sorted(self._view.vms_by_id.values(), key=lambda vm: vm.id):
            free = vm.region == self._region and vm.id not in assigned_ids
            if free and self._view.is_usable(vm):
                self._free_by_domain.setdefault(vm.fabric_domain, []).append(vm)

    def _ensure_generation(self, group):
        """Keep the intact generation of ``group``; else replace or form one."""
        service = self._services.get(group.service)
        if service is None:
            return
        present = [a for a in self._next_assignments if a.group == group.name]
        active = [a for a in present if not a.draining]
        intact = [a for a in active if isinstance(self._condition(a), Intact)]
        if intact:
            self._drain_older(intact[-1], active)
        elif active:
            self._replace_departing(group, service, active[-1])
        elif not present or self._has_candidate(group, service):
            self._form(group, service, DecisionKind.FORM, "no generation serves it")

    def _drain_older(self, newest, active):
        if newest.key not in self._view.ready:
            return
        for assignment in active:
            if assignment is not newest:
                self._drain(assignment, f"generation {newest.generation} is ready")

    def _replace_departing(self, group, service, assignment):
        """Form a successor if VMs are free; else drain the departing generation."""
        cause = self._condition(assignment).cause
        if self._has_candidate(group, service):
            self._form(group, service, DecisionKind.REPLACE, cause)
        else:
            self._drain(assignment, f"{cause}; no VMs are free for a successor")

    def _drain(self, assignment, seen):
        index = self._next_assignments.index(assignment)
        self._next_assignments[index] = replace(assignment, draining=True)
        self._record_decision(
            assignment.group,
            DecisionKind.DRAIN,
            seen,
            f"generation {assignment.generation} gets no new requests",
            vms=_vm_ids(assignment.vms),
        )

    def _has_candidate(self, group, service):
        return bool(self._candidates(group, service)[0])

    def _candidates(self, group, service):
        """Return the fabric domains that have the VMs for the group, best first.

        :return: the domains, and for operators why others were rejected.
        """
        size = service.vms_per_group
        fitting, rejected = [], []
        for domain, free in self._free_by_domain.items():
            if group.fabric_domain and domain != group.fabric_domain:
                continue
            if group.vms:
                if set(group.vms) <= {vm.id for vm in free}:
                    fitting.append(domain)
            elif len(free) >= size:
                fitting.append(domain)
            else:
                rejected.append(f"{domain}: {len(free)} of {size} VMs free")
        fitting.sort(key=lambda domain: self._cost(group, service, domain))
        return fitting, tuple(rejected[:8])

    def _cost(self, group, service, domain):
        """Return the sort key of a fabric domain; the lowest is the best.

        The domain of the group's broken generation comes first, since its VMs may
        still hold the weights. For a service whose ``downtime_weight`` is above 0.5,
        one that keeps a spare is next. Then comes the tightest fit.
        """
        spare_count = len(self._free_by_domain[domain]) - service.vms_per_group
        is_same_domain = self._broken_domain_by_group.get(group.name) == domain
        no_spare = service.downtime_weight > 0.5 and spare_count == 0
        return (not is_same_domain, no_spare, spare_count, domain)

    def _form(self, group, service, action, seen):
        if self._loading >= self._loads_at_once:
            chosen = f"wait: {self._loading} groups are loading weights"
            self._record_decision(group.name, DecisionKind.WAIT, seen, chosen)
            return
        fitting, rejected = self._candidates(group, service)
        if not fitting:
            if self._drain_surplus(group, service):
                return
            self._record_decision(
                group.name, DecisionKind.WAIT, seen, "wait for VMs", rejected
            )
            return
        if group.name in self._broken_domain_by_group:
            action = DecisionKind.REPAIR
        self._assign(group.name, service, fitting[0], group.vms, action, seen, rejected)

    def _assign(self, name, service, domain, pinned_vms, action, seen, rejected=()):
        free = self._free_by_domain[domain]
        if pinned_vms:
            by_id = {vm.id: vm for vm in free}
            chosen = [by_id[vm_id] for vm_id in pinned_vms]
        else:
            weights = f"{service.model}/{service.version}"
            cached_by_vm = self._view.cached_by_vm
            free = sorted(
                free, key=lambda vm: weights not in cached_by_vm.get(vm.id, ())
            )
            chosen = free[: service.vms_per_group]
        ids = {vm.id for vm in chosen}
        self._free_by_domain[domain] = [vm for vm in free if vm.id not in ids]
        generation = self._generations.get(name, 0) + 1
        self._generations[name] = generation
        self._loading += 1
        assignment = Assignment(
            group=name,
            service=service.name,
            model=service.model,
            version=service.version,
            generation=generation,
            fabric_domain=domain,
            availability_zone=chosen[0].availability_zone,
            vms=tuple(
                AssignedVm(id=vm.id, incarnation=vm.incarnation, address=vm.address)
                for vm in chosen
            ),
        )
        self._next_assignments.append(assignment)
        self._record_decision(
            name,
            action,
            seen,
            f"generation {generation} in {domain}",
            rejected,
            _vm_ids(assignment.vms),
        )

    def _drain_surplus(self, group, service):
        """Drain a surplus group whose VMs make room for ``group``.

        :return: whether there was such a surplus group.
        """
        for assignment in self._next_assignments:
            if assignment.group in self._groups or assignment.draining:
                continue
            domain = assignment.fabric_domain
            if group.fabric_domain not in ("", domain):
                continue
            free = len(self._free_by_domain.get(domain, ()))
            if free + len(assignment.vms) < service.vms_per_group:
                continue
            self._drain(assignment, f"{group.name} needs VMs of {domain}")
            self._record_decision(
                group.name,
                DecisionKind.GIVE_UP_SURPLUS,
                "no VMs are free",
                f"VMs of {assignment.group}",
                vms=_vm_ids(assignment.vms),
            )
            return True
        return False

    def _form_surplus(self):
        """Form surplus groups of VMs that neither groups nor spares need."""
        present = {a.group for a in self._next_assignments}
        if any(name not in present for name in self._groups):
            return
        for service in self._services.values():
            size = service.vms_per_group
            spares = math.ceil(service.downtime_weight * size)
            for domain in sorted(self._free_by_domain):
                index = 0
                while len(self._free_by_domain[domain]) >= size + spares:
                    if self._loading >= self._loads_at_once:
                        return
                    name = f"{SURPLUS_PREFIX}{service.name}.{domain}.{index}"
                    index += 1
                    if name in present:
                        continue
                    seen = f"{len(self._free_by_domain[domain])} VMs are free"
                    self._assign(name, service, domain, (), DecisionKind.FORM, seen)

    def _record_decision(self, group, action, seen, chosen, rejected=(), vms=()):
        self.decisions.append(
            PlanDecision(group, action, seen, chosen, tuple(rejected), tuple(vms))
        )


def _vm_ids(members):
    return tuple(member.id for member in members)
