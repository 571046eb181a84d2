"""The service that forms and repairs the model groups of a region."""

import asyncio
import math

from logbook import Logger

from pimentogap.errors import (
    ConnectionFailed,
    LeaseLost,
    OrderRefused,
    PeerUnreachable,
    ResponseLost,
    StoreError,
)
from pimentogap.fleet import ASSIGNMENTS
from pimentogap.groups._journal import DecisionJournal
from pimentogap.groups._lease import RENEW_INTERVAL_S, Lease
from pimentogap.groups._observations import Observations
from pimentogap.groups._orders import Assume, OrderClient, Release
from pimentogap.groups._planner import Planner
from pimentogap.kernel import RestartOnError
from pimentogap.schema import check, dump
from pimentogap.store import Put, Written
from pimentogap.types import Assignment

log = Logger("groups")

# The VM list is read at least this often while the lease is held and the store
# answers.
CONTROL_INTERVAL_S = 0.5
# An engine may still carry out an order of a previous lease holder up to this long
# after the takeover.
ORDER_LIFETIME_S = 3.0
UNSETTLED_READ_INTERVAL_S = 0.5
HEAD_READ_INTERVAL_S = 5.0
MEMBER_READ_INTERVAL_S = 30.0
WRITE_RETRY_LIMIT_S = 2.0
NOTICE_CALL = "groups.notice"
NOTICE_TIMEOUT_S = 1.0
MAX_ACCOUNTED_S = 5.0
# A plan is made at least this often, even if nothing has changed.
PLAN_INTERVAL_S = 5.0


class GroupService:
    """Controls the model groups of the daemon's region while it holds the lease.

    All assignments of a region are one object in the store, changed by one write,
    so that no VM is ever in two groups. Each VM has a task that compares what its
    engine holds with its assignment and sends orders until they agree.
    """

    name = "groups"
    requires = ("store", "configuration", "peers", "fleet", "objectives")
    __slots__ = (
        "lease",
        "plans_made",
        "_kernel",
        "_region",
        "_orders",
        "_journal",
        "_observations",
        "_version",
        "_fence_written",
        "_took_over_at",
        "_assignments",
        "_generations",
        "_tasks_by_vm",
        "_wake_by_vm",
        "_plan_requested",
        "_accounted_at",
        "_planned_at",
    )

    def __init__(self, http, *, region):
        """Create the controller of ``region``.

        :param http: the HTTP client that carries the orders.
        """
        self.lease = None
        self.plans_made = 0
        self._kernel = None
        self._region = region
        self._orders = OrderClient(http)
        self._journal = None
        self._observations = Observations()
        self._tasks_by_vm = {}
        self._wake_by_vm = {}
        self._plan_requested = asyncio.Event()
        self._accounted_at = None
        self._planned_at = -math.inf
        self._reset_assignments()

    async def start(self, kernel):
        """Compete for the region's lease, and control the groups while it is held."""
        self._kernel = kernel
        own = kernel.get("peers").table.own
        self.lease = Lease(
            kernel.get("store"),
            kernel.clock,
            object_name=f"groups-{self._region}",
            own_id=f"{own.id}/{own.incarnation}",
        )
        self._journal = DecisionJournal(kernel, self._region, self.lease)
        kernel.get("peers").register_call_handler(NOTICE_CALL, self._answer_notice)
        kernel.get("configuration").subscribe(
            lambda accepted: self._plan_requested.set()
        )
        kernel.spawn(self.name, self._keep_lease, on_error=RestartOnError())
        kernel.spawn(self.name, self._control, on_error=RestartOnError())
        kernel.spawn(self.name, self._journal.run, on_error=RestartOnError())

    async def stop(self):
        """Release the lease."""
        try:
            await self.lease.release()
        except StoreError as error:
            log.debug("lease was not released and will expire: {}", error)

    def report_incomplete(self, server_id):
        """Report to the controller of the region that a group was seen incomplete.

        :param server_id: names the generation, as GROUP/GENERATION.
        """
        self._suspect(server_id)
        table = self._kernel.get("peers").table
        for daemon_id in table.lease_candidates(self._region):
            if daemon_id != table.own_id:
                self._kernel.spawn(self.name, self._notify, daemon_id, server_id)

    async def decisions(self):
        """Return the recent `Decision` objects of the region, oldest first.

        :raises StoreUnavailable: if the store does not answer.
        """
        return await self._journal.read()

    def _suspect(self, server_id):
        if not self.lease.is_valid():
            return
        self._observations.suspect(server_id, self._kernel.clock.time())
        for wake in self._wake_by_vm.values():
            wake.set()
        self._plan_requested.set()

    async def _notify(self, daemon_id, server_id):
        peers = self._kernel.get("peers")
        body = {"server_id": server_id}
        try:
            await peers.call(daemon_id, NOTICE_CALL, body, timeout_s=NOTICE_TIMEOUT_S)
        except (PeerUnreachable, ResponseLost) as error:
            log.debug(
                "daemon {} was not notified of an incomplete group: {}",
                daemon_id,
                error,
            )

    async def _answer_notice(self, body):
        self._suspect(body["server_id"])
        return {}

    async def _keep_lease(self):
        table = self._kernel.get("peers").table
        own_id = table.own_id
        while True:
            if self.lease.is_valid() or own_id in table.lease_candidates(self._region):
                await self.lease.renew_or_acquire()
            if not self.lease.is_valid():
                self._reset_assignments()
            await self._kernel.clock.sleep(RENEW_INTERVAL_S)

    async def _control(self):
        while True:
            try:
                async with self._kernel.clock.timeout(CONTROL_INTERVAL_S):
                    await self._plan_requested.wait()
                plan_requested = True
            except TimeoutError:
                plan_requested = False
            self._plan_requested.clear()
            if self.lease.is_valid() and self._kernel.get("configuration").loaded:
                try:
                    await self._control_once(plan_requested)
                except StoreError as error:
                    log.debug("planning waits for the store: {}", error)
                    await self._kernel.clock.sleep(CONTROL_INTERVAL_S)

    async def _control_once(self, plan_requested):
        """Read the VM list and make a plan, unless the last one is still current.

        :param plan_requested: whether the plan was requested since the last pass.
        """
        vms_before = self._kernel.get("fleet").vms_by_id
        vms_by_id = await self._kernel.get("fleet").read_vms()
        if self._fence_written != self.lease.fence:
            await self._take_over()
        if self._fence_written != self.lease.fence:
            return
        now = self._kernel.clock.time()
        self._observations.update(vms_by_id, self._assignments, now)
        leaving = self._leaving_vms(vms_by_id)
        view = self._observations.view(vms_by_id, self._assignments, leaving, now)
        self._account_groups(view)
        if (
            not plan_requested
            and vms_by_id is vms_before
            and self._is_plan_current(view)
        ):
            return
        self._planned_at = view.now
        planner = Planner(
            region=self._region,
            configuration=self._kernel.get("configuration").current,
            view=view,
        )
        generations = dict(self._generations)
        planned = planner.plan(list(self._assignments), generations)
        self.plans_made += 1
        self._journal.record(planner.decisions)
        if planned != self._assignments:
            await self._commit(planned, generations)
        self._start_vm_tasks(vms_by_id)

    async def _take_over(self):
        """Read the assignments and write them back with the own fencing number."""
        stored = await self._kernel.get("store").get(ASSIGNMENTS, self._region)
        value = stored.value if stored else {"assignments": [], "generations": {}}
        if stored is not None and value["fence"] > self.lease.fence:
            log.warning(
                "assignments have the newer fencing number {} of another daemon",
                value["fence"],
            )
            return
        self._version = stored.version if stored else 0
        self._assignments = [check(Assignment, a) for a in value["assignments"]]
        self._generations = dict(value["generations"])
        await self._journal.take_over()
        if await self._commit(self._assignments, self._generations):
            self._fence_written = self.lease.fence
            self._took_over_at = self._kernel.clock.time()

    async def _commit(self, assignments, generations):
        """Write the assignments and return whether that succeeded.

        Orders follow from the assignments only after the write.
        """
        if not self.lease.is_valid():
            return False
        value = {
            "fence": self.lease.fence,
            "assignments": [dump(assignment) for assignment in assignments],
            "generations": generations,
        }
        put = Put(ASSIGNMENTS, self._region, value, self._version)
        store = self._kernel.get("store")
        match await store.write(put, retry_for_s=WRITE_RETRY_LIMIT_S):
            case Written(version):
                self._version = version
                self._assignments = list(assignments)
                self._generations = generations
                self._kernel.get("fleet").publish_assignments(
                    self._region, version, value
                )
                self._wake_vm_tasks()
                return True
            case outcome:
                log.warning("the assignments were not written: {}", outcome)
                self._reset_assignments()
                return False

    def _reset_assignments(self):
        self._version = 0
        self._fence_written = None
        self._took_over_at = None
        self._assignments = []
        self._generations = {}

    def _wake_vm_tasks(self):
        for wake in self._wake_by_vm.values():
            wake.set()

    def _leaving_vms(self, vms_by_id):
        fleet = self._kernel.get("fleet")
        return frozenset(
            vm.id
            for vm in vms_by_id.values()
            if fleet.is_leaving(vm.id, vm.incarnation)
        )

    def _is_plan_current(self, view):
        """Return whether no new plan is due.

        That is so while the last plan is recent, all generations are ready and none
        is suspected or draining, and no member is absent.
        """
        all_ready = len(view.ready) == len(self._assignments)
        recent = view.now - self._planned_at < PLAN_INTERVAL_S
        is_settled = self._observations.is_settled() and not view.suspected
        return recent and all_ready and is_settled

    def _account_groups(self, view):
        """Report group downtime and stranded accelerators since the last call.

        The time is left out if the last call was more than `MAX_ACCOUNTED_S` ago.
        """
        since, self._accounted_at = self._accounted_at, view.now
        if since is None or view.now - since > MAX_ACCOUNTED_S:
            return
        configured = self._kernel.get("configuration").current.by_name("model_group")
        wanted = {g.name for g in configured.values() if g.region == self._region}
        ready = [a for a in self._assignments if a.key in view.ready]
        down = wanted - {assignment.group for assignment in ready}
        busy = {member.id for assignment in ready for member in assignment.vms}
        stranded = sum(
            vm.accelerators
            for vm in view.vms_by_id.values()
            if vm.region == self._region and vm.id not in busy
        )
        elapsed_s = view.now - since
        self._kernel.get("objectives").add_group_losses(
            down_group_s=elapsed_s * len(down),
            stranded_accelerator_s=elapsed_s * stranded,
        )

    def _start_vm_tasks(self, vms_by_id):
        for vm in vms_by_id.values():
            if vm.region == self._region and vm.id not in self._tasks_by_vm:
                self._wake_by_vm[vm.id] = asyncio.Event()
                self._tasks_by_vm[vm.id] = self._kernel.spawn(
                    self.name, self._reconcile_vm, vm.id, on_error=RestartOnError()
                )

    async def _reconcile_vm(self, vm_id):
        """Reconcile an engine with its assignment until the VM or the lease is gone."""
        wake = self._wake_by_vm[vm_id]
        vms_by_id = self._kernel.get("fleet").vms_by_id
        while vm_id in vms_by_id and self.lease.is_valid():
            delay_s = await self._reconcile_vm_once(vms_by_id[vm_id])
            wake.clear()
            try:
                async with self._kernel.clock.timeout(delay_s):
                    await wake.wait()
            except TimeoutError:
                pass
            vms_by_id = self._kernel.get("fleet").vms_by_id
        self._observations.discard_vm(vm_id)
        self._tasks_by_vm.pop(vm_id, None)

    async def _reconcile_vm_once(self, vm):
        """Read one engine and send the order that it needs, if any.

        :return: seconds until the next read.
        """
        holding = await self._orders.read(vm.address)
        if holding is None:
            self._observations.discard_vm(vm.id)
            self._observations.unreachable_vms.add(vm.id)
            self._plan_requested.set()
            return UNSETTLED_READ_INTERVAL_S
        self._observations.unreachable_vms.discard(vm.id)
        previous = self._observations.holdings_by_vm.get(vm.id)
        self._observations.holdings_by_vm[vm.id] = holding
        if previous is None or previous.ready != holding.ready:
            self._plan_requested.set()
        assignment, rank = self._assignment_of(vm)
        order = _needed_order(holding, assignment, rank)
        if order is not None and holding.incarnation == vm.incarnation:
            try:
                await self._send_order(vm, order)
            except (ConnectionFailed, ResponseLost, OrderRefused, LeaseLost) as error:
                log.info("order to VM {} failed: {!r}", vm.id, error)
            return UNSETTLED_READ_INTERVAL_S
        if assignment is None:
            return MEMBER_READ_INTERVAL_S
        if rank == 0:
            is_settled = holding.ready and not assignment.draining
            return HEAD_READ_INTERVAL_S if is_settled else UNSETTLED_READ_INTERVAL_S
        return MEMBER_READ_INTERVAL_S if holding.loaded else UNSETTLED_READ_INTERVAL_S

    def _assignment_of(self, vm):
        for assignment in self._assignments:
            for rank, member in enumerate(assignment.vms):
                if member.id == vm.id and member.incarnation == vm.incarnation:
                    return assignment, rank
        return None, 0

    async def _send_order(self, vm, order):
        """Send an order.

        :raises LeaseLost: if the lease or the kind of engine forbids it now.
        """
        if not self._can_send_order(vm):
            raise LeaseLost(f"no order may be sent to VM {vm.id} now")
        await self._orders.send(vm.address, order, fence=self.lease.fence)

    def _can_send_order(self, vm):
        """Return whether an order may be sent to the engine of ``vm`` now.

        An engine that does not check the fencing number could carry out a late
        order of the previous holder of the lease after a new one. It gets orders
        only once `ORDER_LIFETIME_S` has passed since the takeover, when no order of
        the previous holder can still be carried out.
        """
        if self._fence_written != self.lease.fence or not self.lease.is_valid():
            return False
        configuration = self._kernel.get("configuration").current
        kind = configuration.get("engine_kind", vm.fabric_domain)
        if kind is None or kind.checks_fencing_number:
            return True
        return self._kernel.clock.time() - self._took_over_at >= ORDER_LIFETIME_S


def _needed_order(holding, assignment, rank):
    """Return the next order that moves an engine to its assignment, or ``None``."""
    held = (holding.group, holding.generation)
    if assignment is None:
        return Release() if holding.group is not None else None
    if held == assignment.key:
        return None
    if holding.group not in (None, assignment.group):
        return Release()
    return Assume(assignment, rank)
