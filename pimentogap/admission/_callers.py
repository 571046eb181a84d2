"""How much of a caller's patience had passed when its request arrived."""

# Half of the time for which the longest deadline of a route is remembered.
WINDOW_S = 30.0
# First deadlines on a route differ by up to this fraction of the longest. Callers who
# were refused come back later than that, since they are told to.
TOLERANCE_SHARE = 0.17


class CallerPatience:
    """The longest deadline that callers of each route have given of late.

    A caller that comes back gives what is left of its first deadline, so that the
    difference tells the age of its request.
    """

    __slots__ = ("_longest_by_route", "_earlier_by_route", "_turned_at")

    def __init__(self):
        self._longest_by_route = {}
        self._earlier_by_route = {}
        self._turned_at = 0.0

    def elapsed_s(self, route_name, deadline_s, now):
        """Return the age of a request, 0 for a first attempt.

        :param deadline_s: the seconds that the caller has left, or ``None``.
        """
        if deadline_s is None:
            return 0.0
        self._turn(now)
        longest_s = max(
            deadline_s,
            self._longest_by_route.get(route_name, 0.0),
            self._earlier_by_route.get(route_name, 0.0),
        )
        self._longest_by_route[route_name] = max(
            deadline_s, self._longest_by_route.get(route_name, 0.0)
        )
        age_s = longest_s - deadline_s
        return age_s if age_s > TOLERANCE_SHARE * longest_s else 0.0

    def _turn(self, now):
        if now - self._turned_at >= WINDOW_S:
            self._earlier_by_route = self._longest_by_route
            self._longest_by_route = {}
            self._turned_at = now
