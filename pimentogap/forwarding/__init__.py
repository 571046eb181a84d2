"""Handles one request: admission, placement, attempts, relay, retry or refusal."""

from pimentogap.forwarding._requests import CallerRequest
from pimentogap.forwarding._routes import Admitted, Rejected, RejectReason, admit
from pimentogap.forwarding._service import ForwardingService

__all__ = [
    "Admitted",
    "CallerRequest",
    "ForwardingService",
    "RejectReason",
    "Rejected",
    "admit",
]
