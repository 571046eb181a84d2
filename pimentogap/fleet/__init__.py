"""A daemon's knowledge of VMs, assignments and backend servers."""

from pimentogap.fleet._service import ASSIGNMENTS, FleetService

__all__ = ["ASSIGNMENTS", "FleetService"]
