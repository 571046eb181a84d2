"""The exception hierarchy of the package."""


class PimentogapError(Exception):
    """Base of every exception that the package raises."""


class ServiceExists(PimentogapError):
    """Two services were registered under one name."""


class ServiceNotFound(PimentogapError):
    """No service is registered under the name."""


class DependencyCycle(PimentogapError):
    """Services require each other in a cycle."""


class InvalidDocument(PimentogapError):
    """A document does not have its declared shape.

    ``problems`` holds every `pimentogap.schema.Problem` that was found.
    """

    def __init__(self, problems):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = tuple(problems)


class StoreError(PimentogapError):
    """A call to the platform's object API failed or its outcome is unknown."""


class StoreUnavailable(StoreError):
    """A call to the platform's object API certainly did not take effect."""


class StoreAnswerLost(StoreError):
    """A call was sent and got no answer; a write may have taken effect."""


class WatchCompacted(StoreError):
    """The watch history no longer reaches back to the requested revision."""


class InvalidStatement(PimentogapError):
    """What another daemon states of its requests cannot be used."""


class ConnectionFailed(PimentogapError):
    """No connection was made, so no part of the request was sent."""


class RequestNotSendable(PimentogapError):
    """The request cannot be written as an HTTP message, so nothing was sent."""


class CallerLeft(PimentogapError):
    """The caller closed its connection before its answer was complete."""


class SendWithheld(PimentogapError):
    """Nothing was sent, since the server no longer takes requests."""


class ResponseLost(PimentogapError):
    """The connection ended after part of the request had been written."""


class ReusedConnectionClosed(ResponseLost):
    """A reused keep-alive connection ended before any part of the response.

    The server may have closed it while it was idle, or after it ran the request.
    """


class ResponseTimeout(ResponseLost):
    """No complete response arrived within the time limit."""


class CopyNotFresh(ResponseLost):
    """Another daemon has no copy of a collection that is fresh enough to pass on."""


class BackendRefused(PimentogapError):
    """A backend server answered that it did not run the request."""


class PeerUnreachable(PimentogapError):
    """Another daemon cannot be reached."""


class PeerRefused(PimentogapError):
    """Another daemon does not accept this one as a member of its fleet."""


class SnapshotDamaged(PimentogapError):
    """A snapshot is incomplete or does not match its digest."""


class LeaseLost(PimentogapError):
    """An order was not sent because the lease may have expired."""


class OrderRefused(PimentogapError):
    """An engine refused an order because of its fencing number or content."""


class Refused(PimentogapError):
    """A request is refused, for the reason in ``refusal``.

    ``refusal`` is a `pimentogap.types.Refusal`.
    """

    def __init__(self, refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal
