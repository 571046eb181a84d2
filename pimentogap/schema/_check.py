"""Checks a document against its shape and reports all problems together."""

import ipaddress
import re
from dataclasses import MISSING, dataclass, fields
from difflib import get_close_matches

from pimentogap.errors import InvalidDocument
from pimentogap.schema._shapes import (
    Address,
    Choice,
    Duration,
    Flag,
    Integer,
    Listing,
    Number,
    Record,
    Size,
    Text,
)

SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
BYTES_BY_UNIT = {"B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}
DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s|m|h)")
SIZE_PATTERN = re.compile(r"(\d+)(B|KiB|MiB|GiB)")
MAX_SHOWN_CHARACTERS = 60


@dataclass(frozen=True, slots=True)
class Problem:
    """A value of a document that does not have its declared shape.

    ``line`` is the line of the source document, or ``None`` if the document did
    not come from a file.
    """

    path: str
    line: int | None
    found: str
    expected: str

    def __str__(self):
        where = f"line {self.line}: " if self.line else ""
        return (
            f"{where}{self.path or 'document'}: {self.found}; expected {self.expected}"
        )


def check(cls, data, *, lines_by_path=None, path=""):
    """Return an instance of ``cls`` built from plain data.

    :param cls: a data class whose fields are declared with `shaped`.
    :param data: mappings, lists and scalars, as a YAML or JSON parser returns them.
    :param lines_by_path: source lines by path, for the reported problems.
    :param path: the path of ``data`` within its document.
    :raises InvalidDocument: with every `Problem` that was found.
    """
    checker = _Checker(lines_by_path or {})
    value = checker.check_value(Record(cls), data, path)
    if checker.problems:
        raise InvalidDocument(checker.problems)
    return value


class _Checker:
    __slots__ = ("problems", "_lines_by_path")

    def __init__(self, lines_by_path):
        self.problems = []
        self._lines_by_path = lines_by_path

    def _add_problem(self, path, found, expected):
        line = self._lines_by_path.get(path)
        self.problems.append(Problem(path, line, found, expected))

    def check_value(self, shape, data, path):
        match shape:
            case Text():
                return self._text(shape, data, path)
            case Integer(unit, minimum, maximum):
                return self._number(int, data, path, unit, minimum, maximum)
            case Number(unit, minimum, maximum):
                return self._number((int, float), data, path, unit, minimum, maximum)
            case Duration():
                return self._duration(shape, data, path)
            case Size(maximum_bytes):
                return self._size(maximum_bytes, data, path)
            case Flag():
                return self._check_type(bool, data, path, "true or false")
            case Choice(words):
                return self._choice(words, data, path)
            case Address():
                return self._address(data, path)
            case Listing():
                return self._listing(shape, data, path)
            case Record(cls):
                return self._record(cls, data, path)

    def _check_type(self, types, data, path, expected):
        if isinstance(data, types) and (types is bool or not isinstance(data, bool)):
            return data
        self._add_problem(path, f"found {_shorten(data)}", expected)
        return None

    def _text(self, shape, data, path):
        text = self._check_type(str, data, path, shape.expected)
        if text is None:
            return None
        if len(text) > shape.max_length or not re.fullmatch(shape.pattern, text):
            self._add_problem(path, f"found {_shorten(data)}", shape.expected)
        return text

    def _number(self, types, data, path, unit, minimum, maximum):
        expected = f"a number of {unit} from {minimum:g} to {maximum:g}"
        number = self._check_type(types, data, path, expected)
        if number is not None and not minimum <= number <= maximum:
            self._add_problem(path, f"found {number}", expected)
        return number

    def _duration(self, shape, data, path):
        parsed = DURATION_PATTERN.fullmatch(data) if isinstance(data, str) else None
        if parsed is None:
            expected = "a duration with its unit, such as 250ms, 2s, 5m or 24h"
            self._add_problem(path, f"found {_shorten(data)}", expected)
            return None
        seconds = float(parsed[1]) * SECONDS_BY_UNIT[parsed[2]]
        if not shape.minimum_s <= seconds <= shape.maximum_s:
            expected = f"from {shape.minimum_s:g}s to {shape.maximum_s:g}s"
            self._add_problem(path, f"found {data}", expected)
        return seconds

    def _size(self, maximum_bytes, data, path):
        parsed = SIZE_PATTERN.fullmatch(data) if isinstance(data, str) else None
        if parsed is None:
            expected = "a size with its unit, such as 64KiB or 1MiB"
            self._add_problem(path, f"found {_shorten(data)}", expected)
            return None
        size = int(parsed[1]) * BYTES_BY_UNIT[parsed[2]]
        if size > maximum_bytes:
            self._add_problem(path, f"found {data}", f"at most {maximum_bytes} B")
        return size

    def _choice(self, words, data, path):
        if data not in words:
            self._add_problem(
                path, f"found {_shorten(data)}", "one of " + ", ".join(words)
            )
        return data

    def _address(self, data, path):
        expected = "an IP number and a port, such as 10.0.0.4:8080"
        text = self._check_type(str, data, path, expected)
        if text is None:
            return None
        host, _, port = text.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            valid = 0 < int(port) < 65536
        except ValueError:
            valid = False
        if not valid:
            self._add_problem(path, f"found {_shorten(data)}", expected)
        return text

    def _listing(self, shape, data, path):
        items = self._check_type(list, data, path, "a list")
        if items is None:
            return ()
        if len(items) > shape.max_length:
            self._add_problem(
                path, f"{len(items)} items", f"at most {shape.max_length}"
            )
            return ()
        return tuple(
            self.check_value(shape.item, item, f"{path}[{index}]")
            for index, item in enumerate(items)
        )

    def _record(self, cls, data, path):
        if not isinstance(data, dict):
            self._add_problem(path, f"found {_shorten(data)}", "a mapping")
            return None
        fields_by_name = {
            item.name: item for item in fields(cls) if "shape" in item.metadata
        }
        prefix = f"{path}." if path else ""
        for key in data:
            if key not in fields_by_name:
                similar = get_close_matches(str(key), fields_by_name, n=1)
                hint = (
                    f"{similar[0]!r}"
                    if similar
                    else "one of " + ", ".join(fields_by_name)
                )
                self._add_problem(f"{prefix}{key}", "unknown key", hint)
        values = {}
        for name, item in fields_by_name.items():
            shape = item.metadata["shape"]
            if name in data:
                values[name] = self.check_value(shape, data[name], f"{prefix}{name}")
            elif item.default is MISSING:
                self._add_problem(f"{prefix}{name}", "missing", describe(shape))
        return None if self.problems else cls(**values)


def describe(shape):
    """Return a description of a value of ``shape`` for an error message."""
    match shape:
        case Text(_, expected):
            return expected
        case Integer(unit) | Number(unit):
            return f"a number of {unit}"
        case Duration():
            return "a duration with its unit, such as 2s"
        case Size():
            return "a size with its unit, such as 1MiB"
        case Flag():
            return "true or false"
        case Choice(words):
            return "one of " + ", ".join(words)
        case Address():
            return "an IP number and a port, such as 10.0.0.4:8080"
        case Listing(item):
            return f"a list, each item {describe(item)}"
        case Record(cls):
            return f"a mapping with the fields of {cls.__name__}"


def _shorten(data):
    text = repr(data)
    if len(text) > MAX_SHOWN_CHARACTERS:
        return text[:MAX_SHOWN_CHARACTERS] + "…"
    return text
