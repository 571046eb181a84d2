"""The attempts made for one request, and how log lines show them."""

from pimentogap.forwarding._outcomes import (
    Abandoned,
    Failure,
    Lost,
    NotRun,
    NotSent,
    Stalled,
    Unexpected,
    Unsendable,
    Withdrawn,
)

# Parts of a request's prompt in a log line.
MAX_LOGGED_PARTS = 8


class Attempts:
    """The attempts made for one request.

    ``outcomes`` has pairs of a backend server's id and the attempt's outcome;
    ``sent_at`` has the time at which the request was about to be sent, for each time
    that a connection was open for it; ``possible_runs`` counts the attempts that may
    have run, the current one included.
    ``event_filter`` is the `EventFilter` of a stream, or ``None``. ``is_trial`` says
    that the current attempt tries out a quarantined part of the prompt. ``claim`` is
    the request's `Claim` if it competes for places, ``urgency`` its rank at the backend
    server, ``None`` if the server's own default holds. ``buffer`` is the `AnswerBuffer`
    of the request.
    """

    __slots__ = (
        "outcomes",
        "sent_at",
        "possible_runs",
        "excluded_ids",
        "event_filter",
        "first_event_at",
        "is_trial",
        "claim",
        "urgency",
        "buffer",
    )

    def __init__(self, event_filter, buffer, claim=None):
        self.outcomes = []
        self.sent_at = []
        self.possible_runs = 0
        self.excluded_ids = set()
        self.event_filter = event_filter
        self.first_event_at = None
        self.is_trial = False
        self.claim = claim
        self.urgency = None
        self.buffer = buffer


def outcome_name(outcome):
    """Return the text that log lines and metrics have for ``outcome``."""
    match outcome:
        case Lost(detail) | NotSent(detail) | Unexpected(detail) | Unsendable(detail):
            return f"{type(outcome).__name__.lower()}: {detail}"
        case NotRun(status):
            return f"notrun {status}"
        case Failure(status):
            return f"failure {status}"
        case Stalled(silent_s):
            return f"stalled {silent_s:.2f}s"
        case Abandoned(after_s):
            return f"abandoned {after_s:.2f}s"
        case Withdrawn(part):
            return f"withdrawn: {part}"
    return type(outcome).__name__.lower()


def outcome_kind(name):
    """Return the first word of an outcome's name, of which there are only a few."""
    return name.partition(" ")[0].rstrip(":")


def first_event_ms(request, attempts):
    """Return the ms from the request to the first event, or ``None`` without one."""
    if attempts is None or attempts.first_event_at is None:
        return None
    return round((attempts.first_event_at - request.received_at) * 1000)
