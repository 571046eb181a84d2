"""HTTP towards backend servers and the platform."""

from pimentogap.web._client import BodyBuffer, HttpClient

__all__ = ["BodyBuffer", "HttpClient"]
