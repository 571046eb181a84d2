"""Encodes limits for other daemons and for the store."""

from dataclasses import dataclass, field

from pimentogap.permits._known import MAX_LIMITS, MAX_RATE_PER_S, BackendLimit
from pimentogap.schema import read_count, reject_malformed


@dataclass(frozen=True, slots=True)
class LimitList:
    """The `BackendLimit` of each backend server that names one, by its id.

    ``serial`` counts the changes of the list by the leader of ``term``.
    """

    term: int = 0
    serial: int = 0
    limits_by_id: dict = field(default_factory=dict)

    @property
    def order(self):
        """Return what a newer list exceeds."""
        return self.term, self.serial


def encode_limits(limits_by_id):
    """Return limits by backend server as plain data."""
    return {
        id_: [limit.incarnation, limit.per_s] for id_, limit in limits_by_id.items()
    }


def decode_limits(data):
    """Return the limits that `encode_limits` turned into ``data``.

    :raises InvalidDocument: if it is malformed.
    """
    with reject_malformed("limits by backend server"):
        return _limits(data)


def encode_list(limits):
    """Return a `LimitList` as plain data."""
    return {
        "term": limits.term,
        "serial": limits.serial,
        "limits": encode_limits(limits.limits_by_id),
    }


def decode_list(data):
    """Return the `LimitList` that `encode_list` turned into ``data``.

    :raises InvalidDocument: if it is malformed.
    """
    with reject_malformed("a list of limits"):
        return LimitList(
            read_count(data["term"]),
            read_count(data["serial"]),
            _limits(data["limits"]),
        )


def _limits(data):
    limits_by_id = {}
    for id_, (incarnation, per_s) in list(data.items())[:MAX_LIMITS]:
        rate = None if per_s is None else float(per_s)
        if rate is not None and not 0 < rate <= MAX_RATE_PER_S:
            raise ValueError(f"the limit of {id_} must be above 0, got {per_s!r}")
        limits_by_id[str(id_)] = BackendLimit(int(incarnation), rate)
    return limits_by_id
