"""Revisions of a store that may come back from an older copy."""

# More than any count of 64 bits, wherever a store begins to count.
REVISIONS_PER_ERA = 2**80


class Revision(int):
    """A revision of the store, newer than every revision of an earlier era.

    The store counts its changes from the copy's count on when it comes back from an
    older copy, and so gives revisions out again; the era tells them apart. As an
    integer it is the era times `REVISIONS_PER_ERA` and the count. 0 stands for none.
    """

    __slots__ = ()

    @classmethod
    def of(cls, era, number):
        """Return the revision that the store calls ``number`` in ``era``.

        :raises ValueError: if ``number`` is no whole number from 0 to
            `REVISIONS_PER_ERA`.
        """
        if isinstance(number, bool) or not isinstance(number, int | float):
            raise ValueError(f"revision {number!r} is not a number")
        if not 0 <= number < REVISIONS_PER_ERA or number != int(number):
            raise ValueError(f"revision {number!r} is out of range")
        return cls(era * REVISIONS_PER_ERA + int(number))

    @classmethod
    def read(cls, value):
        """Return the revision that another daemon has sent as ``value``.

        :raises ValueError: if it is none.
        """
        if isinstance(value, bool) or not isinstance(value, int) or value < 0:
            raise ValueError(f"{value!r} is no revision")
        return cls(value)

    @property
    def era(self):
        """Return how often the store had come back when it gave this revision out."""
        return self // REVISIONS_PER_ERA

    @property
    def number(self):
        """Return the revision as the store itself counts it."""
        return self % REVISIONS_PER_ERA
