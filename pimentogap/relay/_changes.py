"""A daemon's copy of a store collection, with its most recent changes."""

from collections import deque
from dataclasses import dataclass

from pimentogap.relay._freshness import KnownAt
from pimentogap.store import Change, Revision, Stored

MAX_CHANGES = 1000
# For how long the store has answered, when the answer with the changes was given.
CONTACT_FIELD = "regained_s"


@dataclass(frozen=True, slots=True)
class CollectionUpdate:
    """The result of one read of a collection.

    It holds all ``objects`` if ``is_snapshot``, else the ``changes`` since the
    previous read. ``store_contact_s`` is the time in seconds for which the store is
    known to have answered without a gap; if that is short, ``outage_confirmed`` says
    whether other daemons lost it too. ``known`` is the `KnownAt` of a copy to which
    the update was applied.
    """

    is_snapshot: bool
    changes: tuple
    objects: tuple
    revision: int
    store_contact_s: float
    known: KnownAt
    outage_confirmed: bool = False

    @property
    def has_news(self):
        """Return whether it may change the copy to which it is applied."""
        return self.is_snapshot or bool(self.changes)


class ChangeLog:
    """The current objects of a collection and its last `MAX_CHANGES` changes."""

    __slots__ = ("revision", "_stored_by_name", "_changes", "_complete_since")

    def __init__(self):
        self.revision = Revision(0)
        self._stored_by_name = {}
        self._changes = deque(maxlen=MAX_CHANGES)
        self._complete_since = 0

    def apply(self, update):
        """Apply the `CollectionUpdate` ``update``."""
        if update.is_snapshot:
            self._replace(update)
        for change in update.changes:
            self._record(change, update.revision)
        self.revision = update.revision

    def after(self, revision):
        """Return the changes after ``revision``; ``None`` if some are not kept."""
        if revision is None or revision < self._complete_since:
            return None
        return tuple(change for at, change in self._changes if at > revision)

    def objects(self):
        """Return every current `Stored` object."""
        return tuple(self._stored_by_name.values())

    def removes(self, update):
        """Return whether ``update`` removes an object that is known here."""
        if any(change.removed for change in update.changes):
            return True
        if not update.is_snapshot:
            return False
        listed = {stored.name for stored in update.objects}
        return not listed.issuperset(self._stored_by_name)

    def _replace(self, update):
        if self.revision == 0:
            self._complete_since = update.revision
        objects_by_name = {stored.name: stored for stored in update.objects}
        for name, stored in list(self._stored_by_name.items()):
            if name not in objects_by_name:
                self._record(Change(stored, True), update.revision)
        for name, stored in objects_by_name.items():
            known = self._stored_by_name.get(name)
            if known is None or known.version != stored.version:
                self._record(Change(stored, False), update.revision)

    def _record(self, change, revision):
        if len(self._changes) == MAX_CHANGES:
            self._complete_since = self._changes[0][0]
        self._changes.append((revision, change))
        if change.removed:
            self._stored_by_name.pop(change.stored.name, None)
        else:
            self._stored_by_name[change.stored.name] = change.stored


def dump(update):
    """Return what all who are sent ``update`` share, as plain data for JSON."""
    return {
        "whole": update.is_snapshot,
        "changes": [
            [c.stored.name, c.stored.version, c.stored.value, c.removed]
            for c in update.changes
        ],
        "objects": [[s.name, s.version, s.value] for s in update.objects],
        "revision": update.revision,
    }


def load(data, known):
    """Return the `CollectionUpdate` that `dump` turned into ``data``.

    ``data`` has `CONTACT_FIELD` besides.

    :param known: its `KnownAt`, which depends on who asked when.
    :raises KeyError, TypeError, ValueError: if ``data`` is malformed.
    """
    return CollectionUpdate(
        bool(data["whole"]),
        tuple(Change(_stored(n, v, value), r) for n, v, value, r in data["changes"]),
        tuple(_stored(n, v, value) for n, v, value in data["objects"]),
        Revision.read(data["revision"]),
        float(data[CONTACT_FIELD]),
        known,
    )


def _stored(name, version, value):
    return Stored(name, Revision.read(version), value)
