"""The calls of the platform's object API and their answers, without any encoding."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Get:
    """Read one object; a ``stale`` read costs less and may be seconds old."""

    collection: str
    name: str
    stale: bool = False


@dataclass(frozen=True, slots=True)
class Put:
    """Write one object if its version is still ``version`` (0: it must not exist)."""

    collection: str
    name: str
    value: object
    version: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Delete one object if its version is still ``version``."""

    collection: str
    name: str
    version: int


@dataclass(frozen=True, slots=True)
class List:
    """Read up to ``limit`` objects of a collection, by name, after ``after``."""

    collection: str
    after: str = ""
    limit: int = 500
    stale: bool = False


@dataclass(frozen=True, slots=True)
class Watch:
    """Wait up to ``wait_s`` seconds for changes after the store's ``revision``."""

    collection: str
    revision: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class ListVms:
    """Read the platform's list of VMs unless its tag is still ``tag``.

    The list lags behind the VMs.
    """

    tag: str = ""


@dataclass(frozen=True, slots=True)
class Stored:
    """An object as the store holds it; ``value`` is ``None`` once deleted."""

    name: str
    version: int
    value: object


@dataclass(frozen=True, slots=True)
class Page:
    """Objects or changes, and the store's revision at which they were read.

    More objects may follow the last one of a ``truncated`` page.
    """

    items: tuple
    revision: int
    truncated: bool = False


@dataclass(frozen=True, slots=True)
class Change:
    """An object as a change left it, or as it was before it was ``removed``."""

    stored: Stored
    removed: bool


@dataclass(frozen=True, slots=True)
class VmList:
    """The platform's list of VMs as plain data, and the tag of this version of it."""

    tag: str
    vms: tuple


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The list of VMs still has the tag that the call named."""


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect and gave the object this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write did not take effect; ``current`` is the object that exists, if any."""

    current: Stored | None


@dataclass(frozen=True, slots=True)
class NotWritten:
    """The write was abandoned and certainly did not take effect."""


@dataclass(frozen=True, slots=True)
class Unsettled:
    """The write was abandoned and may have taken effect, or do so a little later."""
