"""The kinds of findings about a configuration, and the entries that they concern."""

from dataclasses import dataclass
from enum import StrEnum


class EntryKind(StrEnum):
    """The kind of an entry of a configuration."""

    ROUTE = "route"
    SERVICE = "service"
    WORKSPACE = "workspace"
    LIMITS = "limits"


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry of a configuration; the limits have neither name nor index."""

    kind: EntryKind
    name: str = ""
    index: int | None = None


@dataclass(frozen=True, slots=True)
class Fault:
    """A value for which daemons would refuse the whole configuration."""

    path: str
    found: str
    expected: str


@dataclass(frozen=True, slots=True)
class NeverMatches:
    """An entry that no request can ever meet, and why."""

    entry: Entry
    reason: str


@dataclass(frozen=True, slots=True)
class Contradiction:
    """Values of an entry of which one makes the other void."""

    entry: Entry
    reason: str


@dataclass(frozen=True, slots=True)
class Change:
    """What differs from an older configuration, and what callers notice of it.

    ``rank`` orders changes: 0 for those that turn callers away, 1 for those that
    serve them otherwise, 2 for the rest.
    """

    entry: Entry
    rank: int
    reason: str
