"""Plans which VMs make up which model group."""

import math
from dataclasses import dataclass, replace

from pimentogap.groups._decisions import Action
from pimentogap.types import SURPLUS_PREFIX, AssignedVm, Assignment, VmState

ABSENT_CONFIRM_S = 2.0
DRAIN_MINIMUM_S = 3.0
DRAIN_LIMIT_S = 600.0
QUARANTINE_S = 30.0
LOADS_AT_ONCE = 4


@dataclass(frozen=True, slots=True)
class Intact:
    """Every VM of the generation is up and staying."""


@dataclass(frozen=True, slots=True)
class Broken:
    """VMs of the generation are gone or were restarted."""

    lost_vms: tuple


@dataclass(frozen=True, slots=True)
class Departing:
    """VMs of the generation are to leave, or its model is to be replaced."""

    cause: str


@dataclass(frozen=True, slots=True)
class PlanDecision:
    """What the planner decided about one group, without the time of it."""

    group: str
    action: Action
    seen: str
    chosen: str
    rejected: tuple = ()
    vms: tuple = ()


class FleetView:
    """What the controller sees of VMs and engines at one moment.

    ``ready``, ``idle`` and ``doubted`` hold the keys of generations; a daemon that
    routes to a doubted one has seen it incomplete. ``unreachable_vms`` did not
    answer the controller. ``cached_by_vm`` names the weights that VMs hold.
    ``absent_since_by_vm``, ``quarantined_until_by_vm`` and
    ``draining_since_by_key`` are in seconds of the runtime's clock, as ``now`` is.
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
        "doubted",
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
        self.doubted = frozenset()
        self.unreachable_vms = frozenset()
        self.cached_by_vm = {}

    def is_leaving(self, vm_id):
        """Return whether a VM is to get no new work."""
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

        The list alone is believed after a while, since it lags and flickers. A
        VM that does not answer is believed lost at once if a daemon that routes
        to the group has seen it incomplete, too: a controller that is cut off
        itself ends no group.
        """
        vm = self.vms_by_id.get(member.id)
        if vm is not None and vm.incarnation != member.incarnation:
            return True
        if member.id in self.unreachable_vms and assignment.key in self.doubted:
            return True
        since = self.absent_since_by_vm.get(member.id, self.now)
        return vm is None and self.now - since >= ABSENT_CONFIRM_S


class Planner:
    """Works out the next assignments of one region from the present ones."""

    __slots__ = (
        "_region",
        "_groups",
        "_services",
        "_view",
        "_kept",
        "_free_by_domain",
        "_loading",
        "_loads_at_once",
        "_warm_domain_by_group",
        "_generations",
        "decisions",
    )

    def __init__(self, *, region, configuration, view):
        """Prepare to plan.

        :param configuration: the `pimentogap.tickets.Configuration` in force.
        :param view: the `FleetView` at this moment.
        """
        self._region = region
        groups = configuration.by_name("model_group").values()
        self._groups = {g.name: g for g in groups if g.region == region}
        self._services = configuration.by_name("model_service")
        self._view = view
        self._kept = []
        self._free_by_domain = {}
        self._loading = 0
        limit = configuration.get("weight_store", region)
        self._loads_at_once = limit.loads_at_once if limit else LOADS_AT_ONCE
        self._warm_domain_by_group = {}
        self._generations = {}
        self.decisions = []

    def plan(self, assignments, generations):
        """Return the next assignments.

        :param assignments: the present `Assignment` objects.
        :param generations: the highest generation ever given to each group.
        """
        self._generations = generations
        for assignment in assignments:
            self._keep_or_end(assignment)
        self._count_free()
        self._loading = sum(a.key not in self._view.ready for a in self._kept)
        for group in self._groups.values():
            self._provide(group)
        self._form_surplus()
        return self._kept

    def _keep_or_end(self, assignment):
        match self._condition(assignment):
            case Broken(lost):
                self._warm_domain_by_group[assignment.group] = assignment.fabric_domain
                self._decide(
                    assignment.group,
                    Action.END,
                    f"generation {assignment.generation} lost " + ", ".join(lost),
                    "its other VMs are free",
                    vms=_ids(assignment.vms),
                )
            case Departing(cause) if assignment.draining:
                if not self._drained(assignment):
                    self._kept.append(assignment)
                    return
                self._decide(
                    assignment.group,
                    Action.END,
                    f"generation {assignment.generation} is drained: {cause}",
                    "its VMs are free",
                    vms=_ids(assignment.vms),
                )
            case _:
                self._kept.append(assignment)

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

    def _drained(self, assignment):
        since = self._view.draining_since_by_key.get(assignment.key)
        if since is None:
            return False
        waited = self._view.now - since
        idle = assignment.key in self._view.idle and waited >= DRAIN_MINIMUM_S
        return idle or waited >= DRAIN_LIMIT_S

    def _count_free(self):
        taken = {member.id for a in self._kept for member in a.vms}
        for vm in sorted(self._view.vms_by_id.values(), key=lambda vm: vm.id):
            free = vm.region == self._region and vm.id not in taken
            if free and self._view.is_usable(vm):
                self._free_by_domain.setdefault(vm.fabric_domain, []).append(vm)

    def _provide(self, group):
        """See to it that ``group`` has a whole generation, or will have."""
        service = self._services.get(group.service)
        if service is None:
            return
        present = [a for a in self._kept if a.group == group.name]
        active = [a for a in present if not a.draining]
        intact = [a for a in active if isinstance(self._condition(a), Intact)]
        if intact:
            self._retire_older(intact[-1], active)
        elif active:
            self._replace(group, service, active[-1])
        elif not present or self._room(group, service):
            self._form(group, service, Action.FORM, "no generation serves it")

    def _retire_older(self, newest, active):
        if newest.key not in self._view.ready:
            return
        for assignment in active:
            if assignment is not newest:
                self._drain(assignment, f"generation {newest.generation} is ready")

    def _replace(self, group, service, assignment):
        """Make a successor before the departing generation ends, if VMs allow."""
        cause = self._condition(assignment).cause
        if self._room(group, service):
            self._form(group, service, Action.REPLACE, cause)
        else:
            self._drain(assignment, f"{cause}; no VMs are free for a successor")

    def _drain(self, assignment, seen):
        index = self._kept.index(assignment)
        self._kept[index] = replace(assignment, draining=True)
        self._decide(
            assignment.group,
            Action.DRAIN,
            seen,
            f"generation {assignment.generation} gets no new requests",
            vms=_ids(assignment.vms),
        )

    def _room(self, group, service):
        return bool(self._candidates(group, service)[0])

    def _candidates(self, group, service):
        """Return the fabric domains that could take the group, best first."""
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
        """Order domains: warm VMs, then a spare left over, then the tightest fit."""
        left = len(self._free_by_domain[domain]) - service.vms_per_group
        warm = self._warm_domain_by_group.get(group.name) == domain
        no_spare = service.downtime_weight > 0.5 and left == 0
        return (not warm, no_spare, left, domain)

    def _form(self, group, service, action, seen):
        if self._loading >= self._loads_at_once:
            chosen = f"wait: {self._loading} groups are loading weights"
            self._decide(group.name, Action.WAIT, seen, chosen)
            return
        fitting, rejected = self._candidates(group, service)
        if not fitting:
            if self._give_up_surplus(group, service):
                return
            self._decide(group.name, Action.WAIT, seen, "wait for VMs", rejected)
            return
        if group.name in self._warm_domain_by_group:
            action = Action.REPAIR
        self._assign(group.name, service, fitting[0], group.vms, action, seen, rejected)

    def _assign(self, name, service, domain, pinned, action, seen, rejected=()):
        free = self._free_by_domain[domain]
        if pinned:
            by_id = {vm.id: vm for vm in free}
            chosen = [by_id[vm_id] for vm_id in pinned]
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
        self._kept.append(assignment)
        self._decide(
            name,
            action,
            seen,
            f"generation {generation} in {domain}",
            rejected,
            _ids(assignment.vms),
        )

    def _give_up_surplus(self, group, service):
        """Drain a surplus group whose VMs would make room; return whether one was."""
        for assignment in self._kept:
            if assignment.group in self._groups or assignment.draining:
                continue
            domain = assignment.fabric_domain
            if group.fabric_domain not in ("", domain):
                continue
            free = len(self._free_by_domain.get(domain, ()))
            if free + len(assignment.vms) < service.vms_per_group:
                continue
            self._drain(assignment, f"{group.name} needs VMs of {domain}")
            self._decide(
                group.name,
                Action.GIVE_UP_SURPLUS,
                "no VMs are free",
                f"VMs of {assignment.group}",
                vms=_ids(assignment.vms),
            )
            return True
        return False

    def _form_surplus(self):
        """Form further groups of VMs that are neither needed nor kept as spares."""
        present = {a.group for a in self._kept}
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
                    self._assign(name, service, domain, (), Action.FORM, seen)

    def _decide(self, group, action, seen, chosen, rejected=(), vms=()):
        self.decisions.append(
            PlanDecision(group, action, seen, chosen, tuple(rejected), tuple(vms))
        )


def _ids(members):
    return tuple(member.id for member in members)
