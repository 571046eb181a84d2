"""The availability zones that are evacuated, as one daemon knows them."""

from pimentogap.store import Revision


class EvacuatedZones:
    """The zones that the store lists, and those that a copy of it has lost.

    A store that went back may lack an evacuation that the operator has asked for, or
    list one that was taken back. Both count until `end_doubt`.
    """

    __slots__ = ("_listed", "_doubted", "_revision")

    def __init__(self):
        self._listed = frozenset()
        self._doubted = frozenset()
        self._revision = None

    @property
    def all(self):
        """Return the names of the zones that get nothing."""
        return self._listed | self._doubted

    def apply(self, update):
        """Apply a `CollectionUpdate`; return the zones that are in doubt since."""
        before = self._listed
        listed = set() if update.is_snapshot else set(before)
        listed.update(stored.name for stored in update.objects)
        for change in update.changes:
            name = change.stored.name
            self._doubted -= {name}
            if change.removed:
                listed.discard(name)
            else:
                listed.add(name)
        self._listed = frozenset(listed)
        lost = frozenset()
        if self._went_back(update):
            lost = before - self._listed
            self._doubted |= lost
        self._revision = update.revision
        return lost

    def end_doubt(self, zones):
        """Believe the store on ``zones``."""
        self._doubted -= zones

    def _went_back(self, update):
        return (
            self._revision is not None
            and Revision(self._revision).era < Revision(update.revision).era
        )
