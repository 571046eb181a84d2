"""Bounds the second sends of a daemon to its part of the fleet's budget."""

# Kept free for sends that other daemons make and this one cannot see.
SAFETY = 0.7


class RetryBudget:
    """Admits second sends in proportion to requests, within a sliding window.

    Each daemon spends the part of its own requests, and its share of what the
    fleet may spend besides, so the sum keeps the bound without a call.
    """

    __slots__ = ("_ratio", "_window_s", "_slack", "_slots")

    def __init__(self, *, ratio, window_s, slack):
        """Set the bound.

        :param ratio: second sends for each request.
        :param window_s: length of the window in seconds.
        :param slack: second sends in a window that need no request.
        """
        self._ratio = ratio * SAFETY
        self._window_s = window_s
        self._slack = slack * SAFETY
        self._slots = {}

    def request(self, service, now):
        """Count a request for ``service``."""
        self._slot(service, now)[0] += 1

    def has_room(self, service, now, *, daemons):
        """Tell whether one more second send fits.

        :param daemons: how many daemons share the budget.
        """
        requests, sends = self._sums(service, now)
        return sends + 1 <= requests * self._ratio + self._slack / daemons

    def spend(self, service, now):
        """Count a second send."""
        self._slot(service, now)[1] += 1

    def _slot(self, service, now):
        return self._slots.setdefault(service, {}).setdefault(int(now), [0, 0])

    def _sums(self, service, now):
        slots = self._slots.get(service, {})
        oldest = now - self._window_s
        for second in [second for second in slots if second < oldest]:
            del slots[second]
        requests = sum(slot[0] for slot in slots.values())
        return requests, sum(slot[1] for slot in slots.values())
