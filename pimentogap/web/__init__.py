"""HTTP towards backend servers and the platform."""

from pimentogap.web._client import HttpClient, HttpRequest, HttpResponse

__all__ = ["HttpClient", "HttpRequest", "HttpResponse"]
