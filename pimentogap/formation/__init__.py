"""Forms and repairs model groups: one elected leader sends orders to engines."""

from pimentogap.formation._demand import Demand
from pimentogap.formation._lease import LeaseService
from pimentogap.formation._limiter import LoadLimiter
from pimentogap.formation._plan import (
    PlannedGroup,
    configured_group_shares,
    plan_groups,
    target_counts,
)
from pimentogap.formation._service import FormationService
from pimentogap.formation._weights import HostWeights

__all__ = [
    "Demand",
    "FormationService",
    "HostWeights",
    "LeaseService",
    "LoadLimiter",
    "PlannedGroup",
    "configured_group_shares",
    "plan_groups",
    "target_counts",
]
