"""The front end for callers on the platform, and the readiness answer."""

from pimentogap.ingress._service import IngressService

__all__ = ["IngressService"]
