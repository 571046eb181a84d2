"""Decides whether a submitted ticket can be accepted."""

from dataclasses import dataclass

from pimentogap.schema import dump
from pimentogap.tickets._ticket import AcceptedTicket
from pimentogap.tickets._validate import validate
from pimentogap.types import key_of


@dataclass(frozen=True, slots=True)
class Accept:
    """The ticket may be appended under the number that ``accepted`` carries."""

    accepted: AcceptedTicket


@dataclass(frozen=True, slots=True)
class AlreadyAccepted:
    """The same submission was accepted before, under ``number``."""

    number: int


@dataclass(frozen=True, slots=True)
class FieldConflict:
    """A field of an item for which the ticket and the configuration differ.

    Another ticket has changed the item after the revision that the ticket names.
    ``asked`` is the value in the ticket, ``present`` the one in the configuration.
    If either ticket removes the item, ``field`` is empty and the values are
    "present" or "removed".
    """

    item: str
    field: str
    asked: object
    present: object


@dataclass(frozen=True, slots=True)
class Outdated:
    """The ticket names a revision after which other tickets changed its items.

    ``revision`` is the newest one, ``changed_by`` the numbers of those tickets, and
    ``conflicts`` every `FieldConflict`. Both tuples are empty if the ticket names a
    revision that this daemon does not have yet.
    """

    revision: int
    changed_by: tuple
    conflicts: tuple


@dataclass(frozen=True, slots=True)
class Invalid:
    """The configuration that results from the ticket would break rules."""

    violations: tuple


def decide(configuration, ticket, *, accepted_at, vms_by_id=None):
    """Decide whether ``ticket`` can be appended to the log of accepted tickets.

    :param configuration: the newest `Configuration`.
    :param accepted_at: the time of acceptance in seconds since the epoch.
    :param vms_by_id: the platform's VMs, as far as they are known.
    :return: `Accept`, `AlreadyAccepted`, `Outdated` or `Invalid`.
    """
    number = configuration.numbers_by_submission.get(ticket.header.submission)
    if number is not None:
        return AlreadyAccepted(number)
    outdated = _find_outdated(configuration, ticket)
    if outdated is not None:
        return outdated
    accepted = AcceptedTicket(configuration.revision + 1, accepted_at, ticket)
    violations = validate(configuration.with_ticket(accepted), vms_by_id=vms_by_id)
    return Invalid(tuple(violations)) if violations else Accept(accepted)


def _find_outdated(configuration, ticket):
    against = ticket.header.against
    if against > configuration.revision:
        return Outdated(configuration.revision, (), ())
    changed = {
        key: configuration.last_ticket_by_key[key]
        for key in ticket.touched_keys()
        if configuration.last_ticket_by_key.get(key, 0) > against
    }
    if not changed:
        return None
    conflicts = []
    for item in ticket.put:
        if key_of(item) in changed:
            conflicts.extend(_field_conflicts(configuration, item))
    for key in ticket.remove:
        if key in changed:
            present = configuration.items_by_key.get(key)
            present_text = "present" if present is not None else "removed"
            conflicts.append(FieldConflict(str(key), "", "removed", present_text))
    numbers = tuple(sorted(set(changed.values())))
    return Outdated(configuration.revision, numbers, tuple(conflicts))


def _field_conflicts(configuration, item):
    key = key_of(item)
    present = configuration.items_by_key.get(key)
    if present is None:
        return [FieldConflict(str(key), "", "present", "removed")]
    asked, present_fields = dump(item), dump(present)
    return [
        FieldConflict(str(key), field, asked.get(field), present_fields.get(field))
        for field in sorted(asked.keys() | present_fields.keys())
        if asked.get(field) != present_fields.get(field)
    ]
