"""The service that sends idempotent calls to plain services, with hedging."""

import asyncio

from pimentogap.errors import ConnectionFailed, ResponseLost
from pimentogap.routing import Forward, Refuse
from pimentogap.streams import RetryBudget
from pimentogap.types import RefusalCode, not_run

HEDGE_DELAY_FACTOR = 4.0
MIN_HEDGE_DELAY_S = 0.01
MAX_HEDGE_DELAY_S = 1.0
MAX_ATTEMPTS = 3


class LookupService:
    """Sends lookups to one server, preferably near; hedges slow, retries failed ones.

    Further requests are sent only within a retry budget, so that a service that
    is slow at all its servers does not get twice the load. ``hedged_count`` counts the
    requests sent while another one for the same lookup was pending.
    """

    name = "lookups"
    requires = ("routing",)
    __slots__ = ("_kernel", "_http", "_budgets_by_service", "hedged_count")

    def __init__(self, http):
        """Create the service.

        :param http: the HTTP client for plain services.
        """
        self._kernel = None
        self._http = http
        self._budgets_by_service = {}
        self.hedged_count = 0

    async def start(self, kernel):
        """Keep ``kernel`` for its clock and services."""
        self._kernel = kernel

    async def stop(self):
        """Leave open lookups to the tasks of their requests, which end them."""

    async def look_up(self, service, request, *, timeout_s, trace):
        """Return the `HttpResponse` to ``request``, or a `Refusal`.

        :param service: the `pimentogap.types.PlainService`.
        :param request: the `HttpRequest` to send.
        :param timeout_s: seconds that the caller waits.
        :param trace: the `pimentogap.traces.Trace` that records the servers chosen.
        """
        clock = self._kernel.clock
        deadline = clock.time() + timeout_s
        budget = self._budgets_by_service.setdefault(service.name, RetryBudget())
        budget.deposit()
        excluded = set()
        attempts = set()
        try:
            while clock.time() < deadline:
                replica = None
                may_attempt = not excluded or budget.try_withdraw()
                if may_attempt and len(excluded) < MAX_ATTEMPTS:
                    replica = self._next_server(service.name, excluded, trace)
                if replica is not None:
                    self.hedged_count += bool(attempts)
                    attempts.add(asyncio.ensure_future(self._attempt(replica, request)))
                elif not attempts:
                    break
                wait_s = deadline - clock.time()
                if replica is not None:
                    wait_s = min(wait_s, _hedge_delay(replica))
                response = await _first_response(attempts, wait_s)
                if response is not None:
                    return response
        finally:
            for attempt in attempts:
                attempt.cancel()
        detail = f"no backend server of {service.name} answered"
        return not_run(RefusalCode.NO_CAPACITY, detail, retry_after_s=1.0)

    def _next_server(self, service_name, excluded, trace):
        routing = self._kernel.get("routing")
        match routing.decide(service_name, excluded=excluded):
            case Refuse():
                return None
            case Forward(replica, considered):
                trace.note_candidates(replica.server.id, considered)
                excluded.add(replica.server.id)
                return replica

    async def _attempt(self, replica, request):
        clock = self._kernel.clock
        sent_at = clock.time()
        replica.request_started()
        try:
            response = await self._http.fetch(
                replica.server.address, request, timeout_s=MAX_HEDGE_DELAY_S * 10
            )
        except (ConnectionFailed, ResponseLost):
            replica.record_failure(clock.time())
            return None
        finally:
            replica.request_ended()
        replica.record_success(clock.time() - sent_at)
        replica.observe_first_token(clock.time() - sent_at)
        return response


def _hedge_delay(replica):
    average_s = replica.first_token_s or MAX_HEDGE_DELAY_S
    return min(
        MAX_HEDGE_DELAY_S, max(MIN_HEDGE_DELAY_S, HEDGE_DELAY_FACTOR * average_s)
    )


async def _first_response(attempts, wait_s):
    """Return the first response among ``attempts``, or ``None``.

    ``None`` means that none ended within ``wait_s`` or that those which ended
    failed. Ended attempts are removed from the set.
    """
    done, _ = await asyncio.wait(
        attempts, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
    )
    for attempt in done:
        attempts.discard(attempt)
        if attempt.result() is not None:
            return attempt.result()
    return None
