"""Membership between daemons, and the relay of what is new."""

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
