"""Keeps the limits on requests that backend servers name, over all daemons."""

from pimentogap.permits._service import PermitService
from pimentogap.permits._types import Denied, Granted

__all__ = ["Denied", "Granted", "PermitService"]
