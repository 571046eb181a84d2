"""Chooses the daemon that gives out the permits of a backend server."""

import hashlib


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
