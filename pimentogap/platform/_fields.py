"""Reads the fields of a document and collects all of its problems."""

import math
from dataclasses import dataclass

from logbook import Logger

from pimentogap.schema import Problem

log = Logger("platform.fields")

# Larger quantities are taken for this, so that sums and products stay finite. Numbers
# that are compared with others, such as versions, are never changed.
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

    def exact_number(self, key, default=None):
        """Return a number as it stands, ``default`` for one that is missing or null."""
        value = self.item.get(key)
        if value is None and default is not None:
            return default
        if not _is_number(value):
            self._add_problem(key, value, "a number")
            return default or 0
        return value

    def number(self, key, default=None):
        """Return a number between plus and minus `MAX_FIGURE`.

        :param default: returned in place of a number that is missing or null.
        """
        return max(-MAX_FIGURE, min(self.exact_number(key, default), MAX_FIGURE))

    def number_above_0(self, key, default):
        """Return a number up to `MAX_FIGURE`, ``default`` if there is none above 0."""
        value = self.number(key, 0)
        return value if value > 0 else default

    def figure(self, key):
        """Return a number from 0 to `MAX_FIGURE`, 0 if it is missing or of no use.

        A figure that cannot be used switches off what depends on it and is logged; it
        does not make the whole document unreadable.
        """
        value = self.item.get(key)
        if value is None:
            return 0.0
        if _is_number(value) and value >= 0:
            return float(min(value, MAX_FIGURE))
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
    return isinstance(value, int) or math.isfinite(value)


def _shorten(value):
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "…"
