"""A fleet of front daemons and an emulated platform, in one process."""

import asyncio

import yaml

from pimentogap.forwarding import CallerRequest
from pimentogap.kernel import Clock
from pimentogap.platform import (
    HttpEngines,
    ObjectTransport,
    PlatformHeaders,
    load_platform_settings,
)
from pimentogap.programs import assemble_front
from pimentogap.types import RequestNeeds
from standins.emulator._documents import (
    ENGINE,
    HOST,
    KEY,
    LARGE_MODEL,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    configuration_document,
    settings_document,
)
from standins.emulator._network import EmulatedNetwork, LocalCallTransport
from standins.emulator._plain import PlainReplica
from standins.emulator._records import Records
from standins.emulator._replicas import ModelReplica
from standins.emulator._store import ObjectStore

STORE_ADDRESS = "store:1"
ZONES = ("z-a", "z-b", "z-c")


class Response:
    """Receives the answer to one request, in place of a caller's connection.

    ``write_times`` has the time of each streamed part of the body, by the loop's clock,
    and ``is_finished`` is set once the answer is complete. ``heads`` counts the status
    lines, of which an answer has one.
    """

    __slots__ = (
        "begun",
        "heads",
        "is_finished",
        "aborted",
        "status",
        "headers",
        "body",
        "write_times",
    )

    def __init__(self):
        self.begun = False
        self.heads = 0
        self.is_finished = False
        self.aborted = False
        self.status = None
        self.headers = {}
        self.body = b""
        self.write_times = []

    def begin(self, status, headers):
        """Store the status and headers."""
        self.begun = True
        self.heads += 1
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}

    def send(self, chunk):
        """Append a part of the body."""
        self.body += chunk

    async def write(self, chunk):
        """Append a streamed part of the body and record its time."""
        self.write_times.append(asyncio.get_running_loop().time())
        self.body += chunk

    def finish(self):
        """Record that the answer is complete."""
        self.is_finished = True

    def abort(self):
        """Record that the answer was cut off."""
        self.aborted = True


class Request:
    """One request of a caller, with its response and the task that serves it.

    ``sent_at`` is by the loop's clock; ``parts`` are the shared parts of its prompt.
    """

    __slots__ = ("id", "response", "task", "daemon", "parts", "sent_at")

    def __init__(self, attempt_id, daemon, parts, sent_at):
        self.id = attempt_id
        self.response = Response()
        self.task = None
        self.daemon = daemon
        self.parts = parts
        self.sent_at = sent_at

    def events(self):
        """Return the ids of the events that the caller received, in order."""
        lines = self.response.body.decode().split("\n")
        return [int(line[4:]) for line in lines if line.startswith("id: ")]


class EmulatedFleet:
    """Daemons, a store and replicas, each with faults that can be injected."""

    __slots__ = (
        "network",
        "store",
        "records",
        "replicas_by_id",
        "plain_replicas_by_id",
        "kernels_by_name",
        "cut_calls",
        "frozen_addresses",
        "_call_handlers_by_address",
        "_seed",
        "_contracts",
        "_request_count",
        "bounds",
        "distinct_seeds",
    )

    def __init__(self, *, seed=0, bounds=None, distinct_seeds=False, contracts=()):
        """Create an empty fleet.

        :param bounds: figures that the settings of daemons name besides the usual ones.
        :param distinct_seeds: whether each daemon makes other random choices.
        :param contracts: the parts of the rules that the settings say are in force.
        """
        self.bounds = bounds or {}
        self.distinct_seeds = distinct_seeds
        self.network = EmulatedNetwork()
        self.store = ObjectStore(seed=seed)
        self.records = Records()
        self.replicas_by_id = {}
        self.plain_replicas_by_id = {}
        self.kernels_by_name = {}
        self.cut_calls = set()
        self.frozen_addresses = set()
        self._call_handlers_by_address = {}
        self._seed = seed
        self._contracts = contracts
        self._request_count = 0
        self.network.handlers_by_address[STORE_ADDRESS] = self.store

    async def start(
        self, *, daemons=3, domains=2, domain_size=8, plain=3, model_service=None
    ):
        """Write the first configuration and start the replicas and daemons.

        :param domains: number of fabric domains.
        :param domain_size: number of model replicas in each fabric domain.
        :param plain: number of replicas of the plain service.
        :param model_service: further fields of the model service's configuration.
        """
        document = configuration_document(1, model_service=model_service)
        self.store.put("config", "main", document)
        for domain in range(domains):
            for index in range(domain_size):
                self.add_replica(f"d{domain}", index)
        for index in range(plain):
            self._add_plain(index)
        for index in range(daemons):
            await self.start_daemon(f"front-{index}")

    def add_replica(self, domain, index):
        """Start a model replica in a fabric domain and return it."""
        id_ = f"i-{domain}-{index}"
        replica = ModelReplica(
            id_=id_,
            service=MODEL_SERVICE,
            address=f"{id_}:80",
            zone=ZONES[len(self.replicas_by_id) % len(ZONES)],
            domain=domain,
            engine=ENGINE,
            store=self.store,
            records=self.records,
            peers=self.replicas_by_id,
            seed=self._seed,
        )
        self.network.handlers_by_address[replica.address] = replica
        return replica

    def _add_plain(self, index):
        id_ = f"p-{index}"
        replica = PlainReplica(
            id_=id_,
            service=PLAIN_SERVICE,
            address=f"{id_}:80",
            zone=ZONES[index % len(ZONES)],
            store=self.store,
            records=self.records,
            seed=self._seed,
        )
        self.plain_replicas_by_id[id_] = replica
        self.network.handlers_by_address[replica.address] = replica

    async def start_daemon(self, name, *, zone=ZONES[0], first_start=True):
        """Start a daemon, or restart it without any state of its last run.

        :param first_start: whether the whole fleet starts for the first time.
        """
        document = settings_document(name, zone=zone, ip=name, store=STORE_ADDRESS)
        document["bootstrap"] = first_start
        document["bounds"].update(self.bounds)
        document["contracts"] = list(self._contracts)
        settings = load_platform_settings(yaml.safe_dump(document))
        client = self.network.client(name)
        kernel = assemble_front(
            settings,
            store_transport=ObjectTransport(client, STORE_ADDRESS),
            engines=HttpEngines(client),
            pool=client,
            codec=PlatformHeaders(),
            peer_transport=LocalCallTransport(
                self._call_handlers_by_address,
                self.cut_calls,
                self.frozen_addresses,
            ),
            clock=Clock(boot_time=asyncio.get_running_loop().time),
            seed=f"{name}-{self._seed}" if self.distinct_seeds else self._seed,
        )
        self.kernels_by_name[name] = kernel
        await kernel.start()

    async def kill_daemon(self, name):
        """End a daemon at once, without a graceful stop."""
        kernel = self.kernels_by_name.pop(name)
        self._call_handlers_by_address.pop(kernel.get("calls").address, None)
        await kernel.abort()

    async def stop_daemon(self, name):
        """Stop a daemon gracefully."""
        await self.kernels_by_name.pop(name).stop()

    async def close(self):
        """End all daemons and the tasks of all model replicas."""
        for name in list(self.kernels_by_name):
            await self.kill_daemon(name)
        for replica in self.replicas_by_id.values():
            replica.stop_tasks()

    def lose_replica(self, id_):
        """Make a replica silent; its entry in the store stays until it is removed."""
        self.replicas_by_id[id_].is_silent = True

    def send_request(
        self,
        method,
        path,
        *,
        daemon="front-0",
        model=LARGE_MODEL,
        parts=(),
        **more_needs,
    ):
        """Send a request to ``daemon`` and return the `Request`.

        :param model: the model that a streaming request (``/draft/``) names.
        :param parts: ids of the shared parts of its prompt.
        :param more_needs: fields of `RequestNeeds` that replace the defaults.
        """
        self._request_count += 1
        now = asyncio.get_running_loop().time()
        request = Request(f"a{self._request_count:04d}", daemon, tuple(parts), now)
        is_streaming = path.startswith("/draft/")
        needs = {
            "attempt_id": request.id,
            "deadline_s": 8.0,
            "key": KEY,
            "model": model if is_streaming else "",
            "shared_parts": tuple(parts),
            **more_needs,
        }
        headers = [("X-Pimentogap-Attempt-Id", request.id), ("Host", HOST)]
        if is_streaming:
            headers.append(("X-Pimentogap-Model", model))
            headers.append(("X-Pimentogap-Token-Count", "1400,135"))
            prompt = ",".join(f"{id_}:100" for id_ in (*parts, request.id))
            headers.append(("X-Pimentogap-Prompt-Prefix", prompt))
        call = CallerRequest(
            method=method,
            path=path,
            host=HOST,
            headers=headers,
            body=b"",
            needs=RequestNeeds(**needs),
            received_at=now,
        )
        call.response = request.response
        forwarding = self.kernels_by_name[daemon].get("forwarding")
        request.task = asyncio.ensure_future(forwarding.serve(call))
        return request

    def open_group_heads(self, model):
        """Return the head replicas of the open groups of ``model``.

        The state of the replicas themselves counts, not their entries in the store.
        """
        return [
            replica
            for replica in self.replicas_by_id.values()
            if replica.place is not None
            and replica.place.rank == 0
            and replica.place.state == "open"
            and replica.place.model == model
            and not replica.is_silent
            and not replica.is_down
        ]

    def leader_names(self):
        """Return the names of the daemons that hold the leader's lease."""
        return [
            name
            for name, kernel in self.kernels_by_name.items()
            if kernel.get("lease").is_held()
        ]
