"""HTTP requests and responses, independent of any HTTP library."""

import json
from dataclasses import dataclass, field

from pimentogap.errors import ResponseLost


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to send; ``headers`` maps names to values."""

    method: str
    path: str
    headers: dict = field(default_factory=dict)
    body: bytes = b""


class HttpResponse:
    """A response whose body was read completely."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        """Return the body, parsed as JSON.

        :raises ResponseLost: if the body is not JSON.
        """
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError):
            raise ResponseLost("the body of the response is not JSON")


@dataclass(frozen=True, slots=True)
class TransferLimits:
    """Limits on a body that has begun to arrive, in seconds.

    ``stall_s`` is the longest wait for its next bytes, ``total_s`` the longest time
    from the head to its end.
    """

    stall_s: float
    total_s: float
