"""The account of what is buffered of answers."""

# An answer may always hold this much.
SMALL_ANSWER_BYTES = 16 * 1024


class AnswerAccount:
    """Adds up what is buffered of all answers, and tells what still fits.

    ``refused`` counts how often there was no room.
    """

    __slots__ = ("limit_bytes", "held_bytes", "refused")

    def __init__(self, limit_bytes):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.refused = 0

    def open(self):
        """Return an `AnswerBuffer` that holds nothing."""
        return AnswerBuffer(self)


class AnswerBuffer:
    """What is reserved for one answer."""

    __slots__ = ("_account", "held_bytes")

    def __init__(self, account):
        self._account = account
        self.held_bytes = 0

    def resize(self, size):
        """Reserve ``size`` bytes in all; return whether they fit."""
        added = size - self.held_bytes
        account = self._account
        fits = account.held_bytes + added <= account.limit_bytes
        if added > 0 and size > SMALL_ANSWER_BYTES and not fits:
            account.refused += 1
            return False
        account.held_bytes += added
        self.held_bytes = size
        return True

    def release(self):
        """Give everything back."""
        self.resize(0)
