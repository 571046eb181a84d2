"""The known daemons, and the neighbours, watchers and lease candidates among them."""

import hashlib

from pimentogap.peers._entries import MemberStatus
from pimentogap.tickets import Reach

HASHED_NEIGHBOURS = 3
LEASE_CANDIDATES = 2
REACHABLE_STATUSES = (MemberStatus.ALIVE, MemberStatus.STOPPING)


class MemberTable:
    """The newest record of each known daemon.

    A daemon whose status is ``LEFT`` does not count as part of the fleet. One that
    died counts until its record is removed, which happens a retention time after
    this daemon declared it dead, and only while the store confirms the configuration.
    """

    __slots__ = ("own_id", "members_by_id", "_cached_by_name")

    def __init__(self, own):
        self.own_id = own.id
        self.members_by_id = {own.id: own}
        self._cached_by_name = {}

    @property
    def own(self):
        """The record of this daemon."""
        return self.members_by_id[self.own_id]

    def merge(self, record):
        """Keep ``record`` if it supersedes the known one; return whether it does."""
        known = self.members_by_id.get(record.id)
        if known is not None and known.precedence() >= record.precedence():
            return False
        self.members_by_id[record.id] = record
        if known is None or known.status != record.status:
            self._cached_by_name.clear()
        return True

    def remove(self, member_id):
        """Remove the record of a daemon."""
        del self.members_by_id[member_id]
        self._cached_by_name.clear()

    def reachable_members(self):
        """Return the records of the daemons that gossip shows as up."""
        return [
            m for m in self.members_by_id.values() if m.status in REACHABLE_STATUSES
        ]

    def reach(self):
        """Return the `Reach`: how many daemons are known and how many are up."""
        return self._cached("reach", self._count_reach)

    def neighbours(self):
        """Return the ids of the daemons that this one opens sessions to.

        The successor on the ring of ids keeps the fleet connected. The others are
        chosen by rendezvous hash, so that few change when a daemon joins or leaves.
        """
        return self._cached("neighbours", self._choose_neighbours)

    def is_watcher(self):
        """Return whether this daemon watches the store for its availability zone."""
        return self._cached("watcher", self._choose_watcher) == self.own_id

    def lease_candidates(self, region):
        """Return the ids of the daemons that compete for the leases of ``region``.

        There are two, so that the calls to the store do not grow with the fleet.
        """
        return self._cached(region, lambda: self._choose_candidates(region))

    def _cached(self, name, compute):
        """Return the result of ``compute`` from the cache, which it fills if needed.

        A daemon that is added, removed or changes its status clears the cache.
        """
        if name not in self._cached_by_name:
            self._cached_by_name[name] = compute()
        return self._cached_by_name[name]

    def _count_reach(self):
        members = self.members_by_id.values()
        known = sum(m.status != MemberStatus.LEFT for m in members)
        return Reach(known, len(self.reachable_members()))

    def _choose_watcher(self):
        zone = self.own.availability_zone
        ids = self._alive_ids(lambda member: member.availability_zone == zone)
        return min(ids, key=_hash, default=self.own_id)

    def _choose_candidates(self, region):
        ids = self._alive_ids(lambda member: member.region == region)
        return sorted(ids, key=_hash)[:LEASE_CANDIDATES]

    def _alive_ids(self, predicate):
        return [
            member.id
            for member in self.members_by_id.values()
            if member.status == MemberStatus.ALIVE and predicate(member)
        ]

    def _choose_neighbours(self):
        ids = sorted(m.id for m in self.reachable_members() if m.id != self.own_id)
        if len(ids) <= HASHED_NEIGHBOURS + 1:
            return frozenset(ids)
        successor = next((i for i in ids if i > self.own_id), ids[0])
        ids.sort(key=lambda other: _hash(f"{self.own_id}|{other}"))
        return frozenset([successor, *ids[:HASHED_NEIGHBOURS]])


def _hash(text):
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
