"""Knows which backend servers may be cold, and for how long."""

import math

from logbook import Logger

log = Logger("directory.cold")

# A server that says to be cold for longer is believed for this long.
MAX_COLD_S = 600.0
# A server that is cold for so long without a break has a wrong entry, or is in trouble.
LONG_COLD_S = 60.0
MAX_LOGGED_IDS = 5


class ColdServers:
    """Until when each backend server counts as cold, by all that is known of it.

    Times are in seconds of the runtime's clock.
    """

    __slots__ = ("_spells_by_id",)

    def __init__(self):
        self._spells_by_id = {}

    def left_s(self, backend, now):
        """Return how much longer this start of ``backend`` counts as cold."""
        spell = self._spells_by_id.get(backend.id)
        if spell is None or spell.incarnation != backend.incarnation:
            return 0.0
        return max(0.0, spell.until - now)

    def mark(self, backends, left_s, now, *, reason):
        """Count ``backends`` as cold for ``left_s`` seconds, or longer if known so."""
        newly = [item for item in backends if not self.left_s(item, now)]
        for backend in backends:
            self._extend(backend, left_s, now)
        if newly and left_s > 0:
            _log_cold(newly, left_s, reason)

    def apply_entries(self, before, after, now):
        """Count servers as cold that their entries, new in ``after``, call cold."""
        for id_ in before.keys() - after.keys():
            self._spells_by_id.pop(id_, None)
        cold = [
            backend
            for id_, backend in after.items()
            if backend.cold_left_s > 0 and backend != before.get(id_)
        ]
        newly = [item for item in cold if not self.left_s(item, now)]
        for backend in cold:
            self._extend(backend, backend.cold_left_s, now)
        if newly:
            _log_cold(newly, max(item.cold_left_s for item in newly), "entry")

    def _extend(self, backend, left_s, now):
        until = now + min(left_s, MAX_COLD_S)
        spell = self._spells_by_id.get(backend.id)
        if spell is None or spell.incarnation != backend.incarnation:
            spell = self._spells_by_id[backend.id] = _Spell(backend.incarnation, now)
        spell.extend(backend.id, until, now)


def _log_cold(backends, seconds, reason):
    log.info(
        "backends cold",
        reason=reason,
        count=len(backends),
        first=sorted(item.id for item in backends)[:MAX_LOGGED_IDS],
        seconds=round(seconds, 3),
    )


class _Spell:
    """A time in which one start of a backend server is cold without a break."""

    __slots__ = ("incarnation", "since", "until", "_is_reported")

    def __init__(self, incarnation, now):
        self.incarnation = incarnation
        self.since = now
        self.until = -math.inf
        self._is_reported = False

    def extend(self, backend_id, until, now):
        if self.until < now:
            self.since = now
        self.until = max(self.until, until)
        if now - self.since > LONG_COLD_S and not self._is_reported:
            self._is_reported = True
            log.warning("backend stays cold", backend=backend_id)
