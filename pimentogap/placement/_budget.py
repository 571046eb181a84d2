"""Limits the retries of a daemon to its share of the fleet's retry budget."""

# Fraction of the budget that is used; the rest is a reserve for retries that other
# daemons make and this one cannot see.
USABLE_FRACTION = 0.7


class RetryBudget:
    """Admits retries in proportion to requests, within a sliding window.

    Each daemon may make ``ratio`` retries per request of its own, and an even share
    of the fleet's ``slack`` besides. So the daemons together keep the bound without
    a call between them. Times are in seconds of the runtime's clock.
    """

    __slots__ = ("_ratio", "_window_s", "_slack", "_counts_by_service")

    def __init__(self, *, ratio, window_s, slack):
        """Set the bound.

        :param ratio: retries per request.
        :param window_s: length of the window in seconds.
        :param slack: retries of the whole fleet in a window beyond the ratio.
        """
        self._ratio = ratio * USABLE_FRACTION
        self._window_s = window_s
        self._slack = slack * USABLE_FRACTION
        self._counts_by_service = {}

    def record_request(self, service, now):
        """Count a request for ``service``."""
        self._counts(service, now)[0] += 1

    def has_room(self, service, now, *, daemons):
        """Return whether one more retry fits the budget.

        :param daemons: how many daemons share the budget.
        """
        requests, retries = self._sums(service, now)
        return retries + 1 <= requests * self._ratio + self._slack / daemons

    def record_retry(self, service, now):
        """Count a retry of a request for ``service``."""
        self._counts(service, now)[1] += 1

    def _counts(self, service, now):
        return self._counts_by_service.setdefault(service, {}).setdefault(
            int(now), [0, 0]
        )

    def _sums(self, service, now):
        counts_by_second = self._counts_by_service.get(service, {})
        oldest = now - self._window_s
        for second in [second for second in counts_by_second if second < oldest]:
            del counts_by_second[second]
        requests = sum(counts[0] for counts in counts_by_second.values())
        return requests, sum(counts[1] for counts in counts_by_second.values())
