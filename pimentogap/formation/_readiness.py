"""Decides from when on a daemon that has begun to lead acts on the backend list."""

# A new leader waits this long for the backend list to catch up before it acts.
TAKEOVER_DELAY_S = 0.5
# At the first start of the fleet, backend servers enter the list one after the
# other: the leader waits until the list has kept its size for a while, up to a limit.
FIRST_LIST_STABLE_S = 0.8
FIRST_LIST_TIMEOUT_S = 5.0


class Readiness:
    """Tells whether the backend list of a leader is complete and no older copy."""

    __slots__ = (
        "_kernel",
        "_lease",
        "_settling",
        "_directory",
        "_configuration",
        "_is_first_start",
        "_term_since",
        "_list_size",
        "_list_size_since",
    )

    def __init__(self, kernel, *, first_start):
        """Read what is known from the services of ``kernel``.

        :param first_start: whether the whole fleet starts for the first time.
        """
        self._kernel = kernel
        self._lease = kernel.get("lease")
        self._settling = kernel.get("settling")
        self._directory = kernel.get("directory")
        self._configuration = kernel.get("serving_configuration")
        self._is_first_start = first_start
        self._term_since = 0.0
        self._list_size = 0
        self._list_size_since = 0.0

    def begin_term(self):
        """Wait again, since this daemon has just begun to lead."""
        self._term_since = self._kernel.clock.time()

    def may_act(self):
        """Return whether this leader may send orders by its list."""
        now = self._kernel.clock.time()
        if not self._directory.loaded or self._configuration.current is None:
            return False
        if not self._settling.is_settled():
            return False
        if self._is_first_start and self._lease.is_first:
            size = len(self._directory.backends_by_id)
            if size != self._list_size:
                self._list_size, self._list_size_since = size, now
            stable_s = now - self._list_size_since
            if (
                stable_s < FIRST_LIST_STABLE_S
                and now - self._term_since < FIRST_LIST_TIMEOUT_S
            ):
                return False
        return now - self._term_since >= TAKEOVER_DELAY_S
