"""Chooses the daemon that gives out the permits of a backend server."""

import hashlib

# All daemons have a changed list of daemons within this time.
LIST_SPREAD_S = 2.0


def owner_address(backend_id, addresses):
    """Return the address of the owner by rendezvous hashing, "" without any.

    A daemon that joins or leaves changes the owner of its own share of the backend
    servers only: D. Thaler and C. Ravishankar, "Using name-based mappings to increase
    hit rates", IEEE/ACM Transactions on Networking, 1998.

    :param addresses: the addresses of all daemons.
    """

    def rank(address):
        return hashlib.blake2b(f"{address} {backend_id}".encode()).digest()

    return max(addresses, key=rank, default="")


class OwnerLists:
    """The addresses of all daemons, and those before the latest change.

    Times are in seconds of the runtime's clock.
    """

    __slots__ = ("_current", "_previous", "_changed_at")

    def __init__(self):
        self._current = None
        self._previous = None
        self._changed_at = 0.0

    def update(self, addresses, now):
        """Note which ``addresses`` the daemons have now."""
        current = frozenset(addresses)
        if current != self._current:
            self._previous = current if self._current is None else self._current
            self._current = current
            self._changed_at = now

    def is_settled(self, backend_id, address, now):
        """Return whether no other daemon can be taken for the owner at ``address``.

        Until all daemons have a changed list, some may still ask the owner of before.
        """
        return (
            now - self._changed_at >= LIST_SPREAD_S
            or owner_address(backend_id, self._previous) == address
        )
