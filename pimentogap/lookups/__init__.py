"""Idempotent calls of plain services."""

from pimentogap.lookups._service import LookupService

__all__ = ["LookupService"]
