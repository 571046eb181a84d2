"""Detects lost group members by probes, before the backend list shows the loss."""

from logbook import Logger

from pimentogap.errors import ConnectionFailed, ResponseLost

log = Logger("formation.losses")

OWNER = "formation"
PROBE_INTERVAL_S = 0.6
SUSPICION_S = 0.4


class LossDetector:
    """Probes the members of groups whose head is suspected; records the lost ones."""

    __slots__ = (
        "_kernel",
        "_engines",
        "_lost_ids",
        "_probed_at_by_key",
        "_suspected_until_by_id",
    )

    def __init__(self, kernel, engines):
        """Create a detector that probes members through ``engines``."""
        self._kernel = kernel
        self._engines = engines
        self._lost_ids = set()
        self._probed_at_by_key = {}
        self._suspected_until_by_id = {}

    def is_lost(self, backend_id):
        """Return whether a backend server is considered lost."""
        return backend_id in self._lost_ids

    def suspect_head(self, backend_id):
        """Suspect the head ``backend_id`` for `SUSPICION_S` seconds."""
        now = self._kernel.clock.time()
        self._suspected_until_by_id[backend_id] = now + SUSPICION_S

    def probe_if_suspect(self, group):
        """Probe every member of ``group``, a `GroupView`, if its head is suspected."""
        now = self._kernel.clock.time()
        load = self._kernel.get("placement").load(group.head)
        if not load.is_suspect(now) and (
            now >= self._suspected_until_by_id.get(group.head.id, 0.0)
        ):
            return
        key = (group.name, group.epoch)
        if now - self._probed_at_by_key.get(key, 0.0) < PROBE_INTERVAL_S:
            return
        self._probed_at_by_key[key] = now
        for member in group.members_by_rank.values():
            self._kernel.spawn(OWNER, self._probe, member, group)

    async def _probe(self, member, group):
        try:
            report = await self._engines.report(member)
        except (ConnectionFailed, ResponseLost) as error:
            self._lost_ids.add(member.id)
            log.warning(
                "member believed lost",
                backend=member.id,
                group=group.name,
                error=str(error),
            )
            self._kernel.spawn(OWNER, self._reprobe_lost, member)
            return
        self._lost_ids.discard(member.id)
        if report is not None and report.membership != member.membership:
            log.info("engine report differs from the backend list", backend=member.id)

    async def _reprobe_lost(self, member):
        """Probe a lost member until it answers or is gone from the backend list."""
        directory = self._kernel.get("directory")
        while member.id in self._lost_ids:
            await self._kernel.clock.sleep(PROBE_INTERVAL_S * 2)
            if member.id not in directory.backends_by_id:
                break
            try:
                await self._engines.report(member)
                break
            except (ConnectionFailed, ResponseLost) as error:
                log.debug(
                    "lost member still does not answer",
                    backend=member.id,
                    error=str(error),
                )
        self._lost_ids.discard(member.id)
        log.info("member no longer believed lost", backend=member.id)
