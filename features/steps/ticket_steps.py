"""Steps for tickets."""

from behave import then, when

from features.steps.fleet_steps import submit, workspace
from pimentogap.tickets import (
    Accepted,
    AlreadyAccepted,
    Invalid,
    NotAccepted,
    OutcomeUnknown,
    Outdated,
)

OUTCOMES = {
    "accepted": Accepted,
    "already accepted": AlreadyAccepted,
    "outdated": Outdated,
    "invalid": Invalid,
    "not accepted": NotAccepted,
    "unknown": OutcomeUnknown,
}


@when("a ticket sets workspace {name} at daemon {daemon:d}")
def when_ticket(context, name, daemon):
    submit(context, daemon, [workspace(name)])


@when(
    "a ticket against revision {against:d} sets workspace {name} to {rate:g} requests/s"
)
def when_ticket_against(context, against, name, rate):
    submit(context, 0, [workspace(name, rate)], against=against)


@when("submission {submission} sets workspace {name} at daemon {daemon:d}")
def when_submission(context, submission, name, daemon):
    submit(context, daemon, [workspace(name)], submission=submission, against=0)


@when("a ticket puts VM {vm} into two groups")
def when_vm_in_two_groups(context, vm):
    service = {"kind": "model_service", "name": "m", "model": "m", "vms_per_group": 1}
    groups = [
        {
            "kind": "model_group",
            "name": f"pinned-{i}",
            "service": "m",
            "region": "r",
            "vms": [vm],
        }
        for i in range(2)
    ]
    submit(context, 0, [service, *groups])


@when("a ticket puts VMs {one} and {other} into one group")
def when_group_over_domains(context, one, other):
    service = {"kind": "model_service", "name": "m", "model": "m", "vms_per_group": 2}
    group = {"kind": "model_group", "name": "wide", "service": "m", "region": "r"}
    submit(context, 0, [service, {**group, "vms": [one, other]}])


@when("a ticket sets a workspace limit above that of its service")
def when_limit_above(context):
    service = {
        "kind": "model_service",
        "name": "m",
        "model": "m",
        "requests_per_s": 5.0,
    }
    submit(context, 0, [service, {**workspace("w", 10.0), "services": ["m"]}])


@when("a ticket names a service that does not exist")
def when_service_unknown(context):
    submit(context, 0, [{**workspace("w"), "services": ["nowhere"]}])


@when("{count:d} tickets are accepted, one after the other")
def when_many_tickets(context, count):
    for number in range(count):
        assert isinstance(submit(context, 0, [workspace(f"w-{number % 7}")]), Accepted)


@then("the ticket is {outcome}")
def then_outcome(context, outcome):
    last = context.simulation.outcomes[-1]
    assert isinstance(last, OUTCOMES[outcome]), last


@then(
    "the refusal shows field {field}, {asked} requested and {present} in force,"
    " changed by ticket {number:d}"
)
def then_conflict(context, field, asked, present, number):
    outcome = context.simulation.outcomes[-1]
    assert outcome.changed_by == (number,), outcome
    shown = {(c.field, str(c.asked), str(c.present)) for c in outcome.conflicts}
    assert (field, asked, present) in shown, shown


@then("the violated rule says: {text}")
def then_violated_rule(context, text):
    rules = [str(violation) for violation in context.simulation.outcomes[-1].violations]
    assert any(text in rule for rule in rules), rules


@then("the log holds {count:d} tickets")
def then_ticket_count(context, count):
    objects = context.simulation.fleet.platform.objects_by_collection
    assert len(objects.get("tickets", {})) == count, list(objects.get("tickets", {}))


@then("every daemon knows that ticket {number:d} is applied at all daemons")
def then_applied_everywhere(context, number):
    for daemon in context.simulation.fleet.daemons_by_index.values():
        members = daemon.get("peers").table.members_by_id.values()
        applied = {member.id: member.applied_revision for member in members}
        assert all(revision >= number for revision in applied.values()), applied


@when("the first part of the newest snapshot is deleted")
def when_snapshot_part_deleted(context):
    snapshots = context.simulation.fleet.platform.objects_by_collection["snapshots"]
    newest = max(name for name in snapshots if name.endswith("-part-0"))
    del snapshots[newest]
