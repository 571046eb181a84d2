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
    """Runs of requests, loads of weights, and every breach of a promise about groups.

    ``ready`` holds who was ever ready, with the group, its epoch and its members;
    ``loading`` counts the loads under way, ``most_loading`` the most at any time.
    """

    __slots__ = (
        "runs",
        "partial",
        "two",
        "stale_fences",
        "ready",
        "loads",
        "loading",
        "most_loading",
    )

    def __init__(self):
        self.runs = []
        self.partial = []
        self.two = []
        self.stale_fences = 0
        self.ready = set()
        self.loads = []
        self.loading = 0
        self.most_loading = 0

    def runs_of(self, attempt_id):
        """Return the runs of one client attempt."""
        return [run for run in self.runs if run.attempt_id == attempt_id]
