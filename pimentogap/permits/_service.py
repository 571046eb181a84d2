"""The service that keeps the limits on requests that backend servers name."""

from functools import partial

from logbook import Logger

from pimentogap.metrics import Series
from pimentogap.permits._known import KnownLimits, read_limit

log = Logger("permits")


class PermitService:
    """Learns from answers how many requests a second a backend server takes."""

    name = "permits"
    requires = ("metrics",)
    __slots__ = ("_kernel", "_known")

    def __init__(self):
        self._kernel = None
        self._known = KnownLimits()

    async def start(self, kernel):
        """Use the metrics of ``kernel``."""
        self._kernel = kernel

    async def stop(self):
        """Do nothing; the service has no task."""

    def recorder(self, backend):
        """Return a function that records the limit in an answer of ``backend``."""
        return partial(self._record_limit, backend)

    def _record_limit(self, backend, limit):
        """Record a `NoLimit`, `NamedLimit` or `UnreadableLimit`."""
        named = read_limit(backend, limit)
        if named is None:
            log.warning("limit not readable", backend=backend.id, limit=limit.text)
            return
        if self._known.put(backend.id, named):
            log.notice("limit named", backend=backend.id, per_s=named.per_s)
            gauge = Series("limited_backends", "-", "-")
            self._kernel.get("metrics").set_gauge(gauge, len(self._known))
