"""The HTTP front end for callers on the platform, and its readiness check."""

from pimentogap.ingress._service import LATE_REQUEST_DELAY_S, IngressService

__all__ = ["LATE_REQUEST_DELAY_S", "IngressService"]
