"""Traces of recent requests."""

from pimentogap.traces._service import Trace, TraceService

__all__ = ["Trace", "TraceService"]
