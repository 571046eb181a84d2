"""A budget that keeps retries to a share of the requests."""

RETRY_SHARE = 0.2
MINIMUM_RETRIES = 10.0
MAXIMUM_RETRIES = 100.0


class RetryBudget:
    """Earns a share of a retry with each request and spends one on each retry."""

    __slots__ = ("_balance",)

    def __init__(self):
        self._balance = MINIMUM_RETRIES

    def earn(self):
        """Note a first attempt."""
        self._balance = min(MAXIMUM_RETRIES, self._balance + RETRY_SHARE)

    def spend(self):
        """Return whether a retry may be made, and count it."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
