"""Answers callers according to the outcome of their requests."""

from logbook import Logger

from pimentogap.admission import Refused
from pimentogap.forwarding._attempts import (
    MAX_LOGGED_PARTS,
    first_event_ms,
    outcome_kind,
    outcome_name,
)
from pimentogap.forwarding._outcomes import (
    Delivered,
    Failure,
    Interrupted,
    Lost,
    NotRun,
    NotSent,
    Paused,
    Stalled,
    TimedOut,
    Unexpected,
    Unsendable,
    Withdrawn,
)
from pimentogap.forwarding._returns import return_delay_s
from pimentogap.metrics import Series
from pimentogap.placement import Full, Limited, Missing
from pimentogap.quarantine import Blocked

log = Logger("forwarding")

# Callers read these statuses as "not run", so the failure of a request that ran is
# answered with 502 instead.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Least time after which a caller whose prompt is quarantined should come back.
MIN_BLOCKED_S = 1.0
# By then a daemon that was paused is up to date, or another one takes the request.
RETRY_AFTER_PAUSE_S = 0.3


class Responder:
    """Passes the final outcome of a request on to its caller, the log and metrics."""

    __slots__ = ("_kernel", "_codec", "_configuration", "_directory", "_metrics")

    def __init__(self, kernel, codec):
        """Look up the services that the log lines draw on.

        :param codec: writes the platform's headers.
        """
        self._kernel = kernel
        self._codec = codec
        self._configuration = kernel.get("serving_configuration")
        self._directory = kernel.get("directory")
        self._metrics = kernel.get("metrics")

    def respond(self, request, admitted, attempts, outcome, remaining_s):
        """Answer the caller according to the final ``outcome``.

        :param remaining_s: seconds until the request's deadline.
        """
        response = request.response
        match outcome:
            case Delivered(status):
                self.log_end(request, admitted, attempts, "delivered", status)
            case _ if response.begun:
                response.abort()
                self.log_end(request, admitted, attempts, outcome_name(outcome), 0)
            case Failure(status, headers, body):
                if status in NOT_RUN_STATUSES:
                    self.refuse(
                        request, admitted, 502, "backend_failed", attempts=attempts
                    )
                    return
                response.begin(status, headers)
                response.send(body)
                response.finish()
                self.log_end(request, admitted, attempts, "backend_failed", status)
            case Full():
                self._refuse_unserved(request, admitted, attempts, "full", remaining_s)
            case Refused(cause, return_s):
                self._refuse_unserved(
                    request, admitted, attempts, cause, remaining_s, return_s
                )
            case Limited(next_in_s):
                after_s = max(
                    next_in_s, return_delay_s(remaining_s, self._kernel.random)
                )
                self._refuse_unserved(
                    request, admitted, attempts, "limited", remaining_s, after_s
                )
            case Missing():
                self._refuse_unserved(
                    request, admitted, attempts, "missing", remaining_s
                )
            case NotRun(retry_after_s=after_s):
                self._refuse_unserved(
                    request, admitted, attempts, "not_run", remaining_s, after_s
                )
            case NotSent():
                self._refuse_unserved(
                    request, admitted, attempts, "not_sent", remaining_s
                )
            case Blocked(trial_in_s=trial_in_s):
                after_s = max(MIN_BLOCKED_S, trial_in_s)
                self.refuse(
                    request,
                    admitted,
                    503,
                    "part_quarantined",
                    attempts=attempts,
                    retry_after_s=after_s,
                )
            case Paused():
                self._refuse_unserved(
                    request,
                    admitted,
                    attempts,
                    "paused",
                    remaining_s,
                    RETRY_AFTER_PAUSE_S,
                )
            case Interrupted():
                status = 502 if attempts.possible_runs else 503
                self.refuse(request, admitted, status, "interrupted", attempts=attempts)
            case TimedOut():
                status = 504 if attempts.possible_runs else 503
                self.refuse(request, admitted, status, "timed_out", attempts=attempts)
            case Lost() | Stalled() | Withdrawn():
                self.refuse(
                    request, admitted, 502, outcome_name(outcome), attempts=attempts
                )
            case Unsendable() | Unexpected():
                status = 502 if attempts.possible_runs else 503
                reason = type(outcome).__name__.lower()
                self.refuse(request, admitted, status, reason, attempts=attempts)

    def _refuse_unserved(
        self, request, admitted, attempts, reason, remaining_s, after_s=None
    ):
        """Refuse with 503, or with 502 if an attempt may have run.

        :param after_s: the backend server's own time to come back, if it gave one.
        """
        status = 502 if attempts.possible_runs else 503
        after_s = after_s or return_delay_s(remaining_s, self._kernel.random)
        self.refuse(
            request, admitted, status, reason, attempts=attempts, retry_after_s=after_s
        )

    def refuse(
        self, request, admitted, status, reason, *, attempts=None, retry_after_s=0.0
    ):
        """Answer with a refusal of this daemon's own.

        :param reason: the outcome that the body, the metrics and the log name.
        :param retry_after_s: seconds; 0 for no ``Retry-After``.
        """
        headers = self._codec.refusal_headers(
            request.needs.attempt_id, retry_after_s=retry_after_s
        )
        body = f"{reason}\n".encode()
        headers.append(("Content-Type", "text/plain"))
        headers.append(("Content-Length", str(len(body))))
        request.response.begin(status, headers)
        request.response.send(body)
        request.response.finish()
        self.log_end(request, admitted, attempts, reason, status)

    def log_end(self, request, admitted, attempts, outcome, status):
        """Log and count the end of a request."""
        now = self._kernel.clock.time()
        took_s = now - request.received_at
        service = admitted.service if admitted else "-"
        workspace = (admitted.workspace if admitted else None) or "-"
        kind = outcome_kind(outcome)
        self._metrics.count(Series("requests", service, workspace, kind))
        self._metrics.record_duration(Series("request", service, "-", kind), took_s)
        configuration = self._configuration.current
        log.info(
            "request ended",
            id=request.needs.attempt_id,
            route=admitted.route.name if admitted else None,
            service=service,
            workspace=workspace,
            model=request.needs.model or None,
            parts=request.needs.shared_parts[:MAX_LOGGED_PARTS],
            outcome=outcome,
            status=status,
            ms=round(took_s * 1000),
            first_ms=first_event_ms(request, attempts),
            sends=[(id_, outcome_name(o)) for id_, o in attempts.outcomes]
            if attempts
            else [],
            sent_ms=[
                round((at - request.received_at) * 1000) for at in attempts.sent_at
            ]
            if attempts
            else [],
            version=configuration.version if configuration else None,
            list_rev=self._directory.revision,
        )
