"""The service that forwards each request to a backend server."""

import asyncio
import math
from functools import partial

from logbook import Logger

from pimentogap.admission import Refused
from pimentogap.errors import (
    CallerLeft,
    ConnectionFailed,
    RequestNotSendable,
    ResponseLost,
    SendWithheld,
)
from pimentogap.forwarding._attempts import Attempts
from pimentogap.forwarding._events import EventFilter
from pimentogap.forwarding._evidence import AttemptEvidence
from pimentogap.forwarding._outcomes import (
    Abandoned,
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
    Withheld,
)
from pimentogap.forwarding._receiver import AnswerReceiver, Objectives
from pimentogap.forwarding._responses import RETRY_AFTER_PAUSE_S, Responder
from pimentogap.forwarding._routes import (
    STATUS_BY_REASON,
    Admitted,
    Rejected,
    RejectReason,
    admit,
    is_stream,
)
from pimentogap.forwarding._stalls import stalled_at
from pimentogap.permits import Denied
from pimentogap.placement import Forward, Full, Limited, Missing, RetryBudget
from pimentogap.quarantine import Blocked, Trial

log = Logger("forwarding")

# A connection within a region opens in a few milliseconds; a lost SYN is sent
# again only after 1 s.
CONNECT_TIMEOUT_S = 0.4
DEFAULT_DEADLINE_S = 60.0
# With less time left before the deadline an attempt is of no use, and none is made.
MIN_ATTEMPT_S = 0.02
# How often a stalled attempt without an alternative looks for one.
ALTERNATIVE_CHECK_INTERVAL_S = 0.1
# Attempts allowed beyond the route's maximum, as long as they certainly did not run.
EXTRA_ATTEMPTS = 2
# Another daemon can serve the request at once.
RETRY_AFTER_STOPPING_S = 0.05
# A daemon that starts again has read the configuration by then.
RETRY_AFTER_START_S = 0.2
# Requests that are not answered so long before the daemon's stop get a final answer.
FINAL_ANSWER_MARGIN_S = 0.3
TRIAL_CHECK_INTERVAL_S = 0.1


class ForwardingService:
    """Serves each request in one task, from admission to the last byte."""

    name = "forwarding"
    requires = (
        "placement",
        "serving_configuration",
        "directory",
        "daemons",
        "metrics",
        "pauses",
        "quarantine",
        "permits",
        "admission",
        "buffers",
    )
    __slots__ = (
        "_pool",
        "_codec",
        "_kernel",
        "_placement",
        "_configuration",
        "_quarantine",
        "_directory",
        "_pauses",
        "_permits",
        "_admission",
        "_buffers",
        "_responder",
        "_evidence",
        "_budget",
        "_stops_at",
        "_refuse_long_at",
        "_last_call",
        "in_flight",
        "_has_admitted",
    )

    def __init__(self, settings, pool, codec):
        """Set up the retry budget.

        :param settings: the `FrontSettings`, which have the limits on retries.
        :param pool: the connections to backend servers.
        :param codec: reads and writes the platform's headers.
        """
        self._pool = pool
        self._codec = codec
        self._kernel = None
        self._placement = None
        self._configuration = None
        self._quarantine = None
        self._directory = None
        self._pauses = None
        self._permits = None
        self._admission = None
        self._buffers = None
        self._responder = None
        self._evidence = None
        self._budget = RetryBudget(
            ratio=settings.retry_ratio,
            window_s=settings.retry_window_s,
            slack=settings.retry_slack,
        )
        self._stops_at = math.inf
        self._refuse_long_at = math.inf
        self._last_call = None
        self.in_flight = 0
        self._has_admitted = False

    async def start(self, kernel):
        """Look up the services that requests need."""
        self._kernel = kernel
        self._last_call = asyncio.get_running_loop().create_future()
        self._placement = kernel.get("placement")
        self._configuration = kernel.get("serving_configuration")
        self._quarantine = kernel.get("quarantine")
        self._directory = kernel.get("directory")
        self._pauses = kernel.get("pauses")
        self._permits = kernel.get("permits")
        self._admission = kernel.get("admission")
        self._buffers = kernel.get("buffers")
        self._responder = Responder(kernel, self._codec)
        self._evidence = AttemptEvidence(kernel, self._pool)

    async def stop(self):
        """Close idle connections."""
        self._pool.close()

    def prepare_stop(self, stops_at, *, refuse_long_at):
        """Prepare for the daemon's stop at ``stops_at``.

        Both times are in seconds of the runtime's clock.

        :param refuse_long_at: from then on a new request is refused if its route's
            timeout lasts beyond the stop.
        """
        self._stops_at = stops_at
        self._refuse_long_at = refuse_long_at
        self._kernel.spawn(self.name, self._end_requests)

    async def _end_requests(self):
        """Let the requests that are left be answered shortly before the stop."""
        clock = self._kernel.clock
        await clock.sleep(self._stops_at - FINAL_ANSWER_MARGIN_S - clock.time())
        if not self._last_call.done():
            self._last_call.set_result(None)

    async def serve(self, request):
        """Answer ``request``, a `CallerRequest`."""
        self.in_flight += 1
        try:
            if not await self._pauses.wait_until_current():
                self._responder.refuse(
                    request, None, 503, "paused", retry_after_s=RETRY_AFTER_PAUSE_S
                )
                return
            configuration = self._configuration.current
            match admit(configuration, request, self._kernel.random):
                case Rejected(RejectReason.NO_CONFIGURATION as reason):
                    self._responder.refuse(
                        request,
                        None,
                        STATUS_BY_REASON[reason],
                        reason.value,
                        retry_after_s=RETRY_AFTER_START_S,
                    )
                case Rejected(reason):
                    status = STATUS_BY_REASON[reason]
                    self._responder.refuse(request, None, status, reason.value)
                case Admitted() as admitted if self._may_outlast_stop(admitted.route):
                    after_s = RETRY_AFTER_STOPPING_S
                    self._responder.refuse(
                        request, admitted, 503, "stopping", retry_after_s=after_s
                    )
                case Admitted() as admitted:
                    await self._serve_admitted(request, admitted)
        finally:
            self.in_flight -= 1

    def _may_outlast_stop(self, route):
        """Tell whether to refuse a new request, since it may outlast the stop."""
        now = self._kernel.clock.time()
        return now >= self._refuse_long_at and now + route.timeout_s > self._stops_at

    async def _serve_admitted(self, request, admitted):
        self._report_first_request()
        route = admitted.route
        now = self._kernel.clock.time()
        self._budget.record_request(admitted.service, now)
        deadline = self._deadline(request, admitted)
        event_filter = (
            EventFilter(request.needs.last_event_id) if is_stream(route) else None
        )
        claim = self._admission.claim(request, admitted, deadline)
        attempts = Attempts(event_filter, self._buffers.open(), claim)
        try:
            await self._serve_attempts(request, admitted, attempts, deadline)
        finally:
            attempts.buffer.release()

    async def _serve_attempts(self, request, admitted, attempts, deadline):
        try:
            outcome = await self._try_backends(request, admitted, attempts, deadline)
        except asyncio.CancelledError:
            self._responder.log_end(request, admitted, attempts, "caller_left", 0)
            raise
        except CallerLeft:
            raise
        except Exception as error:
            log.exception("request failed", id=request.needs.attempt_id)
            outcome = Unexpected(repr(error))
        remaining_s = deadline - self._kernel.clock.time()
        self._responder.respond(request, admitted, attempts, outcome, remaining_s)

    def _deadline(self, request, admitted):
        deadline_s = request.needs.deadline_s
        if deadline_s is None:
            deadline_s = DEFAULT_DEADLINE_S
        return request.received_at + min(admitted.route.timeout_s, deadline_s)

    def _report_first_request(self):
        if not self._has_admitted:
            self._has_admitted = True
            alarms = self._kernel.find("alarms")
            if alarms is not None:
                alarms.report_first_request()

    async def _try_backends(self, request, admitted, attempts, deadline):
        outcome = None
        while True:
            if not await self._pauses.wait_until_current(give_up_at=deadline):
                return outcome or Paused()
            choice = await self._choose(request, admitted, attempts)
            match choice:
                case Forward(backend):
                    pass
                case Full() | Limited() | Missing() | Refused():
                    return outcome or choice
            if isinstance(await self._permits.acquire(backend), Denied):
                continue
            verdict = await self._screen(request, admitted)
            if isinstance(verdict, Blocked):
                self._permits.give_back(backend)
                return outcome or verdict
            if not self._may_send(backend):
                self._permits.give_back(backend)
                continue
            attempts.is_trial = isinstance(verdict, Trial)
            remaining_s = deadline - self._kernel.clock.time()
            if remaining_s < MIN_ATTEMPT_S:
                return outcome or TimedOut()
            if self._last_call.done():
                return outcome or Interrupted()
            if attempts.outcomes:
                if not self._has_retry_budget(admitted.service):
                    return outcome
                self._budget.record_retry(admitted.service, self._kernel.clock.time())
            latest = await self._attempt(request, admitted, attempts, backend, deadline)
            if isinstance(latest, Withheld):
                self._permits.give_back(backend)
                continue
            if isinstance(latest, Unsendable):
                self._permits.give_back(backend)
            outcome = latest
            attempts.outcomes.append((backend.id, outcome))
            attempts.excluded_ids.add(backend.id)
            if not self._can_try_another(request, admitted.route, attempts, outcome):
                return outcome

    async def _choose(self, request, admitted, attempts):
        """Return the choice of a backend server, once the request may go on."""
        model = request.needs.model if admitted.route.carries_model else ""
        choose = partial(
            self._placement.choose,
            admitted.service,
            model,
            excluded=attempts.excluded_ids,
        )
        if attempts.claim is None or attempts.possible_runs:
            # One that may have run is not refused for want of room any more.
            return choose()
        choice, attempts.urgency = await self._admission.place(attempts.claim, choose)
        return choice

    def _may_send(self, backend):
        """Return whether ``backend`` still takes requests, after the request waited."""
        return self._pauses.is_current() and self._directory.takes_requests(backend)

    def _may_send_now(self, backend, attempts):
        """Return the same on an open connection, just before the first byte."""
        may_send = self._may_send(backend)
        if may_send:
            attempts.sent_at.append(self._kernel.clock.time())
        return may_send

    async def _screen(self, request, admitted):
        """Return whether the parts of the prompt allow an attempt now."""
        parts = request.needs.shared_parts
        return await self._quarantine.screen(admitted.service, parts)

    def _has_retry_budget(self, service):
        now = self._kernel.clock.time()
        daemons = self._kernel.get("daemons").count
        return self._budget.has_room(service, now, daemons=daemons)

    def _can_try_another(self, request, route, attempts, outcome):
        """Tell whether another attempt is allowed and could help after ``outcome``."""
        match outcome:
            case Delivered() | Interrupted() | TimedOut() | Withdrawn():
                return False
            case Unsendable() | Unexpected():
                # It would end in the same way at any other server.
                return False
            case NotSent() | NotRun():
                return (
                    attempts.possible_runs < route.max_attempts
                    and len(attempts.outcomes) < route.max_attempts + EXTRA_ATTEMPTS
                )
            case Failure(status):
                is_retryable = status >= 500 and not request.response.begun
                return is_retryable and self._can_run_again(request, route, attempts)
            case Lost() | Stalled():
                return self._can_run_again(request, route, attempts)

    def _can_run_again(self, request, route, attempts):
        # Only a stream can go on where another server's answer broke off.
        can_go_on = not request.response.begun or (
            is_stream(route) and attempts.event_filter.can_resume
        )
        return (
            route.repeatable
            and can_go_on
            and attempts.possible_runs < route.max_attempts
        )

    async def _attempt(self, request, admitted, attempts, backend, deadline):
        load = self._placement.load(backend)
        latency = self._placement.latency(admitted.service, request.needs.model)
        receiver = AnswerReceiver(
            request,
            load,
            latency,
            self._codec,
            self._kernel.clock,
            attempts.event_filter,
            partial(self._evidence.record_wishes, backend, load),
            Objectives(admitted.route.first_byte_s, admitted.route.max_gap_s),
            attempts.buffer,
            self._buffers.turns,
        )
        expected_s = self._admission.expected_s(attempts.claim, backend)
        load.in_flight += 1
        exchange = asyncio.ensure_future(
            self._exchange(request, admitted, attempts, backend, deadline, receiver)
        )
        attempts.possible_runs += 1
        began_at = self._kernel.clock.time()
        try:
            outcome = await self._await_outcome(
                request, admitted, attempts, load, latency, receiver, exchange, deadline
            )
        except asyncio.CancelledError:
            after_s = self._kernel.clock.time() - began_at
            attempts.outcomes.append((backend.id, Abandoned(after_s)))
            raise
        finally:
            load.in_flight -= 1
            if not exchange.done():
                exchange.cancel()
                await asyncio.wait({exchange})
            elif not exchange.cancelled():
                # Retrieved here, since nothing else does after the caller has
                # disconnected, and asyncio would report it as never retrieved.
                exchange.exception()
        if isinstance(outcome, NotSent | NotRun | Unsendable | Withheld):
            attempts.possible_runs -= 1
        if not isinstance(outcome, Failure):
            receiver.discard()
        self._admission.record_end(attempts.claim)
        if receiver.first_event_at is not None:
            waited_s = receiver.first_event_at - began_at
            self._admission.record_first_event(attempts.claim, expected_s, waited_s)
        if attempts.first_event_at is None:
            attempts.first_event_at = receiver.first_event_at
        evidence = self._evidence
        evidence.update_health(request, admitted, backend, load, outcome, receiver)
        await evidence.report_parts(request, admitted, backend, outcome, receiver)
        return outcome

    async def _exchange(self, request, admitted, attempts, backend, deadline, receiver):
        route = admitted.route
        resume_after = attempts.event_filter.last_id if attempts.event_filter else None
        remaining_s = deadline - self._kernel.clock.time()
        try:
            headers = request.headers + self._codec.attempt_headers(
                backend=backend,
                remaining_s=remaining_s,
                workspace=admitted.workspace,
                last_event_id=resume_after,
                urgency=attempts.urgency,
            )
            await self._pool.exchange(
                backend.address,
                request.method,
                request.path,
                headers,
                request.body,
                receiver,
                fresh=not route.repeatable,
                connect_s=CONNECT_TIMEOUT_S,
                may_send=partial(self._may_send_now, backend, attempts),
            )
            return receiver.conclude()
        except ConnectionFailed as error:
            return NotSent(str(error))
        except SendWithheld as error:
            log.info("send withheld", id=request.needs.attempt_id, reason=str(error))
            return Withheld()
        except RequestNotSendable as error:
            return Unsendable(str(error))
        except ResponseLost as error:
            return Lost(str(error))
        except CallerLeft:
            raise
        except Exception as error:
            log.exception(
                "attempt failed", id=request.needs.attempt_id, backend=backend.id
            )
            return Unexpected(repr(error))

    async def _await_outcome(
        self, request, admitted, attempts, load, latency, receiver, exchange, deadline
    ):
        """Wait until ``exchange`` ends, stalls, or reaches the deadline."""
        clock = self._kernel.clock
        route = admitted.route
        while True:
            now = clock.time()
            wake_at = deadline
            if self._can_run_again(request, route, attempts):
                wake_at = min(deadline, stalled_at(route, receiver, load, latency, now))
            if attempts.is_trial:
                self._evidence.report_survival(
                    request, admitted, attempts, receiver, now
                )
                wake_at = min(wake_at, now + TRIAL_CHECK_INTERVAL_S)
            watched = {exchange, self._quarantine.changed}
            if not self._last_call.done():
                watched.add(self._last_call)
            await asyncio.wait(
                watched,
                timeout=max(0.0, wake_at - now),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if exchange.done():
                return exchange.result()
            if self._last_call.done() and not request.response.begun:
                return Interrupted()
            now = clock.time()
            if now >= deadline:
                return TimedOut()
            if receiver.first_event_at is None and not attempts.is_trial:
                parts = request.needs.shared_parts
                match self._quarantine.find_blocked(admitted.service, parts):
                    case Blocked(key):
                        return Withdrawn(key)
            if not self._can_run_again(request, route, attempts):
                continue
            if now >= stalled_at(route, receiver, load, latency, now):
                silent_s = now - receiver.progress_at
                if self._has_alternative(request, admitted, attempts, load):
                    latency.record_stall()
                    return Stalled(silent_s)
                await asyncio.wait({exchange}, timeout=ALTERNATIVE_CHECK_INTERVAL_S)

    def _has_alternative(self, request, admitted, attempts, load):
        """Tell whether the budget allows a retry and another backend server suits.

        That one is not suspected, names no limit and has no more expected requests
        than this one.
        """
        if not self._has_retry_budget(admitted.service):
            return False
        model = request.needs.model if admitted.route.carries_model else ""
        choice = self._placement.choose(
            admitted.service,
            model,
            excluded=attempts.excluded_ids | {load.backend_id},
            allow_limited=False,
        )
        match choice:
            case Forward(backend):
                now = self._kernel.clock.time()
                other = self._placement.load(backend)
                return not other.is_suspect(now) and (
                    other.expected_requests(now) <= load.expected_requests(now)
                )
        return False
