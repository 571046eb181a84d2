"""Answers to operators, as plain data."""

from pimentogap.peers import MemberStatus
from pimentogap.tickets import (
    Accepted,
    AlreadyAccepted,
    Current,
    Invalid,
    Isolated,
    NotAccepted,
    OutcomeUnknown,
    Outdated,
    StoreOutage,
    Unknown,
    dump_accepted,
)


def submission_answer(outcome, ticket):
    """Return the HTTP status and body that answer the submission of ``ticket``."""
    match outcome:
        case Accepted(number):
            return 201, {"outcome": "accepted", "number": number}
        case AlreadyAccepted(number):
            return 200, {"outcome": "already_accepted", "number": number}
        case Outdated(revision, changed_by, conflicts):
            return 409, {
                "outcome": "outdated",
                "revision": revision,
                "against": ticket.header.against,
                "changed_by": list(changed_by),
                "conflicts": [
                    {
                        "item": conflict.item,
                        "field": conflict.field,
                        "asked": conflict.asked,
                        "present": conflict.present,
                    }
                    for conflict in conflicts
                ],
                "rebase": f"pimentogap-ctl submit FILE --rebase {revision}",
            }
        case Invalid(violations):
            rules = [str(violation) for violation in violations]
            return 422, {"outcome": "invalid", "violations": rules}
        case NotAccepted(detail):
            return 503, {"outcome": "not_accepted", "detail": detail}
        case OutcomeUnknown(number):
            detail = f"it may have become ticket {number}; submit it again to learn"
            return 504, {"outcome": "unknown", "detail": detail}


def freshness_answer(freshness):
    """Return the state of the configuration and its age in seconds, as plain data."""
    match freshness:
        case Current(age_s):
            return {"state": "current", "age_s": round(age_s, 3)}
        case StoreOutage(age_s):
            return {"state": "store_outage", "age_s": round(age_s, 3)}
        case Isolated(age_s):
            return {"state": "isolated", "age_s": round(age_s, 3)}
        case Unknown():
            return {"state": "unknown"}


def status_answer(kernel):
    """Return the state of the daemon, and of the fleet from its point of view."""
    configuration = kernel.get("configuration")
    peers = kernel.get("peers")
    groups = kernel.get("groups")
    fleet = kernel.get("fleet")
    reach = peers.reach()
    return {
        "daemon": peers.table.own_id,
        "incarnation": peers.table.own.incarnation,
        "revision": configuration.current.revision,
        "freshness": freshness_answer(configuration.freshness()),
        "reach": {"known": reach.known, "reachable": reach.reachable},
        "watches_store": peers.is_watcher(),
        "controls_groups": groups.lease.is_valid(),
        "open_streams": kernel.get("streams").open_count,
        "resumed_streams": kernel.get("streams").resumed_count,
        "store_calls": kernel.get("store").calls_by_kind,
        "daemons": [
            {
                "id": member.id,
                "status": member.status.name.lower(),
                "revision": member.applied_revision,
            }
            for member in sorted(peers.table.members_by_id.values(), key=lambda m: m.id)
        ],
        "groups": [
            group_answer(kernel, assignment)
            for assignment in sorted(fleet.assignments(), key=lambda a: a.key)
        ],
    }


def group_answer(kernel, assignment):
    """Return one generation of a model group as plain data.

    ``permitted_here`` is whether this daemon may send it requests now, or ``None``
    if routing does not know the generation.
    """
    routing = kernel.get("routing")
    now = kernel.clock.time()
    server_id = f"{assignment.group}/{assignment.generation}"
    permitted = None
    for replica in routing.replicas(assignment.service):
        if replica.server.id == server_id:
            permitted = replica.is_permitted(now)
    return {
        "group": assignment.group,
        "generation": assignment.generation,
        "service": assignment.service,
        "fabric_domain": assignment.fabric_domain,
        "vms": [vm.id for vm in assignment.vms],
        "draining": assignment.draining,
        "permitted_here": permitted,
    }


def ticket_answer(kernel, accepted):
    """Return a ticket with the daemons that have applied it and those yet to do so.

    Dead daemons and those that left are not waited for.
    """
    applied, pending = [], []
    members = kernel.get("peers").table.members_by_id.values()
    for member in sorted(members, key=lambda m: m.id):
        if member.status in (MemberStatus.DEAD, MemberStatus.LEFT):
            continue
        if member.applied_revision >= accepted.number:
            applied.append({"id": member.id, "applied_at": member.applied_at})
        else:
            pending.append({"id": member.id, "revision": member.applied_revision})
    return {
        **dump_accepted(accepted),
        "in_force": not pending,
        "applied_by": applied,
        "waited_for": pending,
    }


def trace_answer(trace):
    """Return the trace of a request as plain data."""
    return {
        "request_id": trace.request_id,
        "workspace": trace.workspace,
        "service": trace.service,
        "notes": [
            {"after_s": note.after_s, "what": note.what, "detail": note.detail}
            for note in trace.notes
        ],
    }
