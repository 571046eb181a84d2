"""The service that tracks VMs, assignments and backend servers."""

from logbook import Logger

from pimentogap.errors import InvalidDocument, StoreError
from pimentogap.kernel import RestartOnError
from pimentogap.peers import VmLeaving
from pimentogap.schema import check
from pimentogap.store import follow_collection
from pimentogap.types import Assignment, BackendServer, Vm, VmState

log = Logger("fleet")

ASSIGNMENTS = "assignments"
VM_LIST_INTERVAL_S = 0.5
WATCH_WAIT_S = 2.0


class FleetService:
    """Tracks VMs and model groups, and shares changes with the peers.

    The daemons that watch the store for their availability zone read the
    platform's VM list and the assignments. The others learn from their peers.
    """

    name = "fleet"
    requires = ("store", "configuration", "peers")
    __slots__ = (
        "vms_by_id",
        "vms_read_at",
        "assignments_by_region",
        "versions_by_region",
        "assignments_by_server_id",
        "_leaving_incarnations_by_vm",
        "_last_list",
        "_kernel",
        "_subscribers",
    )

    def __init__(self):
        self.vms_by_id = {}
        self.vms_read_at = None
        self.assignments_by_region = {}
        self.versions_by_region = {}
        self.assignments_by_server_id = {}
        self._leaving_incarnations_by_vm = {}
        self._last_list = None
        self._kernel = None
        self._subscribers = []

    async def start(self, kernel):
        """Start the tasks that follow the VM list and the assignments."""
        self._kernel = kernel
        peers = kernel.get("peers")
        peers.subscribe_objects(self._apply_object)
        peers.subscribe_vm_leaving(self._record_leaving)
        kernel.get("configuration").subscribe(
            lambda accepted: self._notify_subscribers()
        )
        kernel.spawn(self.name, self._follow_vms, on_error=RestartOnError())
        kernel.spawn(self.name, self._follow_assignments, on_error=RestartOnError())

    async def stop(self):
        """Do nothing; the tasks are cancelled by the kernel."""

    def subscribe(self, callback):
        """Call ``callback()`` whenever backend servers may have changed."""
        self._subscribers.append(callback)

    def assignments(self):
        """Return every `Assignment` that is known."""
        return [
            assignment
            for assignments in self.assignments_by_region.values()
            for assignment in assignments
        ]

    def backend_servers(self):
        """Return the `BackendServer` objects of every service, by id."""
        servers_by_id = {}
        for server_id, assignment in self.assignments_by_server_id.items():
            server = BackendServer(
                id=server_id,
                service=assignment.service,
                address=assignment.head.address,
                availability_zone=assignment.availability_zone,
                generation=assignment.generation,
            )
            servers_by_id[server.id] = server
        plain = self._kernel.get("configuration").current.by_name("plain_service")
        for service in plain.values():
            for backend in service.backends:
                server = BackendServer(
                    id=f"{service.name}/{backend.vm}",
                    service=service.name,
                    address=backend.address,
                    availability_zone=backend.availability_zone,
                )
                servers_by_id[server.id] = server
        return servers_by_id

    def is_leaving(self, vm_id, incarnation=None):
        """Return whether a VM is to get no new work.

        :param incarnation: the incarnation to ask about; any if ``None``.
        """
        configuration = self._kernel.get("configuration").current
        if configuration.get("planned_stop", vm_id) is not None:
            return True
        leaving_incarnation = self._leaving_incarnations_by_vm.get(vm_id)
        return leaving_incarnation is not None and (
            incarnation is None or incarnation <= leaving_incarnation
        )

    async def read_vms(self):
        """Read the platform's VM list and return the `Vm` objects by id.

        :raises StoreUnavailable: if the store does not answer.
        :raises InvalidDocument: if an entry of the list is not a valid `Vm`.
        """
        vm_list = await self._kernel.get("store").vms()
        self.vms_read_at = self._kernel.clock.time()
        if vm_list is self._last_list:
            return self.vms_by_id
        self._last_list = vm_list
        self.vms_by_id = {data["id"]: check(Vm, data) for data in vm_list.vms}
        for vm in self.vms_by_id.values():
            if vm.state == VmState.LEAVING:
                entry = VmLeaving(vm.id, vm.incarnation)
                if self._record_leaving(entry):
                    self._kernel.get("peers").announce_vm_leaving(vm.id, vm.incarnation)
            elif self._leaving_incarnations_by_vm.get(vm.id, 0) < vm.incarnation:
                self._leaving_incarnations_by_vm.pop(vm.id, None)
        return self.vms_by_id

    async def _follow_vms(self):
        while True:
            if self._kernel.get("peers").is_watcher():
                try:
                    await self.read_vms()
                except StoreError as error:
                    log.debug("VM list could not be read: {}", error)
            await self._kernel.clock.sleep(VM_LIST_INTERVAL_S)

    async def _follow_assignments(self):
        await follow_collection(
            self._kernel.clock,
            self._watch_once,
            is_wanted=self._kernel.get("peers").is_watcher,
        )

    async def _watch_once(self, revision):
        store = self._kernel.get("store")
        if revision is None:
            items, revision = await store.list(ASSIGNMENTS)
        else:
            page = await store.watch(ASSIGNMENTS, revision, WATCH_WAIT_S)
            items, revision = page.items, page.revision
        for stored in items:
            if stored.value is not None:
                self.publish_assignments(stored.name, stored.version, stored.value)
        return revision

    def publish_assignments(self, region, version, value):
        """Apply the assignments of a region and share them with the peers.

        :param version: the version of the stored object.
        :param value: the value of the stored object.
        """
        peers = self._kernel.get("peers")
        peers.share_object(f"{ASSIGNMENTS}/{region}", version, value)

    def _apply_object(self, name, version, value):
        collection, _, region = name.partition("/")
        if collection != ASSIGNMENTS:
            return
        try:
            assignments = [check(Assignment, data) for data in value["assignments"]]
        except InvalidDocument as error:
            log.error(
                "assignments of region {} are invalid and were ignored: {}",
                region,
                error,
            )
            return
        self.versions_by_region[region] = version
        self.assignments_by_region[region] = assignments
        self.assignments_by_server_id = {
            f"{assignment.group}/{assignment.generation}": assignment
            for assignment in self.assignments()
        }
        self._notify_subscribers()

    def _record_leaving(self, entry):
        known_incarnation = self._leaving_incarnations_by_vm.get(entry.id, -1)
        if known_incarnation >= entry.incarnation:
            return False
        self._leaving_incarnations_by_vm[entry.id] = entry.incarnation
        log.info("VM {} is leaving", entry.id)
        self._notify_subscribers()
        return True

    def _notify_subscribers(self):
        for callback in self._subscribers:
            callback()
