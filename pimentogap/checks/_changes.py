"""Finds what differs between two configurations, and what callers notice of it."""

from dataclasses import fields

from pimentogap.checks._findings import Change, Entry, EntryKind

REFUSES, SERVES_OTHERWISE, UNNOTICED = 0, 1, 2
SHOWN_KEY_CHARS = 4
# Fields whose decrease ends or refuses requests that were served before.
LOWERED_FIELDS = frozenset(
    (
        "timeout_s",
        "max_attempts",
        "max_header_bytes",
        "max_body_bytes",
        "header_timeout_s",
        "idle_timeout_s",
    )
)
REFUSING_FIELDS = frozenset(("needs_key", "host", "path_prefix"))
UNNOTICED_FIELDS = frozenset(("health_path", "name"))


def find_changes(before, after):
    """Return each `Change` from ``before`` to ``after``, the gravest first.

    :param before: the `ServingConfiguration` in force.
    :param after: the `ServingConfiguration` that is to replace it.
    """
    changes = [
        *_key_changes(before, after),
        *_entry_changes(EntryKind.ROUTE, _routes(before), _routes(after)),
        *_entry_changes(
            EntryKind.SERVICE, before.services_by_name, after.services_by_name
        ),
        *_field_changes(Entry(EntryKind.LIMITS), before.limits, after.limits),
    ]
    if after.version <= before.version:
        reason = (
            f"{after.version} is not above {before.version}, so no daemon follows it"
        )
        changes.append(Change(Entry(EntryKind.LIMITS, "version"), REFUSES, reason))
    return sorted(changes, key=lambda change: change.rank)


def _routes(configuration):
    return {route.name: route for route in configuration.routes}


def _key_changes(before, after):
    old = before.workspaces_by_key or {}
    new = after.workspaces_by_key or {}
    for key in sorted(old.keys() | new.keys()):
        shown = f"key {key[:SHOWN_KEY_CHARS]}…"
        match old.get(key), new.get(key):
            case name, None:
                entry = Entry(EntryKind.WORKSPACE, name)
                yield Change(entry, REFUSES, f"{shown} is taken away")
            case None, name:
                entry = Entry(EntryKind.WORKSPACE, name)
                yield Change(entry, UNNOTICED, f"{shown} is added")
            case was, name if was != name:
                entry = Entry(EntryKind.WORKSPACE, name)
                yield Change(entry, REFUSES, f"{shown} was of workspace {was!r}")


def _entry_changes(kind, before_by_name, after_by_name):
    for name in before_by_name.keys() - after_by_name.keys():
        yield Change(Entry(kind, name), REFUSES, "is removed")
    for index, (name, after) in enumerate(after_by_name.items()):
        entry = Entry(kind, name, index)
        before = before_by_name.get(name)
        if before is None:
            yield Change(entry, UNNOTICED, "is added")
        else:
            yield from _field_changes(entry, before, after)


def _field_changes(entry, before, after):
    for item in fields(after):
        old, new = getattr(before, item.name), getattr(after, item.name)
        if old != new:
            rank = _rank(item.name, old, new)
            yield Change(entry, rank, f"{item.name}: {_show(old)} becomes {_show(new)}")


def _rank(name, old, new):
    if name in REFUSING_FIELDS:
        return REFUSES
    if name in LOWERED_FIELDS:
        return REFUSES if new < old else UNNOTICED
    return UNNOTICED if name in UNNOTICED_FIELDS else SERVES_OTHERWISE


def _show(value):
    match value:
        case tuple():
            return "(" + ", ".join(_show(item) for item in value) + ")"
        case float():
            return f"{value:g}"
        case str() | int() | None:
            return str(value)
    names = (
        f"{item.name}={_show(getattr(value, item.name))}" for item in fields(value)
    )
    return f"{type(value).__name__}({', '.join(names)})"
