"""Control of model groups: the region's lease, the planner, orders to engines."""

from pimentogap.groups._decisions import Decision, DecisionKind
from pimentogap.groups._lease import LEASE_DURATION_S, Lease
from pimentogap.groups._orders import Assume, Holding, OrderClient, Release
from pimentogap.groups._planner import FleetView, Planner
from pimentogap.groups._service import GroupService

__all__ = [
    "LEASE_DURATION_S",
    "Assume",
    "Decision",
    "DecisionKind",
    "FleetView",
    "GroupService",
    "Holding",
    "Lease",
    "OrderClient",
    "Planner",
    "Release",
]
