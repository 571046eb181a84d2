"""The fixed set of shapes that a value of a document can be declared to have."""

from dataclasses import MISSING, dataclass, field

NAME_PATTERN = r"[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?"


@dataclass(frozen=True, slots=True)
class Text:
    """A string of at most ``max_length`` characters that fully matches ``pattern``.

    ``expected`` describes such a string in reports of problems.
    """

    pattern: str = r"(?s).*"
    expected: str = "text"
    max_length: int = 4096


@dataclass(frozen=True, slots=True)
class Integer:
    """An integer in ``unit``, from ``minimum`` to ``maximum``."""

    unit: str
    minimum: int = 0
    maximum: int = 2**53


@dataclass(frozen=True, slots=True)
class Number:
    """A number in ``unit``, from ``minimum`` to ``maximum``."""

    unit: str
    minimum: float = 0.0
    maximum: float = 1e15


@dataclass(frozen=True, slots=True)
class Duration:
    """A length of time with its unit (``250ms``, ``2s``, ``5m``, ``24h``)."""

    minimum_s: float = 0.0
    maximum_s: float = 366 * 86400.0


@dataclass(frozen=True, slots=True)
class Size:
    """A number of bytes with its unit (``512KiB``, ``1MiB``)."""

    maximum_bytes: int = 2**40


@dataclass(frozen=True, slots=True)
class Flag:
    """A boolean."""


@dataclass(frozen=True, slots=True)
class Choice:
    """One of the strings ``words``."""

    words: tuple


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port, such as ``10.0.0.4:8080`` or ``[::1]:8080``."""


@dataclass(frozen=True, slots=True)
class Listing:
    """A list whose items all have the shape ``item``."""

    item: object
    max_length: int = 10000


@dataclass(frozen=True, slots=True)
class Record:
    """A mapping with the fields of the data class ``cls``."""

    cls: type


def name_shape(expected="a name of lower-case letters, digits, '.', '_' and '-'"):
    """Return the shape of a name of at most 63 characters.

    :param expected: describes the name in reports of problems.
    """
    return Text(NAME_PATTERN, expected, 63)


def shaped(shape, *, default=MISSING):
    """Declare a data class field whose document value has ``shape``.

    :param default: the field's value if the document omits it; a field without
        a default is required.
    """
    return field(default=default, metadata={"shape": shape})
