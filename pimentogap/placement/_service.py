"""The service that chooses backend servers."""

from dataclasses import dataclass

from logbook import Logger

from pimentogap.placement._loads import BackendLoad
from pimentogap.types import Backend

log = Logger("placement")

# Requests for each slot that a backend server may have, running and queued.
QUEUE_FACTOR = 2.0
# Estimated loads closer than this are as good as equal.
EQUAL_LOAD = 0.75
FORGET_INTERVAL_S = 10.0


@dataclass(frozen=True, slots=True)
class Forward:
    """Send the request to ``backend``."""

    backend: Backend


@dataclass(frozen=True, slots=True)
class Full:
    """Every backend server has as much as it should; ``load`` is the least one's."""

    load: float


@dataclass(frozen=True, slots=True)
class Missing:
    """No backend server can take the request at present."""


class PlacementService:
    """Compares backend servers by the requests that they are thought to have."""

    name = "placement"
    requires = ("directory", "serving_configuration")
    __slots__ = ("_kernel", "_directory", "_configuration", "loads_by_key")

    def __init__(self):
        self._kernel = None
        self._directory = None
        self._configuration = None
        self.loads_by_key = {}

    async def start(self, kernel):
        """Take the directory and the clock of ``kernel``."""
        self._kernel = kernel
        self._directory = kernel.get("directory")
        self._configuration = kernel.get("serving_configuration")
        kernel.spawn(self.name, self._forget_gone)

    async def stop(self):
        """Do nothing; the kernel ends the task."""

    def load(self, backend):
        """Return the `BackendLoad` of ``backend`` in its present group and life."""
        key = _key(backend)
        load = self.loads_by_key.get(key)
        if load is None:
            load = self.loads_by_key[key] = BackendLoad(backend.id, backend.slots)
        return load

    def choose(self, service, model, *, excluded=()):
        """Return `Forward`, `Full` or `Missing` for a request.

        :param service: the name of the service.
        :param model: the model that is to answer; empty for a plain service.
        :param excluded: ids of backend servers that failed this request.
        """
        if model:
            candidates = self._directory.heads(service, model)
        else:
            candidates = self._directory.backends(service)
        candidates = [item for item in candidates if item.id not in excluded]
        if not candidates:
            return Missing()
        now = self._kernel.clock.time()
        sound = [item for item in candidates if not self.load(item).is_suspect(now)]
        return self._least(sound or candidates, now)

    def _least(self, candidates, now):
        loads = [self.load(item).fullness(now) for item in candidates]
        least = min(loads)
        if least >= QUEUE_FACTOR:
            return Full(least)
        near = [
            item
            for item, load in zip(candidates, loads, strict=True)
            if (load - least) * item.slots <= EQUAL_LOAD
        ]
        return Forward(self._kernel.random.choice(near))

    async def _forget_gone(self):
        while True:
            await self._kernel.clock.sleep(FORGET_INTERVAL_S)
            listed = {_key(item) for item in self._directory.backends_by_id.values()}
            for key in [key for key in self.loads_by_key if key not in listed]:
                if not self.loads_by_key[key].in_flight:
                    del self.loads_by_key[key]


def _key(backend):
    place = backend.membership
    return backend.id, backend.born_ms, place.epoch if place else 0
