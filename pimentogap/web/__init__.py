"""HTTP towards backend servers and the platform."""

from pimentogap.web._client import BodyBuffer, HttpClient
from pimentogap.web._pool import BackendPool

__all__ = ["BackendPool", "BodyBuffer", "HttpClient"]
