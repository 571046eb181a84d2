"""VMs, assignments and backend servers, as far as a daemon knows them."""

from pimentogap.fleet._service import ASSIGNMENTS, FleetService

__all__ = ["ASSIGNMENTS", "FleetService"]
