"""What an attempt shows of its backend server and of the parts of its prompt."""

import math

from logbook import Logger

from pimentogap.forwarding._attempts import MAX_LOGGED_PARTS
from pimentogap.forwarding._outcomes import (
    Delivered,
    Lost,
    NotRun,
    NotSent,
    Stalled,
    TimedOut,
)
from pimentogap.forwarding._stalls import stalled_at

log = Logger("forwarding")

UNAVAILABLE_STATUS = 503
# A prompt part that crashes backend servers does so when it begins to write; one that
# was written on for this long is sound.
SURVIVED_S = 0.5


class AttemptEvidence:
    """Passes what attempts show on to the services that choose backend servers."""

    __slots__ = (
        "_kernel",
        "_pool",
        "_directory",
        "_permits",
        "_placement",
        "_quarantine",
    )

    def __init__(self, kernel, pool):
        """Look up the services.

        :param pool: the connections to backend servers.
        """
        self._kernel = kernel
        self._pool = pool
        self._directory = kernel.get("directory")
        self._permits = kernel.get("permits")
        self._placement = kernel.get("placement")
        self._quarantine = kernel.get("quarantine")

    def record_wishes(self, backend, load, answer):
        """Record what an answer says of the requests that its server takes."""
        self._permits.record_answer(backend, answer.limit)
        if answer.cold_left_s:
            self._directory.record_cold(backend, answer.cold_left_s)
        if answer.leaving:
            self._directory.record_leaving(backend)
        if answer.status != UNAVAILABLE_STATUS or answer.retry_after_s is None:
            return
        if 0 <= answer.retry_after_s < math.inf:
            now = self._kernel.clock.time()
            load.ask_quiet(answer.retry_after_s, now)
            log.info("quiet asked", backend=backend.id, seconds=answer.retry_after_s)
        else:
            log.warning(
                "time of quiet not readable",
                backend=backend.id,
                seconds=repr(answer.retry_after_s),
            )

    def report_survival(self, request, admitted, attempts, receiver, now):
        """Report a trial whose answer goes on, before it is complete."""
        first_at = receiver.first_event_at
        if first_at is not None and now - first_at >= SURVIVED_S:
            attempts.is_trial = False
            parts = request.needs.shared_parts
            self._quarantine.record_answer(admitted.service, parts)

    async def report_parts(self, request, admitted, backend, outcome, receiver):
        """Report what the outcome of an attempt says of the parts of its prompt."""
        parts = request.needs.shared_parts
        if not parts or not admitted.route.carries_model:
            return
        now = self._kernel.clock.time()
        first_at = receiver.first_event_at
        has_survived = first_at is not None and now - first_at >= SURVIVED_S
        match outcome:
            case Delivered():
                self._quarantine.record_answer(admitted.service, parts)
            case _ if has_survived:
                self._quarantine.record_answer(admitted.service, parts)
            case Lost():
                await self._quarantine.report_lost(
                    admitted.service, parts, backend, request.needs.attempt_id
                )

    def update_health(self, request, admitted, backend, load, outcome, receiver):
        """Suspect ``backend``, or a member of its group, as ``outcome`` says."""
        now = self._kernel.clock.time()
        latency = self._placement.latency(admitted.service, request.needs.model)
        self._record_signs(load, outcome, now)
        match outcome:
            case TimedOut() if now < stalled_at(
                admitted.route, receiver, load, latency, now
            ):
                log.info(
                    "deadline reached by a slow answer",
                    backend=backend.id,
                    id=request.needs.attempt_id,
                )
            case NotSent() | Lost() | Stalled() | TimedOut():
                load.suspect(now)
                if isinstance(outcome, NotSent):
                    self._directory.record_unreachable(backend)
                # Idle connections to it may be dead as well.
                self._pool.close_idle(backend.address)
                log.info(
                    "backend suspect",
                    backend=backend.id,
                    incarnation=backend.incarnation,
                    outcome=repr(outcome),
                    id=request.needs.attempt_id,
                    begun=receiver.first_event_at is not None,
                    parts=request.needs.shared_parts[:MAX_LOGGED_PARTS],
                )
                self._raise_alarm(backend)
            case NotRun(status=421):
                load.suspect(now)
            case NotRun(culprit=culprit) if culprit:
                # The answer names the server at fault, such as a member of the
                # group. The head is suspected, since its group cannot serve
                # without that member.
                load.suspect(now)
                log.info("backend suspect", backend=backend.id, culprit=culprit)
                self._raise_alarm(backend)

    def _record_signs(self, load, outcome, now):
        """Record what ``outcome`` shows of the pace of its server."""
        match outcome:
            case NotRun(status=status) if status == UNAVAILABLE_STATUS:
                load.record_rejection(now)
            case NotSent() | Lost() | Stalled() | TimedOut():
                load.record_failure(now)

    def _raise_alarm(self, backend):
        alarms = self._kernel.find("alarms")
        if alarms is not None and backend.membership is not None:
            alarms.suspect(backend)
