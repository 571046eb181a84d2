"""Encodes what daemons tell each other of their requests as plain data."""

from pimentogap.errors import InvalidStatement
from pimentogap.occupancy._book import Counts, Others

# More requests than this at one backend server, or more backend servers, are a fault.
MAX_AT_WORK = 100_000
MAX_KEYS = 20_000
MAX_DAEMONS = 100_000
MAX_AGE_S = 60.0
FLOW_COUNTS = 2
SIGN_COUNTS = 4
HIDDEN_COUNTS = 2


def dump_counts(counts):
    """Return ``counts`` as plain data."""
    return {
        "at_work": counts.at_work_by_key,
        "flows": counts.flows_by_model,
        "signs": counts.signs_by_key,
        "hidden": counts.hidden_by_key,
        "daemons": counts.daemons,
    }


def load_counts(body):
    """Return the `Counts` in the plain data ``body``.

    :raises InvalidStatement: if it has none, or absurd ones.
    """
    if not isinstance(body, dict):
        raise InvalidStatement("the statement is not a dictionary")
    at_work = body.get("at_work")
    if not isinstance(at_work, dict) or len(at_work) > MAX_KEYS:
        raise InvalidStatement("the statement has no counts by backend server")
    if not all(_is_count(count, MAX_AT_WORK) for count in at_work.values()):
        raise InvalidStatement("a count is not a number of requests")
    flows = _load_tuples(body, "flows", FLOW_COUNTS)
    signs = _load_tuples(body, "signs", SIGN_COUNTS)
    hidden = _load_tuples(body, "hidden", HIDDEN_COUNTS, least=-MAX_AT_WORK)
    daemons = body.get("daemons")
    if not _is_count(daemons, MAX_DAEMONS):
        raise InvalidStatement(f"{daemons!r} is not a number of daemons")
    return Counts(at_work, flows, daemons, signs, hidden)


def dump_others(others):
    """Return ``others`` as plain data."""
    limits = {key: round(limit, 1) for key, limit in others.limits_by_key.items()}
    return dump_counts(others.counts) | {
        "age_s": round(others.age_s, 3),
        "limits": limits,
    }


def load_others(body):
    """Return the `Others` in the plain data ``body``.

    :raises InvalidStatement: if it has none, or absurd ones.
    """
    counts = load_counts(body)
    age_s = body.get("age_s")
    if not _is_number(age_s, MAX_AGE_S):
        raise InvalidStatement(f"{age_s!r} is not an age")
    limits = body.get("limits")
    if not isinstance(limits, dict) or len(limits) > MAX_KEYS:
        raise InvalidStatement("the answer has no limits by backend server")
    if not all(_is_number(limit, MAX_AT_WORK) for limit in limits.values()):
        raise InvalidStatement("a limit is not a number of requests")
    return Others(counts, age_s, limits)


def _load_tuples(body, field, size, *, least=0):
    """Return the tuples of ``size`` counts by key in a field of ``body``.

    :param least: the least count.
    :raises InvalidStatement: if there are none, or malformed ones.
    """
    tuples = body.get(field)
    if not isinstance(tuples, dict) or len(tuples) > MAX_KEYS:
        raise InvalidStatement(f"the statement has no {field}")
    if not all(_is_tuple(value, size, least) for value in tuples.values()):
        raise InvalidStatement(f"one of the {field} is not {size} counts")
    return tuples


def _is_tuple(value, size, least):
    return (
        isinstance(value, list | tuple)
        and len(value) == size
        and all(_is_count(count, MAX_AT_WORK, least) for count in value)
    )


def _is_number(value, most):
    return type(value) in (int, float) and 0 <= value <= most


def _is_count(value, most, least=0):
    return type(value) is int and least <= value <= most
