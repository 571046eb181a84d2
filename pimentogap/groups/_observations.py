"""What the controller has seen of VMs and engines, and since when."""

from collections import deque

from pimentogap.groups._planner import QUARANTINE_S, FleetView

DOUBT_DURATION_S = 10.0
LOSSES_BEFORE_QUARANTINE = 3
LOSSES_KEPT = 8
LOSS_WINDOW_S = 300.0


class Observations:
    """Notes of absences, restarts, drains, doubts and answers.

    Times are in seconds of the runtime's clock; ``holdings_by_vm`` has what
    each engine last said of itself.
    """

    __slots__ = (
        "holdings_by_vm",
        "unreachable_vms",
        "_absent_since_by_vm",
        "_draining_since_by_key",
        "_incarnations_by_vm",
        "_losses_by_vm",
        "_doubted_at_by_key",
    )

    def __init__(self):
        self.holdings_by_vm = {}
        self.unreachable_vms = set()
        self._absent_since_by_vm = {}
        self._draining_since_by_key = {}
        self._incarnations_by_vm = {}
        self._losses_by_vm = {}
        self._doubted_at_by_key = {}

    def doubt(self, server_id, now):
        """Note that a daemon saw a generation, as GROUP/GENERATION, incomplete."""
        group, _, generation = server_id.rpartition("/")
        self._doubted_at_by_key[group, int(generation)] = now

    def forget_vm(self, vm_id):
        """Drop what a VM's engine said."""
        self.holdings_by_vm.pop(vm_id, None)
        self.unreachable_vms.discard(vm_id)

    def update(self, vms_by_id, assignments, now):
        """Take in the platform's list and the present assignments."""
        self._note_absences(vms_by_id, assignments, now)
        self._note_restarts(vms_by_id, now)
        present = {assignment.key for assignment in assignments}
        for key in set(self._doubted_at_by_key) - present:
            del self._doubted_at_by_key[key]
        draining = {assignment.key for assignment in assignments if assignment.draining}
        for key in draining:
            self._draining_since_by_key.setdefault(key, now)
        for key in set(self._draining_since_by_key) - draining:
            del self._draining_since_by_key[key]

    def view(self, vms_by_id, assignments, leaving_vms, now):
        """Return the `FleetView` that a plan starts from."""
        view = FleetView(now=now, vms_by_id=vms_by_id)
        view.leaving_vms = leaving_vms
        view.absent_since_by_vm = self._absent_since_by_vm
        view.draining_since_by_key = self._draining_since_by_key
        view.quarantined_until_by_vm = self._quarantines(now)
        view.doubted = frozenset(
            key
            for key, at in self._doubted_at_by_key.items()
            if now - at < DOUBT_DURATION_S
        )
        view.unreachable_vms = frozenset(self.unreachable_vms)
        view.cached_by_vm = {
            vm_id: holding.cached for vm_id, holding in self.holdings_by_vm.items()
        }
        held = [
            (assignment.key, self.holdings_by_vm.get(assignment.head.id))
            for assignment in assignments
        ]
        present = [(k, h) for k, h in held if h and (h.group, h.generation) == k]
        view.ready = frozenset(key for key, holding in present if holding.ready)
        view.idle = frozenset(k for k, holding in present if holding.running == 0)
        return view

    def settled(self):
        """Return whether no delay is running that a plan counts from."""
        return not self._absent_since_by_vm and not self._draining_since_by_key

    def _note_absences(self, vms_by_id, assignments, now):
        members = {member.id for a in assignments for member in a.vms}
        for vm_id in members:
            if vm_id in vms_by_id:
                self._absent_since_by_vm.pop(vm_id, None)
            else:
                self._absent_since_by_vm.setdefault(vm_id, now)
        for vm_id in set(self._absent_since_by_vm) - members:
            del self._absent_since_by_vm[vm_id]

    def _note_restarts(self, vms_by_id, now):
        for vm in vms_by_id.values():
            known = self._incarnations_by_vm.get(vm.id)
            if known is not None and known < vm.incarnation:
                losses = self._losses_by_vm.setdefault(vm.id, deque(maxlen=LOSSES_KEPT))
                losses.append(now)
            self._incarnations_by_vm[vm.id] = vm.incarnation

    def _quarantines(self, now):
        """Return until when VMs that restarted often are left out of new groups."""
        until_by_vm = {}
        for vm_id, losses in self._losses_by_vm.items():
            recent = [at for at in losses if now - at < LOSS_WINDOW_S]
            if len(recent) >= LOSSES_BEFORE_QUARANTINE:
                factor = 2 ** (len(recent) - LOSSES_BEFORE_QUARANTINE)
                until_by_vm[vm_id] = recent[-1] + QUARANTINE_S * factor
        return until_by_vm
