"""The service that carries each request from its caller to a backend server."""

import asyncio
import math

from logbook import Logger

from pimentogap.errors import ConnectionFailed, ResponseLost
from pimentogap.forwarding._events import EventCutter
from pimentogap.forwarding._outcomes import (
    Abandoned,
    Delivered,
    Failure,
    Lost,
    NotRun,
    NotSent,
    Stalled,
    TimedOut,
)
from pimentogap.forwarding._relay import Relay
from pimentogap.forwarding._routes import (
    STATUS_BY_REASON,
    Admitted,
    Rejected,
    admit,
    is_stream,
)
from pimentogap.forwarding._sends import Sends, first_event_ms, outcome_name
from pimentogap.metrics import Series
from pimentogap.placement import Forward, Full, Missing, RetryBudget
from pimentogap.types import RouteKind

log = Logger("forwarding")

# A connection within a region opens in a few milliseconds; a lost SYN costs 1 s.
CONNECT_TIMEOUT_S = 0.4
DEFAULT_DEADLINE_S = 60.0
# The least time left in which a send can still be of use.
MIN_SEND_S = 0.02
# Silence that makes another backend server the better bet, as a multiple of the
# objective, and its least value.
FIRST_EVENT_PATIENCE = 1.0
GAP_PATIENCE = 1.5
MIN_PATIENCE_S = 0.35
# Patience with a backend server whose slots are all taken, against an idle one.
FULL_PATIENCE = 2.0
SUSPECT_PATIENCE_S = 0.25
# A backend server that sent anything within this time is not standing still.
LIVELY_S = 0.3
LIVELY_PATIENCE = 2.5
RECHECK_S = 0.1
IDEMPOTENT_PATIENCE = 2.0
# Sends that certainly did not run, beyond the route's attempts.
EXTRA_SENDS = 2
RETRY_AFTER_MISSING_S = 0.5
RETRY_AFTER_FULL_S = 0.6
# Other daemons can take the request at once.
RETRY_AFTER_STOPPING_S = 0.05
PROMISING_STATUSES = (408, 421, 429, 503)


class ForwardingService:
    """Serves each request by one task, from the admission to the last byte."""

    name = "forwarding"
    requires = (
        "placement",
        "serving_configuration",
        "directory",
        "daemons",
        "metrics",
    )
    __slots__ = (
        "_pool",
        "_codec",
        "_kernel",
        "_placement",
        "_configuration",
        "_directory",
        "_metrics",
        "_budget",
        "_ends_at",
        "_strict_at",
        "in_flight",
        "served",
    )

    def __init__(self, settings, pool, codec):
        """Send by ``pool``, with headers by ``codec``.

        :param settings: the `FrontSettings`, for the bounds on second sends.
        """
        self._pool = pool
        self._codec = codec
        self._kernel = None
        self._placement = None
        self._configuration = None
        self._directory = None
        self._metrics = None
        self._budget = RetryBudget(
            ratio=settings.retry_ratio,
            window_s=settings.retry_window_s,
            slack=settings.retry_slack,
        )
        self._ends_at = math.inf
        self._strict_at = math.inf
        self.in_flight = 0
        self.served = 0

    async def start(self, kernel):
        """Find the services that requests need."""
        self._kernel = kernel
        self._placement = kernel.get("placement")
        self._configuration = kernel.get("serving_configuration")
        self._directory = kernel.get("directory")
        self._metrics = kernel.get("metrics")

    async def stop(self):
        """Close idle connections."""
        self._pool.close()

    def end_by(self, ends_at, *, strict_at):
        """Prepare for an end of the daemon at ``ends_at``.

        :param strict_at: requests that come later are refused if they may last
            beyond the end.
        """
        self._ends_at = ends_at
        self._strict_at = strict_at

    async def serve(self, request):
        """Answer ``request``, a `CallerRequest`."""
        self.in_flight += 1
        try:
            configuration = self._configuration.current
            match admit(configuration, request, self._kernel.random):
                case Rejected(reason):
                    status = STATUS_BY_REASON[reason]
                    self._refuse(request, None, status, reason.value)
                case Admitted() as admitted if self._may_outlast(admitted.route):
                    after_s = RETRY_AFTER_STOPPING_S
                    self._refuse(
                        request, admitted, 503, "stopping", retry_after_s=after_s
                    )
                case Admitted() as admitted:
                    await self._serve_admitted(request, admitted)
        finally:
            self.in_flight -= 1

    def _may_outlast(self, route):
        """Tell whether a new request of ``route`` may last beyond the end."""
        now = self._kernel.clock.time()
        return now >= self._strict_at and now + route.timeout_s > self._ends_at

    async def _serve_admitted(self, request, admitted):
        self.served += 1
        route = admitted.route
        now = self._kernel.clock.time()
        self._budget.request(admitted.service, now)
        waits_s = min(route.timeout_s, request.needs.deadline_s or DEFAULT_DEADLINE_S)
        deadline = request.received_at + waits_s
        cutter = EventCutter(request.needs.last_event_id) if is_stream(route) else None
        sends = Sends(cutter)
        try:
            outcome = await self._try_backends(request, admitted, sends, deadline)
        except asyncio.CancelledError:
            self._log(request, admitted, sends, "caller_left", 0)
            raise
        self._conclude(request, admitted, sends, outcome)

    async def _try_backends(self, request, admitted, sends, deadline):
        outcome = None
        while True:
            model = request.needs.model if admitted.route.carries_model else ""
            choice = self._placement.choose(
                admitted.service, model, excluded=sends.excluded_ids
            )
            match choice:
                case Forward(backend):
                    pass
                case Full() | Missing():
                    return outcome or choice
            remaining_s = deadline - self._kernel.clock.time()
            if remaining_s < MIN_SEND_S:
                return outcome or TimedOut()
            if sends.tried:
                if not self._has_budget(admitted.service):
                    return outcome
                self._budget.spend(admitted.service, self._kernel.clock.time())
            outcome = await self._send(request, admitted, sends, backend, deadline)
            sends.tried.append((backend.id, outcome))
            sends.excluded_ids.add(backend.id)
            if not self._may_go_on(request, admitted.route, sends, outcome):
                return outcome

    def _has_budget(self, service):
        now = self._kernel.clock.time()
        daemons = self._kernel.get("daemons").count
        return self._budget.has_room(service, now, daemons=daemons)

    def _may_go_on(self, request, route, sends, outcome):
        """Tell whether another send is allowed and could help after ``outcome``."""
        match outcome:
            case Delivered() | TimedOut():
                return False
            case NotSent() | NotRun():
                return (
                    sends.may_have_run < route.max_attempts
                    and len(sends.tried) < route.max_attempts + EXTRA_SENDS
                )
            case Failure(status):
                wanted = status >= 500 and not request.response.begun
                return wanted and self._may_repeat(route, sends)
            case Lost() | Stalled():
                return self._may_repeat(route, sends)

    def _may_repeat(self, route, sends):
        return route.repeatable and sends.may_have_run < route.max_attempts

    async def _send(self, request, admitted, sends, backend, deadline):
        load = self._placement.load(backend)
        relay = Relay(request, load, self._codec, self._kernel.clock, sends.cutter)
        load.in_flight += 1
        exchange = asyncio.ensure_future(
            self._exchange(request, admitted, sends, backend, deadline, relay)
        )
        sends.may_have_run += 1
        began_at = self._kernel.clock.time()
        try:
            outcome = await self._watch(
                request, admitted, sends, load, relay, exchange, deadline
            )
        except asyncio.CancelledError:
            after_s = self._kernel.clock.time() - began_at
            sends.tried.append((backend.id, Abandoned(after_s)))
            raise
        finally:
            load.in_flight -= 1
            if not exchange.done():
                exchange.cancel()
                await asyncio.wait({exchange})
            elif not exchange.cancelled():
                # Taken here, since nobody else does when the caller has left.
                exchange.exception()
        if isinstance(outcome, NotSent | NotRun):
            sends.may_have_run -= 1
        if sends.first_event_at is None:
            sends.first_event_at = relay.first_event_at
        self._note_health(backend, load, outcome)
        return outcome

    async def _exchange(self, request, admitted, sends, backend, deadline, relay):
        route = admitted.route
        resume_after = sends.cutter.last_id if sends.cutter else None
        remaining_s = deadline - self._kernel.clock.time()
        headers = request.headers + self._codec.of_send(
            backend=backend,
            remaining_s=remaining_s,
            workspace=admitted.workspace,
            last_event_id=resume_after,
        )
        try:
            await self._pool.exchange(
                backend.address,
                request.method,
                request.path,
                headers,
                request.body,
                relay,
                fresh=not route.repeatable,
                connect_s=CONNECT_TIMEOUT_S,
            )
            return relay.finished()
        except ConnectionFailed as error:
            return NotSent(str(error))
        except ResponseLost as error:
            return Lost(str(error))

    async def _watch(self, request, admitted, sends, load, relay, exchange, deadline):
        """Wait for the end of ``exchange``, its deadline, or a hopeless silence."""
        clock = self._kernel.clock
        route = admitted.route
        while True:
            now = clock.time()
            wake_at = deadline
            if self._may_repeat(route, sends):
                wake_at = min(deadline, self._stalled_at(route, relay, load, now))
            done, _ = await asyncio.wait({exchange}, timeout=max(0.0, wake_at - now))
            if done:
                return exchange.result()
            now = clock.time()
            if now >= deadline:
                return TimedOut()
            if now >= self._stalled_at(route, relay, load, now):
                silent_s = now - relay.progress_at
                if self._has_alternative(request, admitted, sends, load):
                    return Stalled(silent_s)
                await asyncio.wait({exchange}, timeout=RECHECK_S)

    def _stalled_at(self, route, relay, load, now):
        """Return when the silence of a send becomes hopeless, if it goes on."""
        if route.kind is RouteKind.IDEMPOTENT:
            return relay.progress_at + IDEMPOTENT_PATIENCE * route.first_byte_s
        if load.is_suspect(now):
            patience_s = SUSPECT_PATIENCE_S
        elif relay.first_event_at is None:
            patience_s = max(MIN_PATIENCE_S, FIRST_EVENT_PATIENCE * route.first_byte_s)
        else:
            patience_s = max(MIN_PATIENCE_S, GAP_PATIENCE * route.max_gap_s)
        if not load.is_suspect(now):
            patience_s *= max(1.0, FULL_PATIENCE * load.fullness(now))
        due = relay.progress_at + patience_s
        # A head that answers others is alive; this request may only be queued.
        lively_until = load.progress_at + LIVELY_S
        if due < lively_until:
            return min(lively_until, relay.progress_at + patience_s * LIVELY_PATIENCE)
        return due

    def _has_alternative(self, request, admitted, sends, load):
        """Tell whether a sound backend server with less to do could take over."""
        if not self._has_budget(admitted.service):
            return False
        model = request.needs.model if admitted.route.carries_model else ""
        choice = self._placement.choose(
            admitted.service, model, excluded=sends.excluded_ids | {load.backend_id}
        )
        match choice:
            case Forward(backend):
                now = self._kernel.clock.time()
                other = self._placement.load(backend)
                return not other.is_suspect(now) and (
                    other.expected(now) <= load.expected(now)
                )
        return False

    def _note_health(self, backend, load, outcome):
        now = self._kernel.clock.time()
        match outcome:
            case NotSent() | Lost() | Stalled() | TimedOut():
                load.suspect(now)
                # Its kept connections may have gone silent as well.
                self._pool.forget(backend.address)
                log.info("backend suspect", backend=backend.id, outcome=repr(outcome))
                self._raise_alarm(backend)
            case NotRun(status=421):
                load.suspect(now)
            case NotRun(culprit=culprit) if culprit:
                load.suspect(now)
                log.info("backend suspect", backend=backend.id, culprit=culprit)
                self._raise_alarm(backend)

    def _raise_alarm(self, backend):
        alarms = self._kernel.find("alarms")
        if alarms is not None and backend.membership is not None:
            alarms.suspect(backend)

    def _conclude(self, request, admitted, sends, outcome):
        """Give the caller the final answer that ``outcome`` calls for."""
        response = request.response
        match outcome:
            case Delivered(status):
                self._log(request, admitted, sends, "delivered", status)
            case _ if response.begun:
                response.abort()
                self._log(request, admitted, sends, outcome_name(outcome), 0)
            case Failure(status, headers, body):
                if status in PROMISING_STATUSES:
                    self._refuse(request, admitted, 502, "backend_failed", sends=sends)
                    return
                response.begin(status, headers)
                response.send(body)
                response.finish()
                self._log(request, admitted, sends, "backend_failed", status)
            case Full():
                self._refuse_not_run(
                    request, admitted, sends, "full", RETRY_AFTER_FULL_S
                )
            case Missing():
                self._refuse_not_run(
                    request, admitted, sends, "missing", RETRY_AFTER_MISSING_S
                )
            case NotRun(retry_after_s=after_s):
                after_s = after_s or RETRY_AFTER_FULL_S
                self._refuse_not_run(request, admitted, sends, "not_run", after_s)
            case NotSent():
                self._refuse_not_run(
                    request, admitted, sends, "not_sent", RETRY_AFTER_MISSING_S
                )
            case TimedOut():
                status = 504 if sends.may_have_run else 503
                self._refuse(request, admitted, status, "timed_out", sends=sends)
            case Lost() | Stalled():
                self._refuse(request, admitted, 502, outcome_name(outcome), sends=sends)

    def _refuse_not_run(self, request, admitted, sends, reason, after_s):
        """Refuse with the promise that nothing ran, if that is so."""
        status = 502 if sends.may_have_run else 503
        self._refuse(
            request, admitted, status, reason, sends=sends, retry_after_s=after_s
        )

    def _refuse(
        self, request, admitted, status, reason, *, sends=None, retry_after_s=0.0
    ):
        headers = self._codec.of_refusal(
            request.needs.attempt_id, retry_after_s=retry_after_s
        )
        body = f"{reason}\n".encode()
        headers.append(("Content-Type", "text/plain"))
        headers.append(("Content-Length", str(len(body))))
        request.response.begin(status, headers)
        request.response.send(body)
        request.response.finish()
        self._log(request, admitted, sends, reason, status)

    def _log(self, request, admitted, sends, outcome, status):
        now = self._kernel.clock.time()
        took_s = now - request.received_at
        service = admitted.service if admitted else "-"
        workspace = (admitted.workspace if admitted else None) or "-"
        self._metrics.count(Series("requests", service, workspace, outcome))
        self._metrics.observe(Series("request", service, "-", outcome), took_s)
        configuration = self._configuration.current
        log.info(
            "request ended",
            id=request.needs.attempt_id,
            route=admitted.route.name if admitted else None,
            service=service,
            workspace=workspace,
            model=request.needs.model or None,
            outcome=outcome,
            status=status,
            ms=round(took_s * 1000),
            first_ms=first_event_ms(request, sends),
            sends=[(id_, outcome_name(o)) for id_, o in sends.tried] if sends else [],
            version=configuration.version if configuration else None,
            list_rev=self._directory.revision,
        )
