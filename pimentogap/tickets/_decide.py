"""Decides what becomes of a submitted ticket."""

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
    """A field of a touched item that another ticket has changed meanwhile."""

    item: str
    field: str
    asked: object
    present: object


@dataclass(frozen=True, slots=True)
class Outdated:
    """Something that the ticket touches changed after the revision it names."""

    revision: int
    changed_by: tuple
    conflicts: tuple


@dataclass(frozen=True, slots=True)
class Invalid:
    """The configuration would break rules."""

    violations: tuple


def decide(configuration, ticket, *, accepted_at, vms_by_id=None):
    """Return what becomes of ``ticket`` at the head of the log.

    :return: `Accept`, `AlreadyAccepted`, `Outdated` or `Invalid`.
    """
    number = configuration.numbers_by_submission.get(ticket.header.submission)
    if number is not None:
        return AlreadyAccepted(number)
    outdated = _outdated(configuration, ticket)
    if outdated is not None:
        return outdated
    accepted = AcceptedTicket(configuration.revision + 1, accepted_at, ticket)
    violations = validate(configuration.with_ticket(accepted), vms_by_id=vms_by_id)
    return Invalid(tuple(violations)) if violations else Accept(accepted)


def _outdated(configuration, ticket):
    against = ticket.header.against
    if against > configuration.revision:
        return Outdated(configuration.revision, (), ())
    changed = {
        key: configuration.touched_by_key[key]
        for key in ticket.touched_keys()
        if configuration.touched_by_key.get(key, 0) > against
    }
    if not changed:
        return None
    conflicts = []
    for item in ticket.put:
        if key_of(item) in changed:
            conflicts.extend(_differences(configuration, item))
    for key in ticket.remove:
        if key in changed:
            present = configuration.items_by_key.get(key)
            shown = "present" if present is not None else "removed"
            conflicts.append(FieldConflict(str(key), "", "removed", shown))
    numbers = tuple(sorted(set(changed.values())))
    return Outdated(configuration.revision, numbers, tuple(conflicts))


def _differences(configuration, item):
    key = key_of(item)
    present = configuration.items_by_key.get(key)
    if present is None:
        return [FieldConflict(str(key), "", "present", "removed")]
    asked, held = dump(item), dump(present)
    return [
        FieldConflict(str(key), field, asked.get(field), held.get(field))
        for field in sorted(asked.keys() | held.keys())
        if asked.get(field) != held.get(field)
    ]
