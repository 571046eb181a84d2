"""The service that counts good and bad towards the objectives."""

from pimentogap.objectives._counts import MinuteCounts
from pimentogap.types import RefusalCode

# The caller's own doing, which no objective counts.
CALLER_CAUSES = frozenset(
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
    """Counts requests and gaps for each objective that is configured."""

    name = "objectives"
    requires = ("configuration",)
    __slots__ = (
        "downtime_group_s",
        "stranded_accelerator_s",
        "_kernel",
        "_counts_by_name",
        "_objectives_by_source",
    )

    def __init__(self):
        self.downtime_group_s = MinuteCounts()
        self.stranded_accelerator_s = MinuteCounts()
        self._kernel = None
        self._counts_by_name = {}
        self._objectives_by_source = {}

    async def start(self, kernel):
        """Follow the configured objectives."""
        self._kernel = kernel
        kernel.get("configuration").subscribe(lambda accepted: self._follow())
        self._follow()

    async def stop(self):
        """Do nothing."""

    def outcome(self, service, workspace, outcome):
        """Count a request by its outcome: ``ok``, or a `RefusalCode`."""
        if outcome not in CALLER_CAUSES:
            good = outcome == "ok"
            self._add(service, workspace, "availability", lambda threshold_s: good)

    def duration(self, service, workspace, measure, seconds):
        """Count one duration of ``measure``."""
        self._add(
            service, workspace, measure, lambda threshold_s: seconds <= threshold_s
        )

    def account_groups(self, *, down_group_s, stranded_accelerator_s):
        """Add group downtime and stranded accelerators, as the controller saw them."""
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
                    "minutes": self._counts(name).dump(),
                }
                for name, objective in configured.items()
            ],
            "downtime_group_s": self.downtime_group_s.dump(),
            "stranded_accelerator_s": self.stranded_accelerator_s.dump(),
        }

    def _follow(self):
        configured = self._kernel.get("configuration").current.by_name("objective")
        self._objectives_by_source = {}
        for objective in configured.values():
            source = (objective.service, objective.workspace, objective.measure)
            self._objectives_by_source.setdefault(source, []).append(objective)
        for name in set(self._counts_by_name) - set(configured):
            del self._counts_by_name[name]

    def _counts(self, name):
        return self._counts_by_name.setdefault(name, MinuteCounts())

    def _add(self, service, workspace, measure, is_good):
        source = (service, workspace, measure)
        for objective in self._objectives_by_source.get(source, ()):
            good = is_good(objective.threshold)
            now = self._kernel.clock.wall()
            self._counts(objective.name).add(now, int(good), int(not good))
