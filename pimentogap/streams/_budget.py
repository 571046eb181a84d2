"""A budget that limits retries to a share of the requests."""

RETRIES_PER_REQUEST = 0.2
INITIAL_BALANCE = 10.0
MAX_BALANCE = 100.0


class RetryBudget:
    """Adds a share of a retry for each request and deducts each retry."""

    __slots__ = ("_balance",)

    def __init__(self):
        self._balance = INITIAL_BALANCE

    def deposit(self):
        """Count a request's first attempt."""
        self._balance = min(MAX_BALANCE, self._balance + RETRIES_PER_REQUEST)

    def try_withdraw(self):
        """Return whether a retry is allowed, and deduct it if so."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
