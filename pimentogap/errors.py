"""The exceptions of the package, as one tree."""


class PimentogapError(Exception):
    """Base of every exception that the package raises."""


class ServiceExists(PimentogapError):
    """Two services were registered under one name."""


class ServiceNotFound(PimentogapError):
    """No service is registered under the name."""


class DependencyCycle(PimentogapError):
    """Services require each other in a circle."""


class InvalidDocument(PimentogapError):
    """A document does not have the shape that it must have.

    ``problems`` holds every `pimentogap.schema.Problem` that was found.
    """

    def __init__(self, problems):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = tuple(problems)


class StoreError(PimentogapError):
    """The platform's object API did not do what was asked."""


class StoreUnavailable(StoreError):
    """A call to the platform's object API was certainly not carried out."""


class StoreAnswerLost(StoreError):
    """A call was sent and no answer came; a write may have taken effect."""


class WatchCompacted(StoreError):
    """The watch history no longer reaches back to the requested revision."""


class ConnectionFailed(PimentogapError):
    """No connection was made, so nothing of the request was sent."""


class ResponseLost(PimentogapError):
    """The connection ended after some of the request had been written."""


class KeptConnectionClosed(ResponseLost):
    """A kept connection ended before any of the response came.

    The server may have closed it while it was idle, or after it ran the request.
    """


class ResponseTimeout(ResponseLost):
    """No whole response arrived within the time limit."""


class BackendRefused(PimentogapError):
    """A backend server answered that it did not run the request."""


class PeerUnreachable(PimentogapError):
    """Another daemon cannot be reached."""


class PeerRefused(PimentogapError):
    """Another daemon does not accept this one as a member of its fleet."""


class SnapshotDamaged(PimentogapError):
    """A snapshot lacks parts or does not match its digest."""


class LeaseLost(PimentogapError):
    """An order was not sent because the lease could have lapsed."""


class OrderRefused(PimentogapError):
    """An engine refused an order, for its fencing number or its content."""


class Refused(PimentogapError):
    """A request is refused; ``refusal`` is the `pimentogap.types.Refusal`."""

    def __init__(self, refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal
