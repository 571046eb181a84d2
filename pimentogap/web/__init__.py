"""HTTP clients for backend servers, the platform and the store."""

from pimentogap.web._client import BodyBuffer, HttpClient
from pimentogap.web._pool import BackendPool, encode_fields

__all__ = ["BackendPool", "BodyBuffer", "HttpClient", "encode_fields"]
