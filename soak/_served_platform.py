"""The platform of a run that measures service: store and replicas of any shape."""

import asyncio
import random
import time

from soak._platform import EXPIRY_S, ZONES, WrittenVersion
from standins._network import AbandonConnection, SocketServer
from standins.emulator import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    ModelReplica,
    ObjectStore,
    Records,
    configuration_document,
)
from standins.emulator._documents import ENGINE, route
from standins.emulator._slotted import SlottedReplica

# Paths of a replica that no caller's request has.
REPLICA_PATHS = ("/api/", "/health")
# A leaving replica serves for the drain time and this much longer.
DRAIN_S = 2.0
LINGER_S = 1.5


class ReplicaServer:
    """Serves one replica's address, with faults of its answers.

    ``error_share`` and ``lost_share`` are shares of the requests, from 0 to 1: answered
    with status 500, and run but not answered.
    """

    __slots__ = ("replica", "error_share", "lost_share", "_server", "_random")

    def __init__(self, replica, seed):
        self.replica = replica
        self.error_share = 0.0
        self.lost_share = 0.0
        self._random = random.Random(f"{replica.id}-server-{seed}")
        self._server = None
        self.listen()

    def listen(self):
        """Accept connections on the replica's address."""
        self._server = SocketServer(self)
        self._server.listen(self.replica.address)

    async def close(self):
        """Stop listening and end every connection."""
        await self._server.close()

    async def handle(self, request, reply):
        """Pass one request to the replica, or let it fail."""
        is_callers = not request.path.startswith(REPLICA_PATHS)
        if is_callers and self._random.random() < self.error_share:
            await self._fail(request, reply)
        elif is_callers and self._random.random() < self.lost_share:
            await self.replica.handle(request, _DiscardingReply())
            raise AbandonConnection
        else:
            await self.replica.handle(request, reply)

    async def _fail(self, request, reply):
        names = {name.lower(): value for name, value in request.headers.items()}
        headers = {
            "Content-Length": "0",
            "X-Pimentogap-Attempt-Id": names.get("x-pimentogap-attempt-id", ""),
            "X-Pimentogap-Replica-Seal": f"seal-{self.replica.id}",
        }
        reply.start(500, headers)


class _DiscardingReply:
    __slots__ = ()

    def start(self, status, headers):
        """Discard the head."""

    async def data(self, chunk):
        """Discard the data."""


class ShapedPlatform:
    """The store and the replicas of a `Shape`; daemons reach them without links."""

    __slots__ = (
        "store",
        "records",
        "model_replicas",
        "plain_replicas",
        "servers_by_id",
        "store_address",
        "versions",
        "drained_at_by_id",
        "_shape",
        "_seed",
        "_host",
        "_last_port",
        "_store_server",
        "_timers",
        "_plain_count",
    )

    def __init__(self, shape, host, first_port, *, seed):
        self.store = ObjectStore(seed=seed)
        self.records = Records()
        self.model_replicas = {}
        self.plain_replicas = {}
        self.servers_by_id = {}
        self.versions = []
        self.drained_at_by_id = {}
        self._shape = shape
        self._seed = seed
        self._host = host
        self._last_port = first_port
        self._timers = []
        self._plain_count = 0
        self.store_address = self._next_address()
        self._store_server = SocketServer(self.store)
        self._store_server.listen(self.store_address)
        self.write_version()
        for index in range(shape.domains * shape.replicas_per_domain):
            self._add_model_replica(index)
        for _ in range(shape.plain_replicas):
            self.add_plain_replica()

    async def close(self):
        """Stop the replicas and the servers."""
        for timer in self._timers:
            timer.cancel()
        for replica in self.model_replicas.values():
            replica.stop_tasks()
        for server in self.servers_by_id.values():
            await server.close()
        await self._store_server.close()

    def replicas(self, service):
        """Return the replicas of ``service`` by id."""
        return self.model_replicas if service == MODEL_SERVICE else self.plain_replicas

    def open_group_count(self):
        """Return how many groups are open."""
        return sum(
            replica.place is not None
            and replica.place.rank == 0
            and replica.place.state == "open"
            for replica in self.model_replicas.values()
        )

    def write_version(self, *, more_routes=0):
        """Write the next version of the configuration.

        :param more_routes: how many routes it has that no request of a kind takes.
        """
        number = len(self.versions) + 1
        routes = [_route(kind) for kind in self._shape.kinds]
        routes += [
            route(f"r{index}", f"/r{index}/", "idempotent", PLAIN_SERVICE, 1200, 150)
            for index in range(more_routes)
        ]
        services = [
            {"name": MODEL_SERVICE, "maxConns": 474, "engine": ENGINE},
            {"name": PLAIN_SERVICE, "maxConns": 110},
        ]
        document = configuration_document(number, routes=routes, services=services)
        self.store.put("config", "main", document)
        self.versions.append(WrittenVersion(number, time.monotonic()))

    async def crash(self, replica, down_s):
        """Close a replica's connections; it starts again after ``down_s`` seconds."""
        match replica:
            case ModelReplica():
                # It comes back with this method's restart, not with its own.
                replica.crash(down_s=10 * down_s + EXPIRY_S)
            case SlottedReplica():
                replica.is_down = True
        self._schedule_expiry(replica)
        server = self.servers_by_id[replica.id]
        await server.close()
        await asyncio.sleep(down_s)
        server.listen()
        replica.restart()

    async def release(self, replica):
        """Replace a plain replica: it drains, lingers and ends; a new one starts."""
        replica.publish("draining")
        self.drained_at_by_id[replica.id] = time.monotonic()
        await asyncio.sleep(DRAIN_S + LINGER_S)
        await self.servers_by_id.pop(replica.id).close()
        self.store.remove("servers", replica.id)
        del self.plain_replicas[replica.id]
        self.add_plain_replica()

    def silence_replica(self, replica):
        """Let a replica answer nothing; its entry expires unless it restarts."""
        replica.is_silent = True
        self._schedule_expiry(replica)

    def partition_from_store(self, replica):
        """Block a replica's store writes; its entry expires unless it restarts."""
        replica.cut_from_store = True
        self._schedule_expiry(replica)

    def restart(self, replica):
        """Restart a replica under the same id and end its faults."""
        replica.is_silent = False
        if isinstance(replica, ModelReplica):
            replica.cut_from_store = False
        self.drained_at_by_id.pop(replica.id, None)
        replica.restart()

    def drain(self, replica):
        """Let a model replica publish that it is draining."""
        replica.state = "draining"
        replica.publish()
        self.drained_at_by_id[replica.id] = time.monotonic()

    def _schedule_expiry(self, replica):
        born = replica.born

        def expire():
            is_cut = getattr(replica, "cut_from_store", False)
            is_away = replica.is_silent or replica.is_down or is_cut
            if is_away and replica.born == born:
                self.store.remove("servers", replica.id)

        self._timers.append(asyncio.get_running_loop().call_later(EXPIRY_S, expire))

    def _add_model_replica(self, index):
        domain = f"d{index // self._shape.replicas_per_domain}"
        replica = ModelReplica(
            id_=f"i-{domain}-{index}",
            service=MODEL_SERVICE,
            address=self._next_address(),
            zone=ZONES[index % len(ZONES)],
            domain=domain,
            engine=ENGINE,
            store=self.store,
            records=self.records,
            peers=self.model_replicas,
            seed=self._seed,
        )
        self.servers_by_id[replica.id] = ReplicaServer(replica, self._seed)

    def add_plain_replica(self):
        """Start a plain replica with a new id at a new address."""
        index = self._plain_count
        self._plain_count += 1
        replica = SlottedReplica(
            id_=f"p-{index}",
            service=PLAIN_SERVICE,
            address=self._next_address(),
            zone=ZONES[index % len(ZONES)],
            store=self.store,
            records=self.records,
            seed=self._seed,
            slots=self._shape.plain_slots,
            queue=self._shape.plain_queue,
            work_s=self._shape.plain_work,
        )
        self.plain_replicas[replica.id] = replica
        self.servers_by_id[replica.id] = ReplicaServer(replica, self._seed)

    def _next_address(self):
        self._last_port += 1
        return f"{self._host}:{self._last_port}"


def _route(kind):
    """Return the configuration's route of a `RequestKind`."""
    service = MODEL_SERVICE if kind.is_stream else PLAIN_SERVICE
    document = route(
        kind.name,
        f"/{kind.name}/",
        kind.kind,
        service,
        round(kind.timeout * 1000),
        round(kind.first_byte * 1000),
        attempts=kind.attempts,
    )
    document["targetGapMs"] = round(kind.max_gap * 1000)
    return document
