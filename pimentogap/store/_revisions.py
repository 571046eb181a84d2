"""Revisions of a store that may come back from an older copy."""

# Far more than the changes of one era.
REVISIONS_PER_ERA = 10**12


class Revision(int):
    """A revision of the store, newer than every revision of an earlier era.

    The store counts its changes from the copy's count on when it comes back from an
    older copy, and so gives revisions out again; the era tells them apart. As an
    integer it is the era times `REVISIONS_PER_ERA` and the count. 0 stands for none.
    """

    __slots__ = ()

    @classmethod
    def of(cls, era, number):
        """Return the revision that the store calls ``number`` in ``era``."""
        return cls(era * REVISIONS_PER_ERA + number)

    @property
    def era(self):
        """Return how often the store had come back when it gave this revision out."""
        return self // REVISIONS_PER_ERA

    @property
    def number(self):
        """Return the revision as the store itself counts it."""
        return self % REVISIONS_PER_ERA
