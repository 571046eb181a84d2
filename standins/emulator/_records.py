"""What the emulated platform itself has seen, for checks against the promises."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a replica ran; ``done`` tells whether its answer was made."""

    attempt_id: str
    replica: str
    workspace: str | None
    at: float


class Records:
    """Runs of requests, and every breach of a promise about groups."""

    __slots__ = ("runs", "partial", "two", "stale_fences", "loads")

    def __init__(self):
        self.runs = []
        self.partial = []
        self.two = []
        self.stale_fences = 0
        self.loads = []

    def runs_of(self, attempt_id):
        """Return the runs of one client attempt."""
        return [run for run in self.runs if run.attempt_id == attempt_id]
