"""Structured logs."""

from pimentogap.logs._setup import install_logs, trace_id
from pimentogap.logs._sink import install_decision_log

__all__ = ["install_decision_log", "install_logs", "trace_id"]
