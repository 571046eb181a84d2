"""The account of the memory that callers' connections hold."""

# A body of this size is small: it may use the part that is kept for small ones.
SMALL_BODY_BYTES = 64 * 1024
# What a connection costs in its usual state.
OPEN_CONNECTION_BYTES = 16 * 1024


class Account:
    """Adds up what callers hold and tells what still fits.

    ``connections`` is how many callers are connected.
    """

    __slots__ = (
        "limits",
        "connections",
        "_small_bytes",
        "_large_bytes",
        "_unsent_bytes",
        "_large",
        "_large_unfinished",
        "_large_bytes_by_address",
    )

    def __init__(self, limits):
        """Start with nothing held.

        :param limits: the `IntakeLimits`.
        """
        self.limits = limits
        self.connections = 0
        self._small_bytes = 0
        self._large_bytes = 0
        self._unsent_bytes = 0
        self._large = set()
        # Those that are still being read, the eldest first.
        self._large_unfinished = {}
        self._large_bytes_by_address = {}

    @property
    def in_use(self):
        """The bytes that all callers hold."""
        bodies = self._small_bytes + self._large_bytes
        connections = self.connections * OPEN_CONNECTION_BYTES
        return bodies + self._unsent_bytes + connections

    @property
    def is_overdrawn(self):
        """Whether more is held than the limits allow."""
        return self.in_use > self.limits.memory_bytes

    def fits(self, caller, size):
        """Return whether ``size`` more bytes of a body fit.

        The only large body always does, so that a VM of any size serves one.
        """
        if is_small(caller.held + size):
            return self.in_use + size <= self.limits.memory_bytes
        if not self._large or self._large == {caller}:
            return True
        kept = max(0, self.limits.small_bytes - self._small_bytes)
        return self.in_use + size <= self.limits.memory_bytes - kept

    def take(self, caller, size):
        """Reserve ``size`` more bytes for the body of ``caller``."""
        self._set_held(caller, caller.held + size)

    def finish(self, caller):
        """Note that the body of ``caller`` is complete."""
        self._large_unfinished.pop(caller, None)

    def release(self, caller):
        """Give back all that is reserved for the body of ``caller``."""
        self._set_held(caller, 0)

    def add_unsent(self, caller, size):
        """Count ``size`` bytes of an answer that ``caller`` has not taken yet."""
        caller.unsent += size
        self._unsent_bytes += size

    def gives_way(self, caller):
        """Return whether ``caller`` is to give way to large bodies that began earlier.

        It is if nobody began later, and its address doesn't hold less than others.
        """
        if self.is_under_fair_part(caller.address):
            return False
        if caller not in self._large_unfinished:
            return bool(self._large_unfinished)
        youngest = next(reversed(self._large_unfinished))
        return youngest is caller and len(self._large_unfinished) > 1

    def is_over_fair_part(self, address):
        """Return whether large bodies of ``address`` hold more than its fair part."""
        return self._held_by(address) > self._fair_part()

    def is_under_fair_part(self, address):
        """Return whether large bodies of ``address`` hold less than its fair part."""
        return self._held_by(address) < self._fair_part()

    def _held_by(self, address):
        return self._large_bytes_by_address.get(address, 0)

    def _fair_part(self):
        return self._large_bytes / max(1, len(self._large_bytes_by_address))

    def _set_held(self, caller, held):
        if is_small(caller.held):
            self._small_bytes -= caller.held
        else:
            self._add_large(caller.address, -caller.held)
        caller.held = held
        if is_small(held):
            self._small_bytes += held
            self._large.discard(caller)
            self._large_unfinished.pop(caller, None)
        else:
            self._add_large(caller.address, held)
            self._large.add(caller)
            self._large_unfinished[caller] = None

    def _add_large(self, address, size):
        self._large_bytes += size
        held = self._large_bytes_by_address.get(address, 0) + size
        if held:
            self._large_bytes_by_address[address] = held
        else:
            del self._large_bytes_by_address[address]


def is_small(size):
    """Return whether a body of ``size`` bytes is a small one."""
    return size <= SMALL_BODY_BYTES
