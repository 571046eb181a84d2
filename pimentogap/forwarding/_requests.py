"""A caller's request in the form that a front end passes to forwarding."""


class CallerRequest:
    """A completely received request, and the ``response`` that answers it.

    ``received_at`` is in seconds of the runtime's clock. ``headers`` are the
    pairs of name and value that each attempt sends; ``needs`` is the
    `RequestNeeds`.
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
