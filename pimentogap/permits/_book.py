"""The permits that a daemon holds for one backend server."""

import asyncio
import math

from pimentogap.permits._pace import PERMIT_LIFE_S

# An owner that failed is not asked again for this long.
OWNER_COOLDOWN_S = 1.0


class PermitBook:
    """Permits held, and what is known of the next ones.

    Permits expire by ``boot_time``, which goes on while the VM is suspended; all other
    times are in seconds of the runtime's clock. ``waiting`` counts the requests that
    wait for ``lock`` to ask the owner.
    """

    __slots__ = (
        "lock",
        "waiting",
        "denied_until",
        "owner_failed_until",
        "_held",
        "_expires_at",
        "_share",
        "_shared_at",
    )

    def __init__(self, now, phase):
        """Hold nothing.

        :param phase: from 0 to 1, the part of the first permit of the daemon's own
            share that it has already; a different one for each daemon, so that their
            permits do not come at the same time.
        """
        self.lock = asyncio.Lock()
        self.waiting = 0
        self.denied_until = 0.0
        self.owner_failed_until = 0.0
        self._held = 0
        self._expires_at = 0.0
        self._share = phase
        self._shared_at = now

    def add(self, permits, boot_time):
        """Hold ``permits`` that were asked for at ``boot_time``."""
        if boot_time >= self._expires_at:
            self._held = 0
        self._held += permits
        self._expires_at = boot_time + PERMIT_LIFE_S

    def put_back(self, boot_time):
        """Hold a permit again that was taken and not used; it lives no longer."""
        if boot_time < self._expires_at:
            self._held += 1

    def take(self, boot_time):
        """Take a permit that is held; return whether there was one."""
        if self._held < 1 or boot_time >= self._expires_at:
            return False
        self._held -= 1
        return True

    def take_own_share(self, per_s, now, life_s):
        """Take a permit of this daemon's own share; return the seconds until the next.

        An owner that cannot be reached may still give permits to others. The shares of
        all daemons together are no more than the limit.

        :param per_s: this daemon's share of the limit, in requests a second.
        :param life_s: a permit is lost that was due longer ago than this.
        """
        due = self._share + (now - self._shared_at) * per_s
        self._shared_at = now
        if math.isinf(life_s):
            due = min(1.0, due)
        self._share = due % 1.0
        if due >= 1.0 and self._share <= life_s * per_s:
            return 0.0
        return (1.0 - self._share) / per_s
