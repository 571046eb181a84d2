"""Rejects documents of the system's own that something else may have written."""

from contextlib import contextmanager

from pimentogap.errors import InvalidDocument
from pimentogap.schema._check import Problem

# Terms and serials grow by one; a larger number is none of ours, and would be newer
# than all that follow. Terms begin at a million times the store's era.
MAX_COUNT = 2**80


@contextmanager
def reject_malformed(expected):
    """Raise `InvalidDocument` in place of what reading a malformed document raises.

    :param expected: what the document should be, for the message.
    """
    try:
        yield
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise InvalidDocument([Problem("", None, repr(error)[:200], expected)])


def read_count(value):
    """Return ``value`` if it is an integer from 0 to `MAX_COUNT`.

    :raises ValueError: if it is none.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"expected an integer, got {type(value).__name__}")
    if not 0 <= value <= MAX_COUNT:
        raise ValueError("the count is out of range")
    return value
