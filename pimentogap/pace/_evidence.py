"""What the latest answers of a backend server show."""

from collections import deque
from dataclasses import dataclass
from enum import IntEnum

# Answers are counted over this time, and the pace is changed once in it.
WINDOW_S = 0.5


class Sign(IntEnum):
    """What one answer, or the lack of one, shows."""

    GOOD = 0
    SLOW = 1
    FAILED = 2
    REJECTED = 3


@dataclass(frozen=True, slots=True)
class Evidence:
    """Counts of the signs in the last `WINDOW_S` seconds."""

    good: int = 0
    slow: int = 0
    failed: int = 0
    rejected: int = 0

    @property
    def total(self):
        """The number of all signs."""
        return self.good + self.slow + self.failed + self.rejected

    @property
    def bad_share(self):
        """The share of slow answers and failures, 0 without any sign."""
        return (self.slow + self.failed) / self.total if self.total else 0.0

    def counts(self):
        """Return the counts in the order of `Sign`."""
        return self.good, self.slow, self.failed, self.rejected

    def __sub__(self, other):
        pairs = zip(self.counts(), other.counts(), strict=True)
        return Evidence(*(own - others for own, others in pairs))

    def __add__(self, other):
        pairs = zip(self.counts(), other.counts(), strict=True)
        return Evidence(*(own + others for own, others in pairs))


NO_EVIDENCE = Evidence()


class AnswerWindow:
    """The signs that this daemon saw lately, in seconds of the runtime's clock."""

    __slots__ = ("_signs",)

    def __init__(self):
        self._signs = deque()

    def record(self, sign, now):
        """Record a `Sign` at ``now``."""
        self._signs.append((now, sign))
        self._forget_old(now)

    def evidence(self, now):
        """Return the `Evidence` of the window that ends now."""
        self._forget_old(now)
        counts = [0] * len(Sign)
        for _, sign in self._signs:
            counts[sign] += 1
        return Evidence(*counts)

    def _forget_old(self, now):
        signs = self._signs
        while signs and signs[0][0] <= now - WINDOW_S:
            signs.popleft()
