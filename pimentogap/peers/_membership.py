"""Which daemons there are, and which of them a daemon keeps sessions with."""

import hashlib

from pimentogap.peers._entries import MemberStatus
from pimentogap.tickets import Reach

CHOSEN_NEIGHBOURS = 3
LEASE_CANDIDATES = 2
IN_REACH = (MemberStatus.ALIVE, MemberStatus.STOPPING)


class MemberTable:
    """The newest record of every daemon that was ever heard of.

    A daemon that left in order is dropped from the count of the fleet; one
    that died counts until the store confirms the configuration again and the
    time to forget it has passed.
    """

    __slots__ = ("own_id", "members_by_id", "_derived_by_name")

    def __init__(self, own):
        self.own_id = own.id
        self.members_by_id = {own.id: own}
        self._derived_by_name = {}

    @property
    def own(self):
        """Return the daemon's own record."""
        return self.members_by_id[self.own_id]

    def merge(self, record):
        """Take ``record`` if it is newer than what is held; return whether it was."""
        held = self.members_by_id.get(record.id)
        if held is not None and held.newness() >= record.newness():
            return False
        self.members_by_id[record.id] = record
        if held is None or held.status != record.status:
            self._derived_by_name.clear()
        return True

    def forget(self, member_id):
        """Drop the record of a daemon."""
        del self.members_by_id[member_id]
        self._derived_by_name.clear()

    def in_reach(self):
        """Return the records of the daemons that are up, as far as is known."""
        return [m for m in self.members_by_id.values() if m.status in IN_REACH]

    def reach(self):
        """Return how many daemons are known and how many of them are up."""
        return self._derived("reach", self._count_reach)

    def neighbours(self):
        """Return the ids of the daemons that this one opens sessions to.

        The successor on the ring of ids keeps the fleet connected; the others
        are chosen by rendezvous hash, so that few change when daemons do.
        """
        return self._derived("neighbours", self._choose_neighbours)

    def is_watcher(self):
        """Return whether this daemon follows the store for its availability zone."""
        return self._derived("watcher", self._choose_watcher) == self.own_id

    def lease_candidates(self, region):
        """Return the ids of the daemons that compete for the leases of ``region``.

        They are two, so that the store's calls do not grow with the fleet.
        """
        return self._derived(region, lambda: self._choose_candidates(region))

    def _derived(self, name, work_out):
        """Return what was worked out since a status last changed, or work it out."""
        if name not in self._derived_by_name:
            self._derived_by_name[name] = work_out()
        return self._derived_by_name[name]

    def _count_reach(self):
        members = self.members_by_id.values()
        known = sum(m.status != MemberStatus.LEFT for m in members)
        return Reach(known, len(self.in_reach()))

    def _choose_watcher(self):
        zone = self.own.availability_zone
        ids = self._alive_ids(lambda member: member.availability_zone == zone)
        return min(ids, key=_hash, default=self.own_id)

    def _choose_candidates(self, region):
        ids = self._alive_ids(lambda member: member.region == region)
        return sorted(ids, key=_hash)[:LEASE_CANDIDATES]

    def _alive_ids(self, wanted):
        return [
            member.id
            for member in self.members_by_id.values()
            if member.status == MemberStatus.ALIVE and wanted(member)
        ]

    def _choose_neighbours(self):
        ids = sorted(m.id for m in self.in_reach() if m.id != self.own_id)
        if len(ids) <= CHOSEN_NEIGHBOURS + 1:
            return frozenset(ids)
        successor = next((i for i in ids if i > self.own_id), ids[0])
        ids.sort(key=lambda other: _hash(f"{self.own_id}|{other}"))
        return frozenset([successor, *ids[:CHOSEN_NEIGHBOURS]])


def _hash(text):
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
