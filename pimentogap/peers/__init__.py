"""Fleet membership, and gossip of tickets and shared objects between daemons."""

from pimentogap.peers._entries import Member, MemberStatus, ObjectSent, VmLeaving
from pimentogap.peers._membership import MemberTable
from pimentogap.peers._service import PeerService

__all__ = [
    "Member",
    "MemberStatus",
    "MemberTable",
    "ObjectSent",
    "PeerService",
    "VmLeaving",
]
