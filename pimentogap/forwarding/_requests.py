"""A caller's request as the front end hands it over."""


class CallerRequest:
    """A whole request, and the ``response`` through which it is answered.

    ``received_at`` is in seconds of the runtime's clock. ``headers`` are pairs
    that every send carries; ``needs`` is the `RequestNeeds`.
    """

    __slots__ = (
        "method",
        "path",
        "host",
        "headers",
        "body",
        "needs",
        "received_at",
        "response",
    )

    def __init__(self, *, method, path, host, headers, body, needs, received_at):
        self.method = method
        self.path = path
        self.host = host
        self.headers = headers
        self.body = body
        self.needs = needs
        self.received_at = received_at
        self.response = None
