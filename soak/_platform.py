"""The emulated platform on loopback: its store, its replicas and its operator."""

import asyncio
import random
import time

from soak._leaving import Leaving
from soak._links import Link
from standins._network import SocketServer
from standins._stutter import Stutter
from standins.emulator import (
    ModelReplica,
    ObjectStore,
    PlainReplica,
    Records,
    configuration_document,
)
from standins.emulator._documents import (
    ENGINE,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    default_routes,
    route,
)
from standins.stuttering import StutteringServer

DOMAIN_COUNT = 3
REPLICAS_PER_DOMAIN = 6
PLAIN_REPLICA_COUNT = 3
ZONES = ("z-a", "z-b", "z-c")
# The platform removes the entry of a replica that is silent or cut off from the
# store for this long.
EXPIRY_S = 3.6
# Shorter than the emulator's load times, so that a short soak covers group repairs.
LOAD_SECONDS_BY_MODEL = {"large": 4.0, "small": 3.0}
VERSION_PATH = "/v{}/"


class WrittenVersion:
    """A version of the configuration and when the store acknowledged it."""

    __slots__ = ("number", "written_at")

    def __init__(self, number, written_at):
        self.number = number
        self.written_at = written_at


class Platform:
    """The store, the replicas and the operator, with faults of replicas.

    Daemons reach each replica through a `Link` at the replica's listed address.
    ``answers`` has the `SentAnswer` of each request at a replica that stutters.
    """

    __slots__ = (
        "answers",
        "store",
        "records",
        "model_replicas",
        "plain_replicas",
        "links_by_replica_id",
        "store_address",
        "versions",
        "leavings",
        "_host",
        "_last_port",
        "_servers",
        "_timers",
        "_engine",
        "_stuttering",
        "_stutters",
        "_seed",
    )

    def __init__(self, host, first_port, *, seed, stuttering=None):
        """Start the store and the replicas.

        :param stuttering: the options of each replica's `Stutter`; by default, none
            of them stutters.
        """
        self.answers = []
        self._stuttering = stuttering
        self._stutters = []
        self._seed = seed
        self.store = ObjectStore(seed=seed)
        self.records = Records()
        self.model_replicas = {}
        self.plain_replicas = {}
        self.links_by_replica_id = {}
        self.versions = []
        self.leavings = []
        self._host = host
        self._last_port = first_port
        self._servers = []
        self._timers = []
        models = [
            {**model, "loadS": LOAD_SECONDS_BY_MODEL[model["name"]]}
            for model in ENGINE["models"]
        ]
        self._engine = {**ENGINE, "models": models}
        self.store_address = self._start_server(self.store)
        self.write_version()
        for index in range(DOMAIN_COUNT * REPLICAS_PER_DOMAIN):
            self._add_model_replica(f"d{index // REPLICAS_PER_DOMAIN}", index, seed)
        for index in range(PLAIN_REPLICA_COUNT):
            self._add_plain_replica(index, seed)

    async def open(self):
        """Open the links to the replicas."""
        for link in self.links_by_replica_id.values():
            await link.open()

    async def close(self):
        """Stop the replicas, the links and the servers."""
        for timer in self._timers:
            timer.cancel()
        for replica in self.model_replicas.values():
            replica.stop_tasks()
        for link in self.links_by_replica_id.values():
            await link.close()
        for server in self._servers:
            await server.close()

    def set_error_share(self, share):
        """Let the plain replicas fail this share of their requests."""
        for replica in self.plain_replicas.values():
            replica.error_share = share

    def end_stutter(self):
        """Let every replica answer once, and none fail."""
        for stutter in self._stutters:
            stutter.share = stutter.faulty_share = 0.0
        self.set_error_share(0.0)

    def write_version(self):
        """Write the next version, whose own route replaces the previous version's."""
        number = len(self.versions) + 1
        path = VERSION_PATH.format(number)
        routes = [
            *default_routes(),
            route(f"v{number}", path, "idempotent", PLAIN_SERVICE, 1200, 150),
        ]
        services = [
            {"name": MODEL_SERVICE, "maxConns": 400, "engine": self._engine},
            {"name": PLAIN_SERVICE, "maxConns": 100},
        ]
        document = configuration_document(number, routes=routes, services=services)
        self.store.put("config", "main", document)
        self.versions.append(WrittenVersion(number, time.monotonic()))

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
        replica.is_silent = replica.cut_from_store = replica.says_leaving = False
        self._end_leavings(replica)
        replica.restart()

    def drain(self, replica):
        """Let a replica publish that it is draining."""
        self.record_leaving(replica, "draining")
        replica.leave()

    def record_leaving(self, replica, manner):
        """Record that ``replica`` leaves, before it does."""
        self.leavings.append(Leaving(replica.id, manner))

    def _end_leavings(self, replica):
        for leaving in self.leavings:
            if leaving.replica == replica.id:
                leaving.ended_at = min(leaving.ended_at, time.monotonic())

    def exit(self, replica):
        """End a replica's process, and with it the entry and the connections."""
        replica.exit()
        self._end_leavings(replica)
        self.store.remove("servers", replica.id)
        self.links_by_replica_id[replica.id].reset()

    def replica(self, id_):
        """Return the model or plain replica ``id_``."""
        return self.model_replicas.get(id_) or self.plain_replicas[id_]

    def is_undisturbed(self, replica):
        """Return whether ``replica`` runs, is listed and does not leave."""
        entry = self.store.objects_by_kind["servers"].get(replica.id)
        is_listed = entry is not None and entry["specification"]["state"] == "ready"
        has_fault = replica.is_silent or replica.is_down or replica.says_leaving
        return is_listed and not has_fault and not replica.cut_from_store

    def _schedule_expiry(self, replica):
        def expire():
            if replica.is_silent or replica.cut_from_store:
                self.store.remove("servers", replica.id)

        self._timers.append(asyncio.get_running_loop().call_later(EXPIRY_S, expire))

    def _add_model_replica(self, domain, index, seed):
        id_ = f"i-{domain}-{index}"
        self.model_replicas[id_] = replica = ModelReplica(
            id_=id_,
            service=MODEL_SERVICE,
            address=self._next_address(),
            zone=ZONES[index % len(ZONES)],
            domain=domain,
            engine=self._engine,
            store=self.store,
            records=self.records,
            peers=self.model_replicas,
            seed=seed,
        )
        self._add_link(replica)

    def _add_plain_replica(self, index, seed):
        id_ = f"p-{index}"
        self.plain_replicas[id_] = replica = PlainReplica(
            id_=id_,
            service=PLAIN_SERVICE,
            address=self._next_address(),
            zone=ZONES[index % len(ZONES)],
            store=self.store,
            records=self.records,
            seed=seed,
        )
        self._add_link(replica)

    def _add_link(self, replica):
        """Serve a replica behind a link that listens on its listed address."""
        address = (
            self._start_server(replica)
            if self._stuttering is None
            else self._start_stuttering_server(replica)
        )
        link = Link(host_port(replica.address), host_port(address))
        self.links_by_replica_id[replica.id] = link

    def _start_server(self, handler):
        address = self._next_address()
        server = SocketServer(handler)
        server.listen(address)
        self._servers.append(server)
        return address

    def _start_stuttering_server(self, replica):
        address = self._next_address()
        rng = random.Random(f"{self._seed}-{replica.id}")
        stutter = Stutter(rng, **self._stuttering)
        self._stutters.append(stutter)
        server = StutteringServer(replica.id, replica, stutter, self.answers)
        server.listen_on(address)
        self._servers.append(server)
        return address

    def _next_address(self):
        self._last_port += 1
        return f"{self._host}:{self._last_port}"


def host_port(address):
    """Return ``host:port`` as a pair of the host and the port number."""
    host, _, port = address.rpartition(":")
    return host, int(port)
