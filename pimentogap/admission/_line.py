"""The requests that wait in a daemon for a place at one service and model."""

# Admissions of a workspace count against it for about so long.
SHARE_HALF_LIFE_S = 2.0


class LineFull(Exception):
    """The line has no room for another request."""


class WaitingLine:
    """Orders waiting requests, and bounds how many there are.

    Those that can be in time go first, then by priority, then those of the workspace
    that was admitted least of late, then by arrival. Up to ``capacity`` of them wait,
    and as many that cannot be in time.
    """

    __slots__ = ("capacity", "claims", "_late_by_claim", "_admitted_by_workspace")

    def __init__(self, capacity):
        self.capacity = capacity
        self.claims = []
        self._late_by_claim = {}
        self._admitted_by_workspace = {}

    def __len__(self):
        return len(self.claims)

    def join(self, claim, *, late):
        """Add ``claim``.

        :param late: whether it can no longer be in time.
        :raises LineFull: if ``capacity`` requests of its kind wait already.
        """
        alike = sum(other is late for other in self._late_by_claim.values())
        if alike >= self.capacity:
            raise LineFull
        self.claims.append(claim)
        self.mark_late(claim, late)

    def leave(self, claim):
        """Remove ``claim``."""
        self.claims.remove(claim)
        self._late_by_claim.pop(id(claim), None)

    def mark_late(self, claim, late):
        """Record whether ``claim`` can no longer be in time."""
        self._late_by_claim[id(claim)] = late

    def first(self, now):
        """Return the claim whose turn it is, ``None`` if nobody waits."""
        return min(self.claims, key=lambda claim: self._rank(claim, now), default=None)

    def record_admission(self, claim, now):
        """Count an admission against its workspace."""
        count = self._admitted(claim.workspace, now) + 1.0
        self._admitted_by_workspace[claim.workspace] = (count, now)

    def _rank(self, claim, now):
        return (
            self._late_by_claim.get(id(claim), False),
            claim.priority,
            self._admitted(claim.workspace, now),
            claim.arrived_at,
        )

    def _admitted(self, workspace, now):
        count, counted_at = self._admitted_by_workspace.get(workspace, (0.0, now))
        return count * 0.5 ** ((now - counted_at) / SHARE_HALF_LIFE_S)
