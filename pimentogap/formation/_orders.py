"""Sends orders to engines while the lease is held, without duplicates in flight."""

from logbook import Logger

from pimentogap.errors import OrderRefused
from pimentogap.types import JoinGroup, OrderUnanswered

log = Logger("formation.orders")

OWNER = "formation"
# The same order is not sent again within this time, which is no less than the
# time-out of an order, so that the same order is not in flight twice.
ORDER_RETRY_S = 1.0
# An engine may still carry out an unanswered order up to this long after the
# answer failed to arrive.
MAX_ORDER_DELAY_S = 12.5


class OrderSender:
    """Sends the orders of one term and tracks joins whose outcome is unknown.

    The fencing number of each order is the term.
    """

    __slots__ = (
        "_kernel",
        "_engines",
        "_term",
        "_sent_at_by_key",
        "_may_join_until_by_id",
        "_unanswered_keys",
    )

    def __init__(self, kernel, engines, term):
        """Create a sender that reaches engines through ``engines`` during ``term``."""
        self._kernel = kernel
        self._engines = engines
        self._term = term
        self._sent_at_by_key = {}
        self._may_join_until_by_id = {}
        self._unanswered_keys = set()

    def send_again_if_unanswered(self, backend, order):
        """Send ``order`` again if the last time it had no answer."""
        if (backend.id, backend.incarnation, order) in self._unanswered_keys:
            self.send(backend, order)

    def send(self, backend, order):
        """Send ``order`` to ``backend`` unless it was sent within `ORDER_RETRY_S`."""
        now = self._kernel.clock.time()
        key = (backend.id, backend.incarnation, order)
        if now - self._sent_at_by_key.get(key, -ORDER_RETRY_S) < ORDER_RETRY_S:
            return
        self._sent_at_by_key[key] = now
        self._kernel.spawn(OWNER, self._send, backend, order)

    def may_still_join(self, backend_id):
        """Return whether an unanswered join may still be carried out there."""
        now = self._kernel.clock.time()
        return now < self._may_join_until_by_id.get(backend_id, 0.0)

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
        # Logged with the outcome, also if no answer came or nothing could be sent.
        log.info(
            "order ended",
            backend=backend.id,
            order=type(order).__name__,
            group=getattr(order, "group", None),
            term=self._term,
            outcome=type(outcome).__name__,
            detail=getattr(outcome, "detail", None),
        )
        key = (backend.id, backend.incarnation, order)
        match outcome:
            case OrderUnanswered():
                self._unanswered_keys.add(key)
                if isinstance(order, JoinGroup):
                    until = self._kernel.clock.time() + MAX_ORDER_DELAY_S
                    self._may_join_until_by_id[backend.id] = until
            case _:
                self._unanswered_keys.discard(key)
                self._may_join_until_by_id.pop(backend.id, None)
