"""HTTP clients for backend servers, the platform and the store."""

from pimentogap.web._client import BodyBuffer, HttpClient
from pimentogap.web._pool import BackendPool

__all__ = ["BackendPool", "BodyBuffer", "HttpClient"]
