"""Keeps the limits on requests that backend servers name, over all daemons."""

from pimentogap.permits._service import PermitService

__all__ = ["PermitService"]
