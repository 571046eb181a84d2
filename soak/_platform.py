"""The emulated platform on sockets: its store, its replicas and its operator."""

import asyncio
import time

from soak._links import Link
from standins._network import SocketServer
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
    route,
    usual_routes,
)

DOMAINS = 3
DOMAIN_SIZE = 6
PLAIN = 3
ZONES = ("z-a", "z-b", "z-c")
LAPSE_S = 3.6
# Weights load faster than on the platform, so that a short run sees repairs.
LOAD_SECONDS_BY_MODEL = {"large": 4.0, "small": 3.0}
VERSION_PATH = "/v{}/"


class Written:
    """One version of the configuration, and when the store acknowledged it."""

    __slots__ = ("version", "at")

    def __init__(self, version, at):
        self.version = version
        self.at = at


class Platform:
    """Everything that daemons meet, on loopback, behind links that can be harmed."""

    __slots__ = (
        "store",
        "records",
        "models",
        "plain",
        "links_by_replica",
        "store_address",
        "written",
        "drained_at_by_id",
        "_host",
        "_port",
        "_servers",
        "_lapses",
        "_engine",
    )

    def __init__(self, host, first_port, *, seed):
        self.store = ObjectStore(seed=seed)
        self.records = Records()
        self.models = {}
        self.plain = {}
        self.links_by_replica = {}
        self.written = []
        self.drained_at_by_id = {}
        self._host = host
        self._port = first_port
        self._servers = []
        self._lapses = []
        models = [
            {**model, "loadS": LOAD_SECONDS_BY_MODEL[model["name"]]}
            for model in ENGINE["models"]
        ]
        self._engine = {**ENGINE, "models": models}
        self.store_address = self._serve(self.store)
        self.configure()
        for index in range(DOMAINS * DOMAIN_SIZE):
            self._add_model(f"d{index // DOMAIN_SIZE}", index, seed)
        for index in range(PLAIN):
            self._add_plain(index, seed)

    async def open(self):
        """Begin to relay to the replicas."""
        for link in self.links_by_replica.values():
            await link.open()

    async def close(self):
        """End everything."""
        for lapse in self._lapses:
            lapse.cancel()
        for replica in self.models.values():
            replica.stop_tasks()
        for link in self.links_by_replica.values():
            await link.close()
        for server in self._servers:
            await server.close()

    def configure(self):
        """Write the next version, which replaces the route of the last one."""
        version = len(self.written) + 1
        path = VERSION_PATH.format(version)
        routes = [
            *usual_routes(),
            route(f"v{version}", path, "idempotent", PLAIN_SERVICE, 1200, 150),
        ]
        services = [
            {"name": MODEL_SERVICE, "maxConns": 400, "engine": self._engine},
            {"name": PLAIN_SERVICE, "maxConns": 100},
        ]
        document = configuration_document(version, routes=routes, services=services)
        self.store.put("config", "main", document)
        self.written.append(Written(version, time.monotonic()))

    def lose(self, replica):
        """Make a model replica silent; its entry lapses if it stays so."""
        replica.dark = True
        self._lapse_later(replica)

    def cut_off(self, replica):
        """Part a model replica from the store; its entry lapses if it stays so."""
        replica.cut_from_store = True
        self._lapse_later(replica)

    def restart(self, replica):
        """Start a model replica again under its id."""
        replica.dark = replica.cut_from_store = False
        self.drained_at_by_id.pop(replica.id, None)
        replica.restart()

    def drain(self, replica):
        """Have a model replica say that it leaves."""
        replica.state = "draining"
        replica.publish()
        self.drained_at_by_id[replica.id] = time.monotonic()

    def _lapse_later(self, replica):
        def lapse():
            if replica.dark or replica.cut_from_store:
                self.store.remove("servers", replica.id)

        self._lapses.append(asyncio.get_running_loop().call_later(LAPSE_S, lapse))

    def _add_model(self, domain, index, seed):
        id_ = f"i-{domain}-{index}"
        self.models[id_] = replica = ModelReplica(
            id_=id_,
            service=MODEL_SERVICE,
            address=self._next_address(),
            zone=ZONES[index % len(ZONES)],
            domain=domain,
            engine=self._engine,
            store=self.store,
            records=self.records,
            peers=self.models,
            seed=seed,
        )
        self._relay(replica)

    def _add_plain(self, index, seed):
        id_ = f"p-{index}"
        self.plain[id_] = replica = PlainReplica(
            id_=id_,
            service=PLAIN_SERVICE,
            address=self._next_address(),
            zone=ZONES[index % len(ZONES)],
            store=self.store,
            records=self.records,
            seed=seed,
        )
        self._relay(replica)

    def _relay(self, replica):
        """Put a link between a replica's listed address and the replica."""
        link = Link(pair(replica.address), pair(self._serve(replica)))
        self.links_by_replica[replica.id] = link

    def _serve(self, handler):
        address = self._next_address()
        server = SocketServer(handler)
        server.listen(address)
        self._servers.append(server)
        return address

    def _next_address(self):
        self._port += 1
        return f"{self._host}:{self._port}"


def pair(address):
    """Return the host and the port of ``address``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
