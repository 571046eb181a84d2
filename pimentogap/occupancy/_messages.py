"""Encodes what daemons tell each other of their requests as plain data."""

from pimentogap.errors import InvalidStatement
from pimentogap.occupancy._book import Counts, Others

# More requests than this at one backend server, or more backend servers, are a fault.
MAX_AT_WORK = 100_000
MAX_KEYS = 20_000
MAX_DAEMONS = 100_000
MAX_AGE_S = 60.0


def dump_counts(counts):
    """Return ``counts`` as plain data."""
    return {
        "at_work": counts.at_work_by_key,
        "flows": counts.flows_by_model,
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
    flows = body.get("flows")
    if not isinstance(flows, dict) or len(flows) > MAX_KEYS:
        raise InvalidStatement("the statement has no flows by model")
    if not all(_is_flow(flow) for flow in flows.values()):
        raise InvalidStatement("a flow is not a pair of counts")
    daemons = body.get("daemons")
    if not _is_count(daemons, MAX_DAEMONS):
        raise InvalidStatement(f"{daemons!r} is not a number of daemons")
    return Counts(at_work, flows, daemons)


def dump_others(others):
    """Return ``others`` as plain data."""
    return dump_counts(others.counts) | {"age_s": round(others.age_s, 3)}


def load_others(body):
    """Return the `Others` in the plain data ``body``.

    :raises InvalidStatement: if it has none, or absurd ones.
    """
    counts = load_counts(body)
    age_s = body.get("age_s")
    if not isinstance(age_s, int | float) or not 0 <= age_s <= MAX_AGE_S:
        raise InvalidStatement(f"{age_s!r} is not an age")
    return Others(counts, age_s)


def _is_flow(value):
    return (
        isinstance(value, list | tuple)
        and len(value) == 2
        and all(_is_count(count, MAX_AT_WORK) for count in value)
    )


def _is_count(value, most):
    return type(value) is int and 0 <= value <= most
