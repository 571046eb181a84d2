"""The limits on requests that backend servers have named, as one daemon knows them."""

from dataclasses import dataclass

from pimentogap.types import NamedLimit, NoLimit, UnreadableLimit

# Backend servers whose limits are remembered; the directory lists fewer.
MAX_LIMITS = 4096
# A limit that differs by less than this share from the one known is the same one.
TOLERANCE = 0.05
# A backend server that takes nothing gets this many requests a second, since only an
# answer shows that its limit has ended.
MIN_RATE_PER_S = 0.25
# A larger limit is none: no backend server gets so many requests.
MAX_RATE_PER_S = 10_000.0


@dataclass(frozen=True, slots=True)
class BackendLimit:
    """A backend server of this ``incarnation`` takes ``per_s`` requests a second.

    ``per_s`` is ``None`` if it names no limit.
    """

    incarnation: int
    per_s: float | None

    def is_like(self, other):
        """Return whether ``other``, a `BackendLimit` or ``None``, says the same."""
        if other is None:
            return self.per_s is None
        if other.incarnation != self.incarnation:
            return False
        if self.per_s is None or other.per_s is None:
            return self.per_s is other.per_s
        return abs(self.per_s - other.per_s) <= TOLERANCE * other.per_s


def read_limit(backend, limit):
    """Return the `BackendLimit` of an answer; ``None`` if it cannot be read.

    :param limit: the answer's `NoLimit`, `NamedLimit` or `UnreadableLimit`.
    """
    match limit:
        case NamedLimit(per_s) if per_s <= MAX_RATE_PER_S:
            return BackendLimit(backend.incarnation, max(MIN_RATE_PER_S, per_s))
        case NamedLimit() | NoLimit():
            return BackendLimit(backend.incarnation, None)
        case UnreadableLimit():
            return None


class KnownLimits:
    """The limits in force for this daemon, by the backend server's id."""

    __slots__ = ("_limits_by_id",)

    def __init__(self):
        self._limits_by_id = {}

    def __len__(self):
        return len(self._limits_by_id)

    def per_s(self, backend):
        """Return the limit of ``backend`` in requests a second, or ``None``."""
        limit = self._limits_by_id.get(backend.id)
        if limit is None or limit.incarnation != backend.incarnation:
            return None
        return limit.per_s

    def put(self, backend_id, limit):
        """Replace what is known of a backend server; return whether that changes it.

        :param limit: a `BackendLimit`, or ``None`` if there is none.
        """
        known = self._limits_by_id.pop(backend_id, None)
        if limit is not None and limit.per_s is not None:
            if len(self._limits_by_id) >= MAX_LIMITS:
                del self._limits_by_id[next(iter(self._limits_by_id))]
            self._limits_by_id[backend_id] = limit
        if limit is None:
            return known is not None
        return not limit.is_like(known)

    def forget(self, is_listed):
        """Forget the backend servers for whose id ``is_listed`` returns ``False``."""
        for id_ in [id_ for id_ in self._limits_by_id if not is_listed(id_)]:
            del self._limits_by_id[id_]
