"""Makes and repairs model groups: one leader at a time, by orders to engines."""

from pimentogap.formation._lease import LeaseService
from pimentogap.formation._plan import Plan, plan_groups
from pimentogap.formation._service import FormationService

__all__ = ["FormationService", "LeaseService", "Plan", "plan_groups"]
