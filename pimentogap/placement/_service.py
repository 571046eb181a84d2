"""The service that chooses backend servers."""

import math
from dataclasses import dataclass

from logbook import Logger

from pimentogap.kernel import RestartOnError
from pimentogap.metrics import Series
from pimentogap.occupancy import Counts, Others
from pimentogap.pace import Evidence, PaceBook, Reason, Room
from pimentogap.placement._choice import choose_by_room
from pimentogap.placement._flow import ModelFlow
from pimentogap.placement._latency import ModelLatency
from pimentogap.placement._loads import (
    MAX_REQUESTS_PER_SLOT,
    OTHERS_LIFETIME_S,
    BackendLoad,
)
from pimentogap.types import Backend

log = Logger("placement")

# Backend servers whose estimated load exceeds the least by at most this many
# requests count as equally loaded.
EQUAL_LOAD_REQUESTS = 0.75
# The same for a group, in which a request that waits for a slot is late.
MAX_GROUP_REQUESTS_PER_SLOT = 1.0
# The limit of each backend server, exported by each daemon.
PACE_GAUGE = "pace_limit"
PRUNE_INTERVAL_S = 10.0


@dataclass(frozen=True, slots=True)
class Forward:
    """Send the request to ``backend``."""

    backend: Backend


@dataclass(frozen=True, slots=True)
class Full:
    """Every backend server is full; the least loaded has ``requests_per_slot``."""

    requests_per_slot: float


@dataclass(frozen=True, slots=True)
class Limited:
    """Every backend server asks for quiet, or got all that the limit it names allows.

    The first of them takes another request in ``next_in_s`` seconds.
    """

    next_in_s: float


@dataclass(frozen=True, slots=True)
class Missing:
    """There is no backend server for the request at present."""


class PlacementService:
    """Chooses among the least loaded backend servers, by estimates of their load."""

    name = "placement"
    requires = (
        "directory",
        "serving_configuration",
        "permits",
        "occupancy",
        "daemons",
        "metrics",
    )
    __slots__ = (
        "_kernel",
        "_directory",
        "_permits",
        "_configuration",
        "loads_by_key",
        "_latencies_by_model",
        "_scarce_room",
        "_flows_by_model",
        "_paces",
        "_others",
        "_others_known_at",
    )

    def __init__(self, *, scarce_room=False):
        """Create the service.

        :param scarce_room: whether callers compete for room, so that each daemon goes
            by what all others state of their requests.
        """
        self._scarce_room = scarce_room
        self._flows_by_model = {}
        self._paces = PaceBook()
        self._others = Others(Counts(), 0.0)
        self._others_known_at = -math.inf
        self._kernel = None
        self._directory = None
        self._permits = None
        self._configuration = None
        self.loads_by_key = {}
        self._latencies_by_model = {}

    async def start(self, kernel):
        """Start the task that prunes the loads of unlisted backend servers."""
        self._kernel = kernel
        self._directory = kernel.get("directory")
        self._permits = kernel.get("permits")
        self._configuration = kernel.get("serving_configuration")
        if self._scarce_room:
            kernel.get("occupancy").attach(
                self._tell, self._hear, self._paces.limits_by_key
            )
        kernel.spawn(self.name, self._prune_unlisted, on_error=RestartOnError())

    async def stop(self):
        """Do nothing; the kernel ends the task."""

    def load(self, backend):
        """Return the `BackendLoad` of ``backend`` since its last start or join."""
        key = _load_key(backend)
        load = self.loads_by_key.get(key)
        if load is None:
            load = self.loads_by_key[key] = self._new_load(key, backend)
        return load

    def _new_load(self, key, backend):
        if not self._scarce_room:
            return BackendLoad(backend.id, backend.slots)
        text = _key_text(key)
        limit = self._paces.limit(text, _room(backend))
        load = BackendLoad(backend.id, backend.slots, limit=limit)
        at_work = self._others.counts.at_work_by_key.get(text, 0)
        load.record_others(at_work, self._others_known_at)
        return load

    def _tell(self):
        """Return what this daemon states of its requests, as `Counts`."""
        now = self._kernel.clock.time()
        self._update_pace(now)
        at_work_by_key = {
            _key_text(key): load.in_flight
            for key, load in self.loads_by_key.items()
            if load.in_flight
        }
        counts_by_model = {
            _key_text(key): flow.counts(now)
            for key, flow in self._flows_by_model.items()
        }
        flows = {
            model: counts for model, counts in counts_by_model.items() if any(counts)
        }
        signs_by_key = {
            _key_text(key): evidence.counts()
            for key, load in self.loads_by_key.items()
            if (evidence := load.answers.evidence(now)).total
        }
        hidden_by_key = {
            _key_text(key): surplus
            for key, load in self.loads_by_key.items()
            if (surplus := load.reports.surplus(now))[1]
        }
        return Counts(at_work_by_key, flows, 1, signs_by_key, hidden_by_key)

    def _hear(self, others):
        """Take over what all other daemons state of their requests."""
        now = self._kernel.clock.time()
        self._others = others
        self._others_known_at = now
        for key, load in self.loads_by_key.items():
            at_work = others.counts.at_work_by_key.get(_key_text(key), 0)
            load.record_others(at_work, now)
            hidden = others.counts.hidden_by_key.get(_key_text(key), (0, 0))
            load.record_hidden(hidden, now)
        for key, flow in self._flows_by_model.items():
            counts = others.counts.flows_by_model.get(_key_text(key), (0, 0))
            at_work = sum(
                self.load(item).expected_requests(now) for item in self._listed(*key)
            )
            flow.record_others(counts, at_work, now)
        for key, limit in others.limits_by_key.items():
            self._paces.follow(key, limit, now)

    def _update_pace(self, now):
        """Find the pace of each listed backend server, or take the relays'.

        A relay knows the answers to all daemons. A daemon that hears of no relay goes
        by its own.
        """
        backends_by_key = {}
        rooms = {}
        for model, backend in self._backends():
            key = _key_text(_load_key(backend))
            backends_by_key[key] = backend
            rooms[key] = _room(backend, model)
        self._paces.record_listed(rooms, now)
        self._paces.forget_unlisted(now)
        is_known = now - self._others_known_at <= OTHERS_LIFETIME_S
        decides = not is_known or self._kernel.get("daemons").is_relay()
        signs_by_key = self._others.counts.signs_by_key if is_known else {}
        if decides:
            self._paces.record_evidence(
                {
                    key: self.load(backend).answers.evidence(now)
                    + Evidence(*signs_by_key.get(key, ()))
                    for key, backend in backends_by_key.items()
                }
            )
        for key, backend in backends_by_key.items():
            load = self.load(backend)
            if decides:
                self._paces.update(key, load.expected_requests(now), now)
            self._set_limit(backend, load, self._paces.paces_by_key[key])

    def _set_limit(self, backend, load, pace):
        metrics = self._kernel.get("metrics")
        series = Series(PACE_GAUGE, backend.service, "-", backend=backend.id)
        metrics.set_gauge(series, pace.limit)
        if pace.limit == load.limit:
            return
        if pace.reason is not Reason.TOLD:
            log.info(
                "pace changed",
                backend=backend.id,
                limit=round(pace.limit, 1),
                before=round(load.limit, 1),
                reason=pace.reason,
            )
        load.limit = pace.limit

    def _backends(self):
        """Yield every backend server that may get requests, after its model."""
        configuration = self._configuration.current
        services = configuration.services_by_name.values() if configuration else ()
        for service in services:
            if service.engine is None:
                for backend in self._directory.backends(service.name):
                    yield (service.name, ""), backend
                continue
            for spec in service.engine.models:
                for backend in self._directory.heads(service.name, spec.name):
                    yield (service.name, spec.name), backend

    def _flow(self, service, model):
        key = (service, model)
        flow = self._flows_by_model.get(key)
        if flow is None:
            flow = self._flows_by_model[key] = ModelFlow()
        return flow

    def _listed(self, service, model):
        """Return the backend servers that may get requests for a model."""
        if model:
            return self._directory.heads(service, model)
        return self._directory.backends(service)

    def latency(self, service, model):
        """Return the `ModelLatency` of a model of ``service``."""
        key = (service, model)
        latency = self._latencies_by_model.get(key)
        if latency is None:
            latency = self._latencies_by_model[key] = ModelLatency()
        return latency

    def choose(self, service, model, *, excluded=(), allow_limited=True):
        """Return `Forward`, `Full`, `Limited` or `Missing` for a request.

        :param service: the name of the service.
        :param model: the name of the model; empty for a plain service.
        :param excluded: ids of backend servers that had an attempt of this request.
        :param allow_limited: whether a backend server that names a limit may be chosen.
        """
        candidates = [
            item
            for item in self._listed(service, model)
            if item.id not in excluded
            and (allow_limited or not self._permits.is_limited(item))
        ]
        if not candidates:
            return Missing()
        now = self._kernel.clock.time()
        waits_s = [self._wait_s(item, now) for item in candidates]
        if min(waits_s) > 0:
            return Limited(min(waits_s))
        candidates = [
            item
            for item, wait_s in zip(candidates, waits_s, strict=True)
            if wait_s <= 0
        ]
        unsuspected = [
            item for item in candidates if not self.load(item).is_suspect(now)
        ]
        candidates = unsuspected or candidates
        if not self._scarce_room:
            return self._choose_least_loaded(candidates, now)
        if not allow_limited:
            return self._choose_by_room(candidates, self._flow(service, model), now)
        flow = self._flow(service, model)
        flow.asked.record(now)
        choice = self._choose_by_room(candidates, flow, now)
        if isinstance(choice, Forward):
            flow.sent.record(now)
        return choice

    def _wait_s(self, backend, now):
        """Return the seconds for which ``backend`` takes no request, as it has said."""
        return max(self._permits.next_in_s(backend), self.load(backend).quiet_in_s(now))

    def _choose_least_loaded(self, candidates, now):
        requests_per_slot = [
            self.load(item).requests_per_slot(now) for item in candidates
        ]
        least = min(requests_per_slot)
        if least >= MAX_REQUESTS_PER_SLOT:
            return Full(least)
        equally_loaded = [
            item
            for item, each in zip(candidates, requests_per_slot, strict=True)
            if (each - least) * item.slots <= EQUAL_LOAD_REQUESTS
        ]
        return Forward(self._kernel.random.choice(equally_loaded))

    def _choose_by_room(self, candidates, flow, now):
        loads = [self.load(item) for item in candidates]
        age_s = now - self._others_known_at
        is_known = age_s <= OTHERS_LIFETIME_S
        age_s = age_s + self._others.age_s if is_known else None
        index = choose_by_room(loads, flow, age_s, now, self._kernel.random)
        if index is None:
            return Full(min(load.requests_per_slot(now) for load in loads))
        return Forward(candidates[index])

    async def _prune_unlisted(self):
        while True:
            await self._kernel.clock.sleep(PRUNE_INTERVAL_S)
            listed = {
                _load_key(item) for item in self._directory.backends_by_id.values()
            }
            for key in [key for key in self.loads_by_key if key not in listed]:
                if not self.loads_by_key[key].in_flight:
                    del self.loads_by_key[key]
            self._forget_models()
            self._kernel.get("metrics").remove_gauges(PACE_GAUGE)

    def _forget_models(self):
        """Forget models that the configuration does not have, which callers named."""
        configuration = self._configuration.current
        services = configuration.services_by_name if configuration else {}
        known = {
            (service.name, spec.name)
            for service in services.values()
            if service.engine is not None
            for spec in service.engine.models
        }
        for key in self._latencies_by_model.keys() - known:
            del self._latencies_by_model[key]
        plain = {(name, "") for name in services}
        for key in self._flows_by_model.keys() - known - plain:
            del self._flows_by_model[key]


def _key_text(key):
    return ".".join(map(str, key))


def _room(backend, model=None):
    """Return the `Room` of a backend server: a group's slots, or more than those."""
    if backend.membership is None:
        return Room(model, MAX_REQUESTS_PER_SLOT * backend.slots)
    return Room(model, MAX_GROUP_REQUESTS_PER_SLOT * backend.slots)


def _load_key(backend):
    membership = backend.membership
    return backend.id, backend.incarnation, membership.epoch if membership else 0
