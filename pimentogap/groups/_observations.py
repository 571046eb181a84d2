"""What the controller has observed of VMs and engines, and since when."""

from collections import deque

from pimentogap.groups._planner import QUARANTINE_S, FleetView

SUSPICION_DURATION_S = 10.0
LOSSES_BEFORE_QUARANTINE = 3
LOSSES_KEPT = 8
LOSS_WINDOW_S = 300.0


class Observations:
    """Records absences, restarts, drains, suspicions and reports of engines.

    Times are in seconds of the runtime's clock; ``holdings_by_vm`` has the last
    `Holding` that each engine reported.
    """

    __slots__ = (
        "holdings_by_vm",
        "unreachable_vms",
        "_absent_since_by_vm",
        "_draining_since_by_key",
        "_incarnations_by_vm",
        "_losses_by_vm",
        "_suspected_at_by_key",
    )

    def __init__(self):
        self.holdings_by_vm = {}
        self.unreachable_vms = set()
        self._absent_since_by_vm = {}
        self._draining_since_by_key = {}
        self._incarnations_by_vm = {}
        self._losses_by_vm = {}
        self._suspected_at_by_key = {}

    def suspect(self, server_id, now):
        """Record that a daemon has seen a generation incomplete.

        :param server_id: names the generation, as GROUP/GENERATION.
        """
        group, _, generation = server_id.rpartition("/")
        self._suspected_at_by_key[group, int(generation)] = now

    def discard_vm(self, vm_id):
        """Discard the last report of a VM's engine, or that it did not answer."""
        self.holdings_by_vm.pop(vm_id, None)
        self.unreachable_vms.discard(vm_id)

    def update(self, vms_by_id, assignments, now):
        """Update the observations from the platform's VM list and the assignments.

        :param assignments: the present `Assignment` objects.
        """
        self._record_absences(vms_by_id, assignments, now)
        self._record_restarts(vms_by_id, now)
        present = {assignment.key for assignment in assignments}
        for key in set(self._suspected_at_by_key) - present:
            del self._suspected_at_by_key[key]
        draining = {assignment.key for assignment in assignments if assignment.draining}
        for key in draining:
            self._draining_since_by_key.setdefault(key, now)
        for key in set(self._draining_since_by_key) - draining:
            del self._draining_since_by_key[key]

    def view(self, vms_by_id, assignments, leaving_vms, now):
        """Return the `FleetView` that the next plan starts from."""
        view = FleetView(now=now, vms_by_id=vms_by_id)
        view.leaving_vms = leaving_vms
        view.absent_since_by_vm = self._absent_since_by_vm
        view.draining_since_by_key = self._draining_since_by_key
        view.quarantined_until_by_vm = self._quarantined_until_by_vm(now)
        view.suspected = frozenset(
            key
            for key, at in self._suspected_at_by_key.items()
            if now - at < SUSPICION_DURATION_S
        )
        view.unreachable_vms = frozenset(self.unreachable_vms)
        view.cached_by_vm = {
            vm_id: holding.cached for vm_id, holding in self.holdings_by_vm.items()
        }
        head_holdings = [
            (assignment.key, self.holdings_by_vm.get(assignment.head.id))
            for assignment in assignments
        ]
        matching = [
            (k, h) for k, h in head_holdings if h and (h.group, h.generation) == k
        ]
        view.ready = frozenset(key for key, holding in matching if holding.ready)
        view.idle = frozenset(k for k, holding in matching if holding.running == 0)
        return view

    def is_settled(self):
        """Return whether no member is absent and no generation is draining.

        A plan counts delays from both, so until then it may change with time alone.
        """
        return not self._absent_since_by_vm and not self._draining_since_by_key

    def _record_absences(self, vms_by_id, assignments, now):
        members = {member.id for a in assignments for member in a.vms}
        for vm_id in members:
            if vm_id in vms_by_id:
                self._absent_since_by_vm.pop(vm_id, None)
            else:
                self._absent_since_by_vm.setdefault(vm_id, now)
        for vm_id in set(self._absent_since_by_vm) - members:
            del self._absent_since_by_vm[vm_id]

    def _record_restarts(self, vms_by_id, now):
        for vm in vms_by_id.values():
            known_incarnation = self._incarnations_by_vm.get(vm.id)
            if known_incarnation is not None and known_incarnation < vm.incarnation:
                losses = self._losses_by_vm.setdefault(vm.id, deque(maxlen=LOSSES_KEPT))
                losses.append(now)
            self._incarnations_by_vm[vm.id] = vm.incarnation

    def _quarantined_until_by_vm(self, now):
        """Return until when each VM that restarted often is left out of new groups.

        The quarantine doubles with each further restart within the window.
        """
        until_by_vm = {}
        for vm_id, losses in self._losses_by_vm.items():
            recent = [at for at in losses if now - at < LOSS_WINDOW_S]
            if len(recent) >= LOSSES_BEFORE_QUARANTINE:
                factor = 2 ** (len(recent) - LOSSES_BEFORE_QUARANTINE)
                until_by_vm[vm_id] = recent[-1] + QUARANTINE_S * factor
        return until_by_vm
