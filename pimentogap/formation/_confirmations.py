"""Asks servers that are listed in no group, while their entries may be older copies."""

from logbook import Logger

from pimentogap.errors import ConnectionFailed, ResponseLost

log = Logger("formation.confirmations")

OWNER = "formation"
# Time in which the removal of an entry that expired reaches the leader.
REMOVAL_LAG_S = 0.5
REPORTS_AT_ONCE = 64


class Confirmations:
    """Finds out which servers are free after the store may have come back from a copy.

    A server that is cut off from the store cannot correct its entry, which stays in the
    copy until it expires. Until then only the server itself can say that it is in no
    group, and nothing is done to groups that are known by their entries alone.
    """

    __slots__ = (
        "_kernel",
        "_engines",
        "_doubt_s",
        "_asked_by_id",
        "_free_ids",
        "_asking_ids",
    )

    def __init__(self, kernel, engines, entry_lifetime_s):
        """Ask servers through ``engines``.

        :param entry_lifetime_s: seconds after which an entry expires unless written.
        """
        self._kernel = kernel
        self._engines = engines
        self._doubt_s = entry_lifetime_s + REMOVAL_LAG_S
        self._asked_by_id = {}
        self._free_ids = set()
        self._asking_ids = set()

    def are_needless(self):
        """Return whether every entry was written since the store's era began."""
        return self._kernel.get("settling").era_age_s() >= self._doubt_s

    def is_free(self, backend):
        """Return whether ``backend``, listed in no group, is certainly in none.

        The first call asks it, so that a later one tells.
        """
        if self.are_needless():
            return True
        if self._asked_by_id.get(backend.id) is backend:
            return backend.id in self._free_ids
        if (
            backend.id not in self._asking_ids
            and len(self._asking_ids) < REPORTS_AT_ONCE
        ):
            self._asking_ids.add(backend.id)
            self._kernel.spawn(OWNER, self._ask, backend)
        return False

    async def _ask(self, backend):
        try:
            observed = await self._engines.report(backend)
        except (ConnectionFailed, ResponseLost) as error:
            log.debug("server does not confirm", backend=backend.id, error=str(error))
            return
        finally:
            self._asking_ids.discard(backend.id)
        self._asked_by_id[backend.id] = backend
        self._free_ids.discard(backend.id)
        if observed is None:
            return
        if observed.membership is None:
            self._free_ids.add(backend.id)
        else:
            group = observed.membership.group
            log.info("entry is an older copy", backend=backend.id, group=group)
