"""Numbered change tickets, each with the complete new state of the items it puts."""

from collections import Counter
from dataclasses import dataclass

from pimentogap.errors import InvalidDocument
from pimentogap.schema import (
    Choice,
    Integer,
    Problem,
    Text,
    check,
    dump,
    name_shape,
    shaped,
)
from pimentogap.types import ITEM_CLASSES_BY_KIND, ItemKey, key_of

MAX_CHANGES = 2000
KINDS = tuple(ITEM_CLASSES_BY_KIND)


@dataclass(frozen=True, slots=True, kw_only=True)
class TicketHeader:
    """The author of a ticket, the reason, and the revision that it was made against.

    ``submission`` identifies the ticket before it has a number, so that a ticket
    submitted twice is accepted once.
    """

    submission: str = shaped(name_shape())
    against: int = shaped(Integer("tickets"))
    author: str = shaped(name_shape())
    reason: str = shaped(Text(max_length=2000), default="")


@dataclass(frozen=True, slots=True, kw_only=True)
class _Removal:
    kind: str = shaped(Choice(KINDS))
    name: str = shaped(name_shape())


@dataclass(frozen=True, slots=True)
class Ticket:
    """A change that an operator requests.

    ``put`` holds items in their complete new state, ``remove`` the `ItemKey` of each
    item to remove.
    """

    header: TicketHeader
    put: tuple
    remove: tuple

    def touched_keys(self):
        """Return the `ItemKey` of each item that the ticket puts or removes."""
        return [key_of(item) for item in self.put] + list(self.remove)


@dataclass(frozen=True, slots=True)
class AcceptedTicket:
    """A ticket with the number under which it was accepted.

    ``accepted_at`` is in seconds since the epoch.
    """

    number: int
    accepted_at: float
    ticket: Ticket


def parse_ticket(data, *, lines_by_path=None):
    """Return the `Ticket` that plain ``data`` holds.

    :param lines_by_path: line numbers of the document, for the problems.
    :raises InvalidDocument: with every problem that was found.
    """
    lines = lines_by_path or {}
    if not isinstance(data, dict):
        raise InvalidDocument([Problem("", None, "no mapping", "a ticket")])
    problems = []
    header_fields = {key: data[key] for key in data if key not in ("put", "remove")}
    header = _check_part(problems, TicketHeader, header_fields, lines, "")
    put = _parse_list(data, "put", problems, lines, _parse_item)
    remove = _parse_list(data, "remove", problems, lines, _parse_removal)
    if not problems:
        ticket = Ticket(header, tuple(put), tuple(remove))
        _check_keys(ticket, problems)
    if problems:
        raise InvalidDocument(problems)
    return ticket


def dump_item(item):
    """Return a configured item as plain data that includes its kind."""
    return {"kind": key_of(item).kind, **dump(item)}


def load_item(data):
    """Return the configured item that `dump_item` turned into ``data``."""
    fields = {key: value for key, value in data.items() if key != "kind"}
    return check(ITEM_CLASSES_BY_KIND[data["kind"]], fields)


def dump_ticket(ticket):
    """Return ``ticket`` as plain data."""
    return {
        **dump(ticket.header),
        "put": [dump_item(item) for item in ticket.put],
        "remove": [{"kind": key.kind, "name": key.name} for key in ticket.remove],
    }


def dump_accepted(accepted):
    """Return an accepted ticket as plain data."""
    return {
        "number": accepted.number,
        "accepted_at": accepted.accepted_at,
        "ticket": dump_ticket(accepted.ticket),
    }


def load_accepted(data):
    """Return the `AcceptedTicket` that `dump_accepted` turned into ``data``."""
    return AcceptedTicket(
        data["number"], data["accepted_at"], parse_ticket(data["ticket"])
    )


def _parse_list(data, field, problems, lines, parse):
    entries = data.get(field) or []
    if not isinstance(entries, list) or len(entries) > MAX_CHANGES:
        expected = f"a list of at most {MAX_CHANGES} items"
        problems.append(Problem(field, lines.get(field), "something else", expected))
        return []
    return [
        parse(entry, f"{field}[{index}]", problems, lines)
        for index, entry in enumerate(entries)
    ]


def _parse_item(entry, path, problems, lines):
    kind = entry.get("kind") if isinstance(entry, dict) else None
    if kind not in KINDS:
        expected = "a kind: one of " + ", ".join(KINDS)
        problems.append(Problem(path, lines.get(path), f"found {kind!r}", expected))
        return None
    fields = {key: value for key, value in entry.items() if key != "kind"}
    return _check_part(problems, ITEM_CLASSES_BY_KIND[kind], fields, lines, path)


def _parse_removal(entry, path, problems, lines):
    removal = _check_part(problems, _Removal, entry, lines, path)
    return removal and ItemKey(removal.kind, removal.name)


def _check_part(problems, cls, data, lines, path):
    try:
        return check(cls, data, lines_by_path=lines, path=path)
    except InvalidDocument as error:
        problems.extend(error.problems)
        return None


def _check_keys(ticket, problems):
    keys = ticket.touched_keys()
    if not keys:
        problems.append(Problem("put", None, "nothing", "at least one change"))
    for key in sorted(key for key, count in Counter(keys).items() if count > 1):
        problems.append(Problem("put", None, f"{key} twice", "each item once"))
