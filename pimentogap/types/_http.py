"""Requests and responses of HTTP, free of any library."""

import json
from dataclasses import dataclass, field

from pimentogap.errors import ResponseLost


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to one address. ``headers`` maps names to values."""

    method: str
    path: str
    headers: dict = field(default_factory=dict)
    body: bytes = b""


class HttpResponse:
    """A response read to its end."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        """Return the body as plain data.

        :raises ResponseLost: if the body is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError:
            raise ResponseLost("the body of the response is not JSON")
