"""What was tried for one request, and how the log tells it."""

from pimentogap.forwarding._outcomes import (
    Abandoned,
    Failure,
    Lost,
    NotRun,
    NotSent,
    Stalled,
)


class Sends:
    """What was tried for one request.

    ``tried`` has pairs of a backend server's id and an outcome; ``may_have_run``
    counts the sends of which nobody knows that they did not run.
    """

    __slots__ = ("tried", "may_have_run", "excluded_ids", "cutter", "first_event_at")

    def __init__(self, cutter):
        self.tried = []
        self.may_have_run = 0
        self.excluded_ids = set()
        self.cutter = cutter
        self.first_event_at = None


def outcome_name(outcome):
    """Return what a log line says of ``outcome``."""
    match outcome:
        case Lost(detail) | NotSent(detail):
            return f"{type(outcome).__name__.lower()}: {detail}"
        case NotRun(status):
            return f"notrun {status}"
        case Failure(status):
            return f"failure {status}"
        case Stalled(silent_s):
            return f"stalled {silent_s:.2f}s"
        case Abandoned(after_s):
            return f"abandoned {after_s:.2f}s"
    return type(outcome).__name__.lower()


def first_event_ms(request, sends):
    """Return how many ms after the request the first event came, if one did."""
    if sends is None or sends.first_event_at is None:
        return None
    return round((sends.first_event_at - request.received_at) * 1000)
