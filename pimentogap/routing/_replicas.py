"""A daemon's view of one backend server."""

import math
from collections import OrderedDict

PERMISSION_LIFETIME_S = 1.5
SLOW_START_S = 15.0
SLOW_START_SHARE = 0.2
EJECT_AFTER_FAILURES = 3
EJECT_BASE_S = 2.0
MAX_EJECT_S = 60.0
EWMA_WEIGHT = 0.2
INITIAL_REQUEST_TIME_S = 0.5
MIN_REQUEST_TIME_S = 0.02
MAX_TRACKED_BLOCKS = 4096


class Replica:
    """One backend server: its permission, load, speed and cached prefixes.

    Times are in seconds of the runtime's clock. The permission to send requests
    expires at ``permitted_until`` unless new evidence renews it.
    ``request_time_s`` is the average time that a request takes, ``step_s`` the
    average time between tokens.
    """

    __slots__ = (
        "server",
        "permitted_until",
        "permitted_since",
        "running",
        "waiting",
        "capacity",
        "in_flight",
        "sent_since_report",
        "failures",
        "ejections",
        "ejected_until",
        "first_token_s",
        "step_s",
        "blocks",
        "cache_blocks",
        "reported_at",
        "request_time_s",
    )

    def __init__(self, server):
        self.server = server
        self.permitted_until = -math.inf
        self.permitted_since = None
        self.running = 0
        self.waiting = 0
        self.capacity = 1
        self.in_flight = 0
        self.sent_since_report = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = -math.inf
        self.first_token_s = None
        self.step_s = None
        self.blocks = OrderedDict()
        self.reported_at = -math.inf
        self.request_time_s = INITIAL_REQUEST_TIME_S
        self.cache_blocks = MAX_TRACKED_BLOCKS

    def permit(self, now):
        """Renew the permission because of evidence received at ``now``."""
        if now >= self.permitted_until:
            self.permitted_since = now
        self.permitted_until = now + PERMISSION_LIFETIME_S

    def revoke(self):
        """Revoke the permission at once."""
        self.permitted_until = -math.inf
        self.permitted_since = None

    def is_permitted(self, now):
        """Return whether the permission holds at ``now``."""
        return now < self.permitted_until

    def usable_share(self, now):
        """Return the share of its capacity that the server may be given.

        After a start, a pause or an ejection it grows from `SLOW_START_SHARE` to
        one, by 1 / `SLOW_START_S` each second.
        """
        if self.permitted_since is None:
            return 0.0
        ramp_began_at = max(self.permitted_since, self.ejected_until)
        share = SLOW_START_SHARE + (now - ramp_began_at) / SLOW_START_S
        return min(1.0, max(SLOW_START_SHARE, share))

    def load(self, now, daemons_per_server):
        """Return the estimated number of requests at the server at ``now``.

        A report counts the requests of all daemons, but goes stale within the
        time that a request takes. This daemon's own requests in flight are known
        exactly, and ``daemons_per_server`` daemons are assumed to have as many
        each. The older the report, the more weight the second estimate gets.
        """
        freshness = math.exp((self.reported_at - now) / self.request_time_s)
        reported = self.running + self.waiting + self.sent_since_report
        return (
            freshness * reported + (1 - freshness) * self.in_flight * daemons_per_server
        )

    def apply_report(
        self, now, *, running, waiting, capacity, cache_added, cache_blocks
    ):
        """Apply a load report, which includes the requests sent before it.

        :param cache_blocks: how many prompt blocks the server's cache can hold.
        """
        self.cache_blocks = min(cache_blocks, MAX_TRACKED_BLOCKS)
        self.running = running
        self.waiting = waiting
        self.capacity = max(1, capacity)
        self.sent_since_report = 0
        self.reported_at = now
        self.add_cached_blocks(cache_added)

    def add_cached_blocks(self, blocks):
        """Record prompt blocks that the server has presumably cached."""
        for block in blocks:
            self.blocks[block] = True
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.cache_blocks:
            self.blocks.popitem(last=False)

    def cached_blocks(self, blocks):
        """Return how many of the leading ``blocks`` the server has cached."""
        count = 0
        for block in blocks:
            if block not in self.blocks:
                break
            count += 1
        return count

    def request_started(self):
        """Count a request that is being sent."""
        self.in_flight += 1
        self.sent_since_report += 1

    def request_ended(self):
        """Count a request that has ended, with or without an answer."""
        self.in_flight -= 1

    def record_success(self, request_time_s):
        """Include the time in the average, and reset failures and ejections."""
        self.request_time_s = max(
            MIN_REQUEST_TIME_S, _updated_average(self.request_time_s, request_time_s)
        )
        self.failures = 0
        self.ejections = 0

    def record_failure(self, now):
        """Count a failure; `EJECT_AFTER_FAILURES` in a row eject the server."""
        self.failures += 1
        if self.failures >= EJECT_AFTER_FAILURES:
            self.failures = 0
            self.eject(now)

    def eject(self, now):
        """Eject the server, each time in a row twice as long, up to `MAX_EJECT_S`."""
        delay_s = min(MAX_EJECT_S, EJECT_BASE_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + delay_s

    def observe_first_token(self, seconds):
        """Include a time to first token in the average."""
        self.first_token_s = _updated_average(self.first_token_s, seconds)

    def observe_step(self, seconds):
        """Include a time between tokens in the average."""
        self.step_s = _updated_average(self.step_s, seconds)


def _updated_average(average, value):
    if average is None:
        return value
    return average + EWMA_WEIGHT * (value - average)
