"""What a leader knows about the weights on each host of a backend server."""

# Factor on the load time of a model after which a load that was ordered, and that the
# backend list does not show as done, is no longer expected: concurrent loads slow each
# other down.
EXPECTED_LOAD_FACTOR = 2.0


class OrderedLoad:
    """A load that a host was ordered to start, expected to end by ``expected_until``.

    The time is in seconds of the runtime's clock.
    """

    __slots__ = ("model", "incarnation", "expected_until")

    def __init__(self, model, incarnation, expected_until):
        self.model = model
        self.incarnation = incarnation
        self.expected_until = expected_until


class HostWeights:
    """The model that each host served last, and the loads that were ordered."""

    __slots__ = ("_last_model_by_id", "_loads_by_id")

    def __init__(self):
        self._last_model_by_id = {}
        self._loads_by_id = {}

    def record_served(self, backend, model):
        """Record that ``backend`` was ready in a group of ``model``."""
        self._last_model_by_id[backend.id] = model

    def record_load(self, backend, spec, now):
        """Record that the host of ``backend`` was ordered to load ``spec``."""
        self._loads_by_id[backend.id] = OrderedLoad(
            spec.name, backend.incarnation, now + spec.load_s * EXPECTED_LOAD_FACTOR
        )

    def loading(self, backend, now):
        """Return the name of the model that the host loads now, or ``None``."""
        load = self._loads_by_id.get(backend.id)
        if load is None:
            return None
        if (
            load.incarnation != backend.incarnation
            or now >= load.expected_until
            or load.model in backend.staged
        ):
            del self._loads_by_id[backend.id]
            return None
        return load.model

    def is_cold(self, backend, spec, now):
        """Return whether ``backend`` could join a group of ``spec`` only by a load."""
        if self.loading(backend, now) is not None:
            return True
        is_last = self._last_model_by_id.get(backend.id) == spec.name
        return not is_last and spec.name not in backend.staged

    def rank(self, backend, spec, now):
        """Return how late ``backend`` can join a group of ``spec``: lowest is soonest.

        A host without any weights comes before one with those of another model, which
        a group of that model needs.
        """
        loading = self.loading(backend, now)
        if loading is not None:
            return 2 if loading == spec.name else 5
        if self._last_model_by_id.get(backend.id) == spec.name:
            return 0
        if spec.name in backend.staged:
            return 1
        return 4 if backend.staged else 3
