"""Asks servers themselves while their entries may be those of an older copy."""

from logbook import Logger

from pimentogap.errors import ConnectionFailed, ResponseLost

log = Logger("formation.confirmations")

OWNER = "formation"
# Time in which the removal of an entry that expired reaches the leader.
REMOVAL_LAG_S = 0.5
REPORTS_AT_ONCE = 64
# A report that fails is asked for again, since the loss of one packet may be the cause.
ATTEMPTS = 2


class Confirmations:
    """Finds out whom to believe after the store may have come back from a copy.

    A server that is cut off from the store cannot correct its entry, which stays in the
    copy until it expires. Until then each server is asked for its report. One that is
    listed as free is free only if it says so. A group is left alone if a server says
    otherwise of it than the list, or its fabric domain has not answered yet.
    """

    __slots__ = (
        "_kernel",
        "_engines",
        "_doubt_s",
        "_asked_by_id",
        "_reported_by_id",
        "_asking_ids",
        "_unasked_domains",
        "_doubtful_keys",
    )

    def __init__(self, kernel, engines, entry_lifetime_s):
        """Ask servers through ``engines``.

        :param entry_lifetime_s: seconds after which an entry expires unless written.
        """
        self._kernel = kernel
        self._engines = engines
        self._doubt_s = entry_lifetime_s + REMOVAL_LAG_S
        self._asked_by_id = {}
        self._reported_by_id = {}
        self._asking_ids = set()
        self._unasked_domains = set()
        self._doubtful_keys = set()

    def ask(self):
        """Ask each server whose present entry it has not been asked about."""
        self._unasked_domains.clear()
        self._doubtful_keys.clear()
        if self._are_needless():
            return
        for backend in self._listed():
            if self._asked_by_id.get(backend.id) is not backend:
                self._unasked_domains.add(backend.domain)
                self._begin_to_ask(backend)
            elif backend.id in self._reported_by_id:
                listed, reported = backend.membership, self._reported_by_id[backend.id]
                if _key(listed) != _key(reported):
                    self._doubtful_keys.update((_key(listed), _key(reported)))

    def is_free(self, backend):
        """Return whether ``backend``, listed in no group, is certainly in none."""
        if self._are_needless():
            return True
        return (
            self._asked_by_id.get(backend.id) is backend
            and self._reported_by_id.get(backend.id, backend) is None
        )

    def is_in_doubt(self, group):
        """Return whether the list may be wrong about a `GroupView`."""
        return (group.name, group.epoch) in self._doubtful_keys or any(
            item.domain in self._unasked_domains
            for item in group.members_by_rank.values()
        )

    def _are_needless(self):
        """Return whether every entry was written since the store's era began."""
        return self._kernel.get("settling").era_age_s() >= self._doubt_s

    def _listed(self):
        """Return the listed servers of every service that has model groups."""
        configuration = self._kernel.get("serving_configuration").current
        services = configuration.services_by_name if configuration else {}
        return [
            backend
            for backend in self._kernel.get("directory").backends_by_id.values()
            if backend.service in services and services[backend.service].engine
        ]

    def _begin_to_ask(self, backend):
        asking = self._asking_ids
        if backend.id not in asking and len(asking) < REPORTS_AT_ONCE:
            asking.add(backend.id)
            self._kernel.spawn(OWNER, self._ask, backend)

    async def _ask(self, backend):
        try:
            observed = await self._report(backend)
        finally:
            self._asking_ids.discard(backend.id)
        self._asked_by_id[backend.id] = backend
        self._reported_by_id.pop(backend.id, None)
        if observed is None:
            return
        self._reported_by_id[backend.id] = observed.membership
        if _key(observed.membership) != _key(backend.membership):
            group, _ = _key(observed.membership)
            log.info("entry is an older copy", backend=backend.id, group=group)

    async def _report(self, backend):
        """Return the report of ``backend``, or ``None`` if it tells none."""
        for _ in range(ATTEMPTS):
            try:
                return await self._engines.report(backend)
            except (ConnectionFailed, ResponseLost) as error:
                log.debug("no report", backend=backend.id, error=str(error))
        return None


def _key(membership):
    if membership is None:
        return None, 0
    return membership.group, membership.epoch
