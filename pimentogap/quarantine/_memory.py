"""Remembers which prompt parts this daemon has seen answered."""

from collections import OrderedDict

MAX_PARTS = 4096


class _Answered:
    """When a request with a part was last answered, and whether one was lost since."""

    __slots__ = ("at", "is_doubted")

    def __init__(self, at):
        self.at = at
        self.is_doubted = False


class PartMemory:
    """The last `MAX_PARTS` parts with which a request was answered.

    Times are in seconds of the runtime's clock.
    """

    __slots__ = ("_answered_by_key",)

    def __init__(self):
        self._answered_by_key = OrderedDict()

    def __len__(self):
        return len(self._answered_by_key)

    def record_answer(self, key, now):
        """Record that a request with the part ``key`` was answered."""
        self._answered_by_key[key] = _Answered(now)
        self._answered_by_key.move_to_end(key)
        if len(self._answered_by_key) > MAX_PARTS:
            self._answered_by_key.popitem(last=False)

    def answered_at(self, key):
        """Return when a request with the part was last answered, or ``None``."""
        answered = self._answered_by_key.get(key)
        return answered.at if answered is not None else None

    def is_strike(self, key):
        """Record that a backend server ended under a part; return whether it counts.

        For a part that was answered before, the first such end since does not count.
        """
        answered = self._answered_by_key.get(key)
        if answered is None or answered.is_doubted:
            return True
        answered.is_doubted = True
        return False
