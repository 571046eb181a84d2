"""Converts entries to and from the protobuf messages between daemons."""

import json
import math

from pimentogap.peers._entries import (
    Hello,
    Member,
    MemberStatus,
    ObjectAnnounced,
    ObjectSent,
    ObjectWanted,
    Ping,
    Pong,
    SnapshotSent,
    TicketSent,
    TicketsWanted,
    VmLeaving,
)
from pimentogap.peers.proto import peers_pb2 as pb

NEVER_CONFIRMED_MS = -1
MAX_AGE_MS = 2**50


def encode_frame(entries):
    """Return ``entries`` as a protobuf ``Frame``."""
    return pb.Frame(entries=[_encode(entry) for entry in entries])


def decode_frame(frame):
    """Return the entries of a protobuf ``frame``; unknown kinds are skipped."""
    entries = [_decode(entry) for entry in frame.entries]
    return [entry for entry in entries if entry is not None]


def _encode(entry):
    match entry:
        case Hello(id, incarnation, revision):
            hello = pb.Hello(id=id, incarnation=incarnation, revision=revision)
            return pb.Entry(hello=hello)
        case Ping(number):
            return pb.Entry(ping=pb.Ping(number=number))
        case Pong(number, revision, age_s, newest_heard):
            pong = pb.Pong(
                number=number,
                revision=revision,
                confirmed_age_ms=_encode_age(age_s),
                newest_heard=newest_heard,
            )
            return pb.Entry(pong=pong)
        case Member():
            return pb.Entry(member=_encode_member(entry))
        case TicketSent(number, body):
            return pb.Entry(ticket=pb.Ticket(number=number, body=_to_json(body)))
        case TicketsWanted(after):
            return pb.Entry(tickets_wanted=pb.TicketsWanted(after=after))
        case SnapshotSent(body):
            return pb.Entry(snapshot=pb.Snapshot(body=_to_json(body)))
        case ObjectAnnounced(name, version):
            announced = pb.ObjectAnnounced(name=name, version=version)
            return pb.Entry(object_announced=announced)
        case ObjectWanted(name):
            return pb.Entry(object_wanted=pb.ObjectWanted(name=name))
        case ObjectSent(name, version, body):
            sent = pb.ObjectSent(name=name, version=version, body=_to_json(body))
            return pb.Entry(object_sent=sent)
        case VmLeaving(id, incarnation):
            return pb.Entry(vm_leaving=pb.VmLeaving(id=id, incarnation=incarnation))


def _encode_age(age_s):
    if math.isinf(age_s):
        return NEVER_CONFIRMED_MS
    return min(MAX_AGE_MS, math.ceil(age_s * 1000))


def _decode_age(age_ms):
    return math.inf if age_ms == NEVER_CONFIRMED_MS else age_ms / 1000


def _encode_member(member):
    return pb.Member(
        id=member.id,
        incarnation=member.incarnation,
        sequence=member.sequence,
        status=int(member.status),
        peer_address=member.peer_address,
        region=member.region,
        availability_zone=member.availability_zone,
        applied_revision=member.applied_revision,
        applied_at=member.applied_at,
    )


def _decode(entry):
    kind = entry.WhichOneof("entry")
    message = getattr(entry, kind) if kind else None
    match kind:
        case "hello":
            return Hello(message.id, message.incarnation, message.revision)
        case "ping":
            return Ping(message.number)
        case "pong":
            age_s = _decode_age(message.confirmed_age_ms)
            return Pong(message.number, message.revision, age_s, message.newest_heard)
        case "member":
            return _decode_member(message)
        case "ticket":
            return TicketSent(message.number, json.loads(message.body))
        case "tickets_wanted":
            return TicketsWanted(message.after)
        case "snapshot":
            return SnapshotSent(json.loads(message.body))
        case "object_announced":
            return ObjectAnnounced(message.name, message.version)
        case "object_wanted":
            return ObjectWanted(message.name)
        case "object_sent":
            return ObjectSent(message.name, message.version, json.loads(message.body))
        case "vm_leaving":
            return VmLeaving(message.id, message.incarnation)
    return None


def _decode_member(message):
    return Member(
        id=message.id,
        incarnation=message.incarnation,
        sequence=message.sequence,
        status=MemberStatus(message.status),
        peer_address=message.peer_address,
        region=message.region,
        availability_zone=message.availability_zone,
        applied_revision=message.applied_revision,
        applied_at=message.applied_at,
    )


def _to_json(body):
    return json.dumps(body, separators=(",", ":")).encode()
