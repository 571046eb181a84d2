"""The service that counts good and bad requests for the objectives."""

from pimentogap.objectives._counts import MinuteCounts
from pimentogap.types import RefusalCode

# Outcomes that the caller caused; objectives do not count them.
CALLER_CAUSED_OUTCOMES = frozenset(
    {
        RefusalCode.MALFORMED,
        RefusalCode.TOO_LARGE,
        RefusalCode.UNKNOWN_MODEL,
        RefusalCode.UNKNOWN_SERVICE,
        RefusalCode.UNKNOWN_WORKSPACE,
        RefusalCode.NOT_PERMITTED,
        RefusalCode.LIMIT,
        RefusalCode.KEY_REUSED,
        "caller_left",
    }
)


class ObjectiveService:
    """Counts good and bad requests and token gaps for each configured objective.

    ``downtime_group_s`` and ``stranded_accelerator_s`` are sums in group-seconds and
    accelerator-seconds, which count as bad.
    """

    name = "objectives"
    requires = ("configuration",)
    __slots__ = (
        "downtime_group_s",
        "stranded_accelerator_s",
        "_kernel",
        "_counts_by_name",
        "_objectives_by_key",
    )

    def __init__(self):
        self.downtime_group_s = MinuteCounts()
        self.stranded_accelerator_s = MinuteCounts()
        self._kernel = None
        self._counts_by_name = {}
        self._objectives_by_key = {}

    async def start(self, kernel):
        """Load the configured objectives, now and after each ticket."""
        self._kernel = kernel
        kernel.get("configuration").subscribe(lambda accepted: self._load_objectives())
        self._load_objectives()

    async def stop(self):
        """Do nothing; counts are kept in memory only."""

    def count_outcome(self, service, workspace, outcome):
        """Count a request towards availability.

        :param outcome: ``ok``, a `RefusalCode` or ``caller_left``.
        """
        if outcome not in CALLER_CAUSED_OUTCOMES:
            good = outcome == "ok"
            self._count(service, workspace, "availability", lambda threshold_s: good)

    def count_duration(self, service, workspace, measure, seconds):
        """Count a duration as good or bad by the thresholds of the objectives.

        :param measure: the `pimentogap.types.Objective` measure, such as ``lookup``.
        """
        self._count(
            service, workspace, measure, lambda threshold_s: seconds <= threshold_s
        )

    def add_group_losses(self, *, down_group_s, stranded_accelerator_s):
        """Add group-seconds of downtime and accelerator-seconds without use.

        The daemon that controls the model groups calls this.
        """
        now = self._kernel.clock.wall()
        self.downtime_group_s.add(now, 0, down_group_s)
        self.stranded_accelerator_s.add(now, 0, stranded_accelerator_s)

    def dump(self):
        """Return every objective with its counts as plain data."""
        configured = self._kernel.get("configuration").current.by_name("objective")
        return {
            "objectives": [
                {
                    "name": name,
                    "workspace": objective.workspace,
                    "service": objective.service,
                    "measure": objective.measure,
                    "threshold_s": objective.threshold,
                    "target": objective.target,
                    "minutes": self._counts_of(name).dump(),
                }
                for name, objective in configured.items()
            ],
            "downtime_group_s": self.downtime_group_s.dump(),
            "stranded_accelerator_s": self.stranded_accelerator_s.dump(),
        }

    def _load_objectives(self):
        configured = self._kernel.get("configuration").current.by_name("objective")
        self._objectives_by_key = {}
        for objective in configured.values():
            key = (objective.service, objective.workspace, objective.measure)
            self._objectives_by_key.setdefault(key, []).append(objective)
        for name in set(self._counts_by_name) - set(configured):
            del self._counts_by_name[name]

    def _counts_of(self, name):
        return self._counts_by_name.setdefault(name, MinuteCounts())

    def _count(self, service, workspace, measure, is_good):
        key = (service, workspace, measure)
        for objective in self._objectives_by_key.get(key, ()):
            good = is_good(objective.threshold)
            now = self._kernel.clock.wall()
            self._counts_of(objective.name).add(now, int(good), int(not good))
