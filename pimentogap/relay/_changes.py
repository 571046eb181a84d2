"""A collection of the store as one daemon has read it, with its last changes."""

from collections import deque
from dataclasses import dataclass

from pimentogap.store import Change, Stored

MAX_CHANGES = 1000
# Infinity is not JSON; an hour is as good.
MAX_REGAINED_S = 3600.0


@dataclass(frozen=True, slots=True)
class Followed:
    """What one read gave: all objects, if ``whole``, or the changes since the last.

    ``regained_s`` is how long ago the store came back, if it had been away.
    """

    whole: bool
    changes: tuple
    objects: tuple
    revision: int
    regained_s: float


class ChangeLog:
    """The objects of a collection, and the changes that led to them."""

    __slots__ = ("revision", "_stored_by_name", "_changes", "_covered_from")

    def __init__(self):
        self.revision = 0
        self._stored_by_name = {}
        self._changes = deque(maxlen=MAX_CHANGES)
        self._covered_from = 0

    def apply(self, followed):
        """Take what was read."""
        if followed.whole:
            self._replace(followed)
        for change in followed.changes:
            self._take(change, followed.revision)
        self.revision = followed.revision

    def after(self, revision):
        """Return the changes after ``revision``; ``None`` if not all are known."""
        if revision is None or revision < self._covered_from:
            return None
        return tuple(change for at, change in self._changes if at > revision)

    def objects(self):
        """Return every object."""
        return tuple(self._stored_by_name.values())

    def _replace(self, followed):
        if self.revision == 0:
            self._covered_from = followed.revision
        listed = {stored.name: stored for stored in followed.objects}
        for name, stored in list(self._stored_by_name.items()):
            if name not in listed:
                self._take(Change(stored, True), followed.revision)
        for name, stored in listed.items():
            known = self._stored_by_name.get(name)
            if known is None or known.version != stored.version:
                self._take(Change(stored, False), followed.revision)

    def _take(self, change, revision):
        if len(self._changes) == MAX_CHANGES:
            self._covered_from = self._changes[0][0]
        self._changes.append((revision, change))
        if change.removed:
            self._stored_by_name.pop(change.stored.name, None)
        else:
            self._stored_by_name[change.stored.name] = change.stored


def dump(followed):
    """Return ``followed`` as plain data."""
    return {
        "whole": followed.whole,
        "changes": [
            [c.stored.name, c.stored.version, c.stored.value, c.removed]
            for c in followed.changes
        ],
        "objects": [[s.name, s.version, s.value] for s in followed.objects],
        "revision": followed.revision,
        "regained_s": min(followed.regained_s, MAX_REGAINED_S),
    }


def load(data):
    """Return the `Followed` that ``data`` holds.

    :raises KeyError, TypeError, ValueError: if it holds none.
    """
    return Followed(
        bool(data["whole"]),
        tuple(Change(Stored(n, v, value), r) for n, v, value, r in data["changes"]),
        tuple(Stored(n, v, value) for n, v, value in data["objects"]),
        int(data["revision"]),
        float(data["regained_s"]),
    )
