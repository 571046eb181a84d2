"""What a daemon knows of one backend server."""

import math
from collections import OrderedDict

PERMISSION_S = 1.5
TRUST_RAMP_S = 15.0
FIRST_TRUST = 0.2
EJECT_AFTER_FAILURES = 3
EJECT_BASE_S = 2.0
EJECT_LIMIT_S = 60.0
EWMA_SHARE = 0.2
INITIAL_STAY_S = 0.5
LEAST_STAY_S = 0.02
REMEMBERED_BLOCKS = 4096


class Replica:
    """One backend server: its permission, load, speed and cached prefixes.

    Times are in seconds of the runtime's clock. ``permitted_until`` is renewed
    by fresh evidence alone and lapses by itself.
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
        "stay_s",
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
        self.stay_s = INITIAL_STAY_S
        self.cache_blocks = REMEMBERED_BLOCKS

    def permit(self, now):
        """Renew the permission on evidence received at ``now``."""
        if now >= self.permitted_until:
            self.permitted_since = now
        self.permitted_until = now + PERMISSION_S

    def revoke(self):
        """End the permission at once."""
        self.permitted_until = -math.inf
        self.permitted_since = None

    def permitted(self, now):
        """Return whether the permission holds at ``now``."""
        return now < self.permitted_until

    def trust(self, now):
        """Return the share of its capacity that the server is trusted with.

        It grows from `FIRST_TRUST` to one after a start, a pause or an ejection.
        """
        if self.permitted_since is None:
            return 0.0
        since = max(self.permitted_since, self.ejected_until)
        grown = FIRST_TRUST + (now - since) / TRUST_RAMP_S
        return min(1.0, max(FIRST_TRUST, grown))

    def load(self, now, sharing):
        """Return how many requests the server is likely to have at ``now``.

        A report tells of all daemons' requests but grows old within the time
        that a request stays; our own requests in flight are known exactly, and
        ``sharing`` daemons are taken to do alike.
        """
        freshness = math.exp((self.reported_at - now) / self.stay_s)
        reported = self.running + self.waiting + self.sent_since_report
        return freshness * reported + (1 - freshness) * self.in_flight * sharing

    def reported(self, now, *, running, waiting, capacity, cache_added, cache_blocks):
        """Take in a load report; our earlier requests are in it by now.

        :param cache_blocks: how many prompt blocks the server's cache can hold.
        """
        self.cache_blocks = min(cache_blocks, REMEMBERED_BLOCKS)
        self.running = running
        self.waiting = waiting
        self.capacity = max(1, capacity)
        self.sent_since_report = 0
        self.reported_at = now
        self.remember(cache_added)

    def remember(self, blocks):
        """Note prompt blocks that the server has cached, as far as is known."""
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

    def began(self):
        """Note that a request is on its way."""
        self.in_flight += 1
        self.sent_since_report += 1

    def ended(self):
        """Note that a request has ended, one way or another."""
        self.in_flight -= 1

    def succeeded(self, stay_s):
        """Close the series of failures, after a request that took ``stay_s``."""
        self.stay_s = max(LEAST_STAY_S, _averaged(self.stay_s, stay_s))
        self.failures = 0
        self.ejections = 0

    def failed(self, now):
        """Count a failure; several in a row eject the server for a while."""
        self.failures += 1
        if self.failures >= EJECT_AFTER_FAILURES:
            self.failures = 0
            self.eject(now)

    def eject(self, now):
        """Send no requests for a while, longer each time."""
        delay_s = min(EJECT_LIMIT_S, EJECT_BASE_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + delay_s

    def observe_first_token(self, seconds):
        """Include a time to first token in the average."""
        self.first_token_s = _averaged(self.first_token_s, seconds)

    def observe_step(self, seconds):
        """Include a time between tokens in the average."""
        self.step_s = _averaged(self.step_s, seconds)


def _averaged(average, value):
    if average is None:
        return value
    return average + EWMA_SHARE * (value - average)
