"""The life of one request: admitted, placed, sent, relayed, repeated or refused."""

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
