"""Sends orders to engines, each once at a time, while the lease is held."""

from logbook import Logger

from pimentogap.errors import OrderRefused
from pimentogap.types import JoinGroup, OrderUnanswered

log = Logger("formation.orders")

OWNER = "formation"
ORDER_RETRY_S = 1.0
# An order without an answer may be carried out this much later.
LATE_ORDER_S = 12.5


class OrderSender:
    """The orders of one term, with what is still unsettled of them."""

    __slots__ = ("_kernel", "_engines", "_term", "_asked_at", "_unsettled_until_by_id")

    def __init__(self, kernel, engines, term):
        """Send by ``engines``, with ``term`` as the fencing token."""
        self._kernel = kernel
        self._engines = engines
        self._term = term
        self._asked_at = {}
        self._unsettled_until_by_id = {}

    def ask(self, backend, order):
        """Send ``order`` unless the same one is under way or was sent just now."""
        now = self._kernel.clock.time()
        key = (backend.id, backend.born_ms, order)
        if now - self._asked_at.get(key, -ORDER_RETRY_S) < ORDER_RETRY_S:
            return
        self._asked_at[key] = now
        self._kernel.spawn(OWNER, self._send, backend, order)

    def is_unsettled(self, backend_id):
        """Tell whether a join that had no answer may still be carried out."""
        now = self._kernel.clock.time()
        return now < self._unsettled_until_by_id.get(backend_id, 0.0)

    async def _send(self, backend, order):
        lease = self._kernel.get("lease")
        if not lease.is_held() or lease.term != self._term:
            return
        try:
            outcome = await self._engines.order(backend, order, fence=self._term)
        except OrderRefused as error:
            log.warning(
                "order refused", backend=backend.id, order=repr(order), error=str(error)
            )
            return
        log.info(
            "order",
            backend=backend.id,
            order=type(order).__name__,
            group=getattr(order, "group", None),
            term=self._term,
            outcome=type(outcome).__name__,
            detail=getattr(outcome, "detail", None),
        )
        match outcome:
            case OrderUnanswered():
                if isinstance(order, JoinGroup):
                    until = self._kernel.clock.time() + LATE_ORDER_S
                    self._unsettled_until_by_id[backend.id] = until
            case _:
                self._unsettled_until_by_id.pop(backend.id, None)
