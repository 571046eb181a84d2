"""Events that the emulated platform records, for checks of the guarantees."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a replica ran; ``started_at`` is by the loop's clock, in s."""

    attempt_id: str
    replica: str
    workspace: str | None
    started_at: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a replica that takes it, and its prompt's parts."""

    attempt_id: str
    replica: str
    parts: tuple
    arrived_at: float


@dataclass(frozen=True, slots=True)
class Crash:
    """A replica that ended as it began to write an answer on a deadly part."""

    replica: str
    part: str
    at: float


class Records:
    """Requests run, weights loaded, and every violation of a guarantee about groups.

    ``runs_in_incomplete_groups`` has the replica and the group of each request that
    ran in a group with a member that never became ready. ``replicas_in_two_groups``
    has the replica, its group and the other group of each order to join another group
    while the first still served.
    ``stale_fences`` counts orders refused for an old fencing number.

    ``ready_members`` holds the replica, group, epoch and member list of each replica
    that ever became ready. ``loads`` has the start of each load of weights by the
    loop's clock, in s; ``max_concurrent_loads`` is the highest ``loads_in_progress``
    so far. ``arrivals`` has an `Arrival` for each request that a replica took,
    ``crashes`` a `Crash` for each replica that a deadly part ended.
    ``leaving_answers`` has the attempt and the replica of each answer that says that
    its replica leaves. ``cold_crashes`` has the replica and the time of each crash of a
    cold replica that got too many requests.
    """

    __slots__ = (
        "runs",
        "runs_in_incomplete_groups",
        "replicas_in_two_groups",
        "stale_fences",
        "ready_members",
        "loads",
        "loads_in_progress",
        "max_concurrent_loads",
        "arrivals",
        "crashes",
        "leaving_answers",
        "cold_crashes",
    )

    def __init__(self):
        self.runs = []
        self.runs_in_incomplete_groups = []
        self.replicas_in_two_groups = []
        self.stale_fences = 0
        self.ready_members = set()
        self.loads = []
        self.loads_in_progress = 0
        self.max_concurrent_loads = 0
        self.arrivals = []
        self.crashes = []
        self.leaving_answers = []
        self.cold_crashes = []

    def runs_of(self, attempt_id):
        """Return the runs of one attempt of a caller."""
        return [run for run in self.runs if run.attempt_id == attempt_id]
