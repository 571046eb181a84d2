"""Reads the fields of a document and collects all of its problems."""

import math
from dataclasses import dataclass

from logbook import Logger

from pimentogap.schema import Problem

log = Logger("platform.fields")

# No figure of an engine, rate or rank is larger than this.
MAX_FIGURE = 1e12
MAX_SHOWN_CHARS = 60


@dataclass(frozen=True, slots=True)
class Fields:
    """An object of a document, at ``path`` in it.

    Each method returns a field's value. A field that cannot be read is added to
    ``problems``, and the method returns a value of the right type in its place, so that
    the other fields are read as well.
    """

    path: str
    item: dict
    problems: list

    def text(self, key, default=None):
        """Return a string; a missing one is a problem if there is no ``default``."""
        value = self.item.get(key)
        if isinstance(value, str):
            return value
        if value is not None or default is None:
            self._add_problem(key, value, "a string")
        return default or ""

    def number(self, key, default=None, *, above=None):
        """Return a number, ``default`` for one that is missing or null.

        :param above: the number has to be above this.
        """
        value = self.item.get(key)
        if value is None and default is not None:
            return default
        if not _is_number(value) or (above is not None and not value > above):
            expected = "a number" if above is None else f"a number above {above:g}"
            self._add_problem(key, value, expected)
            return default or 0
        return value

    def figure(self, key):
        """Return a number from 0 to `MAX_FIGURE`, 0 if it is missing or of no use.

        A figure that cannot be used switches off what depends on it and is logged; it
        does not make the whole document unreadable.
        """
        value = self.item.get(key)
        if value is None:
            return 0.0
        if _is_number(value) and 0 <= value <= MAX_FIGURE:
            return float(value)
        log.warning(
            "figure not usable", field=f"{self.path}.{key}", value=_shorten(value)
        )
        return 0.0

    def flag(self, key, default=False):
        """Return a boolean, ``default`` if it is missing or null."""
        value = self.item.get(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            self._add_problem(key, value, "true or false")
        return value is True

    def one_of(self, key, values_by_name, default):
        """Return the value of ``values_by_name`` under a string."""
        name = self.item.get(key)
        if name is None:
            return default
        if not isinstance(name, str) or name not in values_by_name:
            self._add_problem(key, name, "one of " + ", ".join(values_by_name))
            return default
        return values_by_name[name]

    def child(self, key):
        """Return the `Fields` of the object under ``key``, ``None`` without one."""
        value = self.item.get(key)
        if not value and (value is None or isinstance(value, dict)):
            return None
        if not isinstance(value, dict):
            self._add_problem(key, value, "an object")
            return None
        return Fields(self._path(key), value, self.problems)

    def children(self, key, *, is_required=False):
        """Return the `Fields` of each object of the list under ``key``."""
        value = self.item.get(key)
        if value is None and not is_required:
            return []
        if not isinstance(value, list):
            self._add_problem(key, value, "a list of objects")
            return []
        children = []
        for index, item in enumerate(value):
            if isinstance(item, dict):
                path = f"{self._path(key)}[{index}]"
                children.append(Fields(path, item, self.problems))
            else:
                self._add_problem(f"{key}[{index}]", item, "an object")
        return children

    def texts(self, key):
        """Return the strings of the list under ``key``."""
        value = self.item.get(key)
        if value is None:
            return []
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            self._add_problem(key, value, "a list of strings")
            return []
        return value

    def _path(self, key):
        return f"{self.path}.{key}" if self.path else key

    def _add_problem(self, key, value, expected):
        found = "missing" if value is None else f"found {_shorten(value)}"
        self.problems.append(Problem(self._path(key), None, found, expected))


def _is_number(value):
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return (
        isinstance(value, int)
        and abs(value) <= MAX_FIGURE
        or (isinstance(value, float) and math.isfinite(value))
    )


def _shorten(value):
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "…"
