"""The HTTP interface for operators."""

from pimentogap.operators._service import OperatorService

__all__ = ["OperatorService"]
