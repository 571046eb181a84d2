"""The service that knows which backend servers may be used, and picks one."""

import json

from logbook import Logger

from pimentogap.errors import ConnectionFailed, ResponseLost
from pimentogap.kernel import RestartOnError
from pimentogap.routing._policy import PlacementPolicy
from pimentogap.routing._replicas import REMEMBERED_BLOCKS, Replica
from pimentogap.routing._subset import choose_subset
from pimentogap.types import HttpRequest

log = Logger("routing")

REPORTS_PATH = "/v1/reports"
RECONNECT_DELAY_S = 0.25
MAX_REPORT_BYTES = 2**20
PLAIN_PERMISSION_S = 86400.0 * 365


class RoutingService:
    """Keeps one task for each model group in the daemon's subset.

    The task reads the group's stream of reports. Each report that shows every
    assigned VM up, in its assigned incarnation, renews the permission to send
    requests; anything else ends it.
    """

    name = "routing"
    requires = ("configuration", "fleet", "peers")
    __slots__ = (
        "policy",
        "_kernel",
        "_http",
        "_replicas_by_id",
        "_tasks_by_id",
        "_own",
        "_servers_by_service",
    )

    def __init__(self, http):
        """Prepare to read reports through ``http``."""
        self.policy = None
        self._kernel = None
        self._http = http
        self._replicas_by_id = {}
        self._tasks_by_id = {}
        self._own = None
        self._servers_by_service = {}

    async def start(self, kernel):
        """Follow the fleet's backend servers."""
        self._kernel = kernel
        self._own = kernel.get("peers").table.own
        self.policy = PlacementPolicy(
            kernel.random, availability_zone=self._own.availability_zone
        )
        kernel.get("fleet").subscribe(self._follow_servers)
        self._follow_servers()

    async def stop(self):
        """Do nothing; the tasks are cancelled by the kernel."""

    def decide(self, service, *, blocks=(), excluded=()):
        """Return `Forward` or `Refuse` for a request to ``service``."""
        reachable = self._kernel.get("peers").table.reach().reachable
        return self.policy.decide(
            self.replicas(service),
            blocks=blocks,
            now=self._kernel.clock.time(),
            excluded=excluded,
            sharing=max(1.0, reachable / self.subset_factor(service)),
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
            replica.capacity * replica.trust(now)
            for replica in self.replicas(service)
            if replica.permitted(now)
        )

    def subset_factor(self, service):
        """Return how many times more servers the service has than the daemon uses."""
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

    def _follow_servers(self):
        """Start a task for each new server and drop those that are gone."""
        wanted = self._wanted_servers()
        for server_id in set(self._replicas_by_id) - set(wanted):
            self._replicas_by_id.pop(server_id).revoke()
            task = self._tasks_by_id.pop(server_id, None)
            if task is not None:
                task.cancel()
        for server in wanted.values():
            if server.id in self._replicas_by_id:
                continue
            replica = self._replicas_by_id[server.id] = Replica(server)
            if server.generation:
                self._tasks_by_id[server.id] = self._kernel.spawn(
                    self.name, self._read_reports, replica, on_error=RestartOnError()
                )
            else:
                self._permit_plain(replica)

    def _wanted_servers(self):
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
                self._own.id, servers, availability_zone=self._own.availability_zone
            )
        }

    def _permit_plain(self, replica):
        """Permit a plain server, whose health is judged by its answers alone."""
        now = self._kernel.clock.time()
        replica.permit(now)
        replica.permitted_until = now + PLAIN_PERMISSION_S
        replica.capacity = 64

    async def _read_reports(self, replica):
        """Read the reports of one model group for as long as it is wanted."""
        request = HttpRequest("GET", REPORTS_PATH)
        while True:
            receiver = ReportReceiver(lambda report: self._take(replica, report))
            try:
                await self._http.exchange(replica.server.address, request, receiver)
            except (ConnectionFailed, ResponseLost) as error:
                log.debug("reports of {}: {}", replica.server.id, error)
            self._lose_permission(replica)
            await self._kernel.clock.sleep(RECONNECT_DELAY_S)

    def _take(self, replica, report):
        assignment = self._assignment(replica.server)
        if assignment is None or not proves_whole(report, assignment):
            self._lose_permission(replica)
            return
        replica.reported(
            self._kernel.clock.time(),
            running=report["running"],
            waiting=report["waiting"],
            capacity=report["capacity"],
            cache_added=report["cache_added"],
            cache_blocks=report.get("cache_blocks", REMEMBERED_BLOCKS),
        )
        replica.permit(self._kernel.clock.time())

    def _lose_permission(self, replica):
        if replica.permitted_since is None:
            return
        log.info("{} is not permitted any more", replica.server.id)
        replica.revoke()
        groups = self._kernel.find("groups")
        if groups is not None:
            groups.notice(replica.server.id)


class ReportReceiver:
    """Splits a stream of JSON lines into reports.

    A report that leaves ``members_up`` out has the same as the one before.
    """

    __slots__ = ("_take", "_rest", "_members_up")

    def __init__(self, take):
        self._take = take
        self._rest = b""
        self._members_up = []

    def headers_received(self, status, headers):
        """Check that reports will follow.

        :raises ResponseLost: if they will not.
        """
        if status != 200:
            raise ResponseLost(f"status {status}")

    def data_received(self, chunk):
        """Take in the reports that ``chunk`` completes.

        :raises ResponseLost: if it holds something else.
        """
        *lines, self._rest = (self._rest + chunk).split(b"\n")
        if len(self._rest) > MAX_REPORT_BYTES:
            raise ResponseLost("a report is too long")
        for line in lines:
            try:
                report = json.loads(line)
                self._members_up = report.setdefault("members_up", self._members_up)
            except (ValueError, AttributeError):
                raise ResponseLost("a report is not a JSON object")
            self._take(report)


def proves_whole(report, assignment):
    """Return whether ``report`` shows every assigned VM up and the model loaded."""
    if (report["group"], report["generation"]) != assignment.key:
        return False
    up = {(member["id"], member["incarnation"]) for member in report["members_up"]}
    assigned = {(member.id, member.incarnation) for member in assignment.vms}
    return report["ready"] and assigned <= up
