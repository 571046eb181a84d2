"""Structured logs."""

from pimentogap.logs._setup import install_logs, trace_id

__all__ = ["install_logs", "trace_id"]
