"""Follows the operator's evacuations of availability zones."""

from pimentogap.evacuations._service import EvacuationService

__all__ = ["EvacuationService"]
