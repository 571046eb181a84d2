"""Chooses the subset of backend servers that one daemon uses."""

import hashlib

SUBSET_SIZE = 24


def choose_subset(daemon_id, servers, *, availability_zone, size=SUBSET_SIZE):
    """Return at most ``size`` of ``servers`` for one daemon.

    Servers are ranked by rendezvous hash, so that a server or daemon that is
    added or removed changes few choices. Two thirds are the best-ranked of the
    daemon's own availability zone, if it has as many; the rest are the best-ranked
    of all other servers, whatever their zone.
    """
    if len(servers) <= size:
        return list(servers)
    ranked = sorted(servers, key=lambda server: _rank(daemon_id, server))
    in_own_zone = [s for s in ranked if s.availability_zone == availability_zone]
    chosen = in_own_zone[: size * 2 // 3]
    ids = {server.id for server in chosen}
    others = [server for server in ranked if server.id not in ids]
    return chosen + others[: size - len(chosen)]


def _rank(daemon_id, server):
    text = f"{daemon_id}|{server.id.partition('/')[0]}|{server.service}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
