"""The service that answers idempotent calls of plain services."""

import asyncio

from pimentogap.errors import ConnectionFailed, ResponseLost
from pimentogap.routing import Forward, Refuse
from pimentogap.streams import RetryBudget
from pimentogap.types import RefusalCode, not_run

HEDGE_FACTOR = 4.0
HEDGE_MINIMUM_S = 0.01
HEDGE_LIMIT_S = 1.0
MAX_ATTEMPTS = 3


class LookupService:
    """Sends lookups to a near server, and to a second one if the first is slow.

    Second requests are made only within a budget, so that a service that is
    slow as a whole does not get twice the load.
    """

    name = "lookups"
    requires = ("routing",)
    __slots__ = ("_kernel", "_http", "_budgets_by_service", "hedged")

    def __init__(self, http):
        """Prepare to reach plain services through ``http``."""
        self._kernel = None
        self._http = http
        self._budgets_by_service = {}
        self.hedged = 0

    async def start(self, kernel):
        """Take the clock and the other services of ``kernel``."""
        self._kernel = kernel

    async def stop(self):
        """Do nothing; lookups end with the requests that they belong to."""

    async def look_up(self, service, request, *, timeout_s, trace):
        """Return the `HttpResponse` to ``request``, or the `Refusal`.

        :param service: the `pimentogap.types.PlainService`.
        :param timeout_s: seconds that the caller waits.
        """
        clock = self._kernel.clock
        deadline = clock.time() + timeout_s
        budget = self._budgets_by_service.setdefault(service.name, RetryBudget())
        budget.earn()
        excluded = set()
        attempts = set()
        try:
            while clock.time() < deadline:
                replica = None
                may_try = not excluded or budget.spend()
                if may_try and len(excluded) < MAX_ATTEMPTS:
                    replica = self._next_server(service.name, excluded, trace)
                if replica is not None:
                    self.hedged += bool(attempts)
                    attempts.add(asyncio.ensure_future(self._ask(replica, request)))
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
                trace.considered(replica.server.id, considered)
                excluded.add(replica.server.id)
                return replica

    async def _ask(self, replica, request):
        clock = self._kernel.clock
        sent_at = clock.time()
        replica.began()
        try:
            response = await self._http.fetch(
                replica.server.address, request, timeout_s=HEDGE_LIMIT_S * 10
            )
        except (ConnectionFailed, ResponseLost):
            replica.failed(clock.time())
            return None
        finally:
            replica.ended()
        replica.succeeded(clock.time() - sent_at)
        replica.observe_first_token(clock.time() - sent_at)
        return response


def _hedge_delay(replica):
    usual_s = replica.first_token_s or HEDGE_LIMIT_S
    return min(HEDGE_LIMIT_S, max(HEDGE_MINIMUM_S, HEDGE_FACTOR * usual_s))


async def _first_response(attempts, wait_s):
    """Return the first response among ``attempts``, or ``None`` after ``wait_s``."""
    done, _ = await asyncio.wait(
        attempts, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
    )
    for attempt in done:
        attempts.discard(attempt)
        if attempt.result() is not None:
            return attempt.result()
    return None
