"""The service that tracks which backend servers may be used, and picks one."""

import json

from logbook import Logger

from pimentogap.errors import ConnectionFailed, ResponseLost
from pimentogap.kernel import RestartOnError
from pimentogap.routing._policy import PlacementPolicy
from pimentogap.routing._replicas import MAX_TRACKED_BLOCKS, Replica
from pimentogap.routing._subset import choose_subset
from pimentogap.types import HttpRequest

log = Logger("routing")

REPORTS_PATH = "/v1/reports"
RECONNECT_DELAY_S = 0.25
MAX_REPORT_BYTES = 2**20
PLAIN_PERMISSION_LIFETIME_S = 86400.0 * 365


class RoutingService:
    """Runs one task for each model group in the daemon's subset.

    The task reads the group's stream of reports. Each report that shows every
    assigned VM up, in its assigned incarnation, renews the permission to send
    requests to the group; any other report or a lost connection revokes it.
    """

    name = "routing"
    requires = ("configuration", "fleet", "peers")
    __slots__ = (
        "policy",
        "_kernel",
        "_http",
        "_replicas_by_id",
        "_tasks_by_id",
        "_own_member",
        "_servers_by_service",
    )

    def __init__(self, http):
        """Create the service.

        :param http: the HTTP client for reports.
        """
        self.policy = None
        self._kernel = None
        self._http = http
        self._replicas_by_id = {}
        self._tasks_by_id = {}
        self._own_member = None
        self._servers_by_service = {}

    async def start(self, kernel):
        """Start to track the fleet's backend servers."""
        self._kernel = kernel
        self._own_member = kernel.get("peers").table.own
        self.policy = PlacementPolicy(
            kernel.random, availability_zone=self._own_member.availability_zone
        )
        kernel.get("fleet").subscribe(self._update_replicas)
        self._update_replicas()

    async def stop(self):
        """Leave the tasks to the kernel, which cancels them."""

    def decide(self, service, *, blocks=(), excluded=()):
        """Return `Forward` or `Refuse` for a request to ``service``."""
        reachable = self._kernel.get("peers").table.reach().reachable
        return self.policy.decide(
            self.replicas(service),
            blocks=blocks,
            now=self._kernel.clock.time(),
            excluded=excluded,
            daemons_per_server=max(
                1.0, reachable / self.servers_per_used_server(service)
            ),
        )

    def replicas(self, service):
        """Return the replicas of ``service`` that may get new requests."""
        return [
            replica
            for replica in self._replicas_by_id.values()
            if replica.server.service == service and not self._is_leaving(replica)
        ]

    def capacity(self, service):
        """Return the requests that the permitted replicas can run at once."""
        now = self._kernel.clock.time()
        return sum(
            replica.capacity * replica.usable_share(now)
            for replica in self.replicas(service)
            if replica.is_permitted(now)
        )

    def servers_per_used_server(self, service):
        """Return the service's number of servers per server that the daemon uses."""
        used = sum(r.server.service == service for r in self._replicas_by_id.values())
        return self._servers_by_service.get(service, 0) / used if used else 1.0

    def _is_leaving(self, replica):
        fleet = self._kernel.get("fleet")
        assignment = self._assignment(replica.server)
        if assignment is None:
            return fleet.is_leaving(replica.server.id.partition("/")[2])
        if assignment.draining:
            return True
        return any(fleet.is_leaving(m.id, m.incarnation) for m in assignment.vms)

    def _assignment(self, server):
        return self._kernel.get("fleet").assignments_by_server_id.get(server.id)

    def _update_replicas(self):
        """Add a replica for each new server of the subset and drop the others."""
        servers_by_id = self._choose_servers()
        for server_id in set(self._replicas_by_id) - set(servers_by_id):
            self._replicas_by_id.pop(server_id).revoke()
            task = self._tasks_by_id.pop(server_id, None)
            if task is not None:
                task.cancel()
        for server in servers_by_id.values():
            if server.id in self._replicas_by_id:
                continue
            replica = self._replicas_by_id[server.id] = Replica(server)
            if server.generation:
                self._tasks_by_id[server.id] = self._kernel.spawn(
                    self.name, self._read_reports, replica, on_error=RestartOnError()
                )
            else:
                self._permit_plain(replica)

    def _choose_servers(self):
        servers_by_service = {}
        for server in self._kernel.get("fleet").backend_servers().values():
            servers_by_service.setdefault(server.service, []).append(server)
        self._servers_by_service = {
            service: len(servers) for service, servers in servers_by_service.items()
        }
        return {
            server.id: server
            for servers in servers_by_service.values()
            for server in choose_subset(
                self._own_member.id,
                servers,
                availability_zone=self._own_member.availability_zone,
            )
        }

    def _permit_plain(self, replica):
        """Permit a plain server for a practically unlimited time.

        It sends no reports; failed requests alone eject it.
        """
        now = self._kernel.clock.time()
        replica.permit(now)
        replica.permitted_until = now + PLAIN_PERMISSION_LIFETIME_S
        replica.capacity = 64

    async def _read_reports(self, replica):
        """Read the reports of one model group until the task is cancelled."""
        request = HttpRequest("GET", REPORTS_PATH)
        while True:
            receiver = ReportReceiver(
                lambda report: self._apply_report(replica, report)
            )
            try:
                await self._http.exchange(replica.server.address, request, receiver)
            except (ConnectionFailed, ResponseLost) as error:
                log.debug(
                    "reading the reports of backend server {} failed: {}",
                    replica.server.id,
                    error,
                )
            self._revoke_permission(replica)
            await self._kernel.clock.sleep(RECONNECT_DELAY_S)

    def _apply_report(self, replica, report):
        assignment = self._assignment(replica.server)
        if assignment is None or not shows_complete_group(report, assignment):
            self._revoke_permission(replica)
            return
        replica.apply_report(
            self._kernel.clock.time(),
            running=report["running"],
            waiting=report["waiting"],
            capacity=report["capacity"],
            cache_added=report["cache_added"],
            cache_blocks=report.get("cache_blocks", MAX_TRACKED_BLOCKS),
        )
        replica.permit(self._kernel.clock.time())

    def _revoke_permission(self, replica):
        if replica.permitted_since is None:
            return
        log.info(
            "backend server {} is no longer permitted to get requests",
            replica.server.id,
        )
        replica.revoke()
        groups = self._kernel.find("groups")
        if groups is not None:
            groups.report_incomplete(replica.server.id)


class ReportReceiver:
    """Splits a stream of JSON lines into reports.

    A report without ``members_up`` gets that of the report before it.
    """

    __slots__ = ("_on_report", "_buffer", "_members_up")

    def __init__(self, on_report):
        self._on_report = on_report
        self._buffer = b""
        self._members_up = []

    def headers_received(self, status, headers):
        """Check the status of the answer.

        :raises ResponseLost: if it is not 200.
        """
        if status != 200:
            raise ResponseLost(f"the request for reports was answered with {status}")

    def data_received(self, chunk):
        """Pass on each report that ``chunk`` completes.

        :raises ResponseLost: if a line is too long or not a JSON object.
        """
        *lines, self._buffer = (self._buffer + chunk).split(b"\n")
        if len(self._buffer) > MAX_REPORT_BYTES:
            raise ResponseLost("a report is too long")
        for line in lines:
            try:
                report = json.loads(line)
                self._members_up = report.setdefault("members_up", self._members_up)
            except (ValueError, AttributeError):
                raise ResponseLost("a report is not a JSON object")
            self._on_report(report)


def shows_complete_group(report, assignment):
    """Return whether ``report`` shows every assigned VM up and the model loaded."""
    if (report["group"], report["generation"]) != assignment.key:
        return False
    up = {(member["id"], member["incarnation"]) for member in report["members_up"]}
    assigned = {(member.id, member.incarnation) for member in assignment.vms}
    return report["ready"] and assigned <= up
