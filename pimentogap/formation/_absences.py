"""Probes group members whose entries expired, to learn whether they still work."""

from dataclasses import replace

from logbook import Logger

from pimentogap.errors import ConnectionFailed, ResponseLost
from pimentogap.types import BackendState, MemberState

log = Logger("formation.absences")

OWNER = "formation"
PROBE_INTERVAL_S = 1.0
# While a member loads weights, its report tells when the group can be opened.
JOINING_PROBE_INTERVAL_S = 0.3
# A probe that fails is repeated once after this time: the loss of one packet may have
# caused the failure.
RETRY_DELAY_S = 0.1
FAILURES_UNTIL_LOST = 2


class AbsenceProber:
    """Finds out what became of the members that the directory lists as absent.

    A member that answers and is not about to leave is cut off from the store alone;
    its group goes on. One that does not answer is lost.
    """

    __slots__ = (
        "_kernel",
        "_engines",
        "_observed_by_id",
        "_lost_ids",
        "_probed_by_id",
    )

    def __init__(self, kernel, engines):
        """Create a prober that reaches members through ``engines``."""
        self._kernel = kernel
        self._engines = engines
        self._observed_by_id = {}
        self._lost_ids = set()
        self._probed_by_id = {}

    def present_members(self, service):
        """Return the absent members of ``service``, a `ServiceSpec`, that may work.

        Each is the `Backend` as its last report shows it, or, until the first report,
        as its last entry did. One that is about to leave is in the state ``DRAINING``.
        One that has left its group is not among them: without an entry it cannot
        join another.
        """
        absent_by_id = self._kernel.get("directory").absent_by_id
        for id_, backend in absent_by_id.items():
            if backend.service == service.name and (
                self._probed_by_id.get(id_) is not backend
            ):
                self._probed_by_id[id_] = backend
                self._observed_by_id.pop(id_, None)
                self._lost_ids.discard(id_)
                self._kernel.spawn(OWNER, self._probe, backend, service.health_path)
        present = [
            self._observed_by_id.get(id_, backend)
            for id_, backend in absent_by_id.items()
            if backend.service == service.name and id_ not in self._lost_ids
        ]
        return [backend for backend in present if backend.membership is not None]

    async def _probe(self, backend, health_path):
        """Probe ``backend`` until it is lost or no longer absent."""
        absent_by_id = self._kernel.get("directory").absent_by_id
        clock = self._kernel.clock
        failures = 0
        while absent_by_id.get(backend.id) is backend:
            try:
                observed = await self._observe(backend, health_path)
            except (ConnectionFailed, ResponseLost) as error:
                failures += 1
                if failures < FAILURES_UNTIL_LOST:
                    await clock.sleep(RETRY_DELAY_S)
                    continue
                self._lost_ids.add(backend.id)
                log.warning("absent member lost", backend=backend.id, error=str(error))
                return
            failures = 0
            if backend.id not in self._observed_by_id:
                log.info(
                    "absent member works", backend=backend.id, state=observed.state
                )
            self._observed_by_id[backend.id] = observed
            membership = observed.membership
            joins = membership is not None and membership.state is MemberState.JOINING
            await clock.sleep(JOINING_PROBE_INTERVAL_S if joins else PROBE_INTERVAL_S)
        self._observed_by_id.pop(backend.id, None)

    async def _observe(self, backend, health_path):
        observed = await self._engines.report(backend)
        if observed is None:
            raise ResponseLost(f"{backend.id} sent a report that cannot be read")
        if await self._engines.is_leaving(backend, health_path):
            return replace(observed, state=BackendState.DRAINING)
        return observed
