"""The front end for callers on the platform, and the readiness answer."""

from pimentogap.ingress._service import LATE_REQUEST_S, IngressService

__all__ = ["LATE_REQUEST_S", "IngressService"]
