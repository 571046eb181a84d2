"""Adds up what daemons state of their requests at backend servers."""

import operator
from dataclasses import dataclass, field

# A statement counts for so long; a daemon that has ended drops out after that.
STATEMENT_LIFETIME_S = 1.2


@dataclass(frozen=True, slots=True)
class Counts:
    """Requests at work by the key of the backend server, of ``daemons`` daemons.

    ``flows_by_model`` has, for each model, how many requests lately looked for a
    backend server and how many were sent, as a tuple; ``signs_by_key`` what the latest
    answers of each backend server show, as a tuple of counts. ``hidden_by_key`` has by
    how many requests lately reported loads exceeded what was stated, as a sum, and the
    number of reports.
    """

    at_work_by_key: dict = field(default_factory=dict)
    flows_by_model: dict = field(default_factory=dict)
    daemons: int = 0
    signs_by_key: dict = field(default_factory=dict)
    hidden_by_key: dict = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Others:
    """The `Counts` of other daemons, which are ``age_s`` seconds old on average.

    ``limits_by_key`` are the limits that a relay has found for backend servers.
    """

    counts: Counts
    age_s: float
    limits_by_key: dict = field(default_factory=dict)


class Statement:
    """The latest `Counts` from one source, and when they were stated."""

    __slots__ = ("counts", "stated_at")

    def __init__(self, counts, stated_at):
        self.counts = counts
        self.stated_at = stated_at


class OccupancyBook:
    """The latest statements of the daemons that tell this one, and of other relays.

    Times are in seconds of the runtime's clock.
    """

    __slots__ = ("_statements_by_daemon", "_statements_by_relay")

    def __init__(self):
        self._statements_by_daemon = {}
        self._statements_by_relay = {}

    def record_daemon(self, id_, counts, now):
        """Record the `Counts` that a daemon states of itself."""
        self._statements_by_daemon[id_] = Statement(counts, now)

    def record_relay(self, address, counts, now, *, age_s=0.0):
        """Record the sum of the `Counts` that were told to another relay."""
        self._statements_by_relay[address] = Statement(counts, now - age_s)

    def told(self, now, *, without=None):
        """Return the sum of what daemons told this one, and its age, as `Others`.

        :param without: the id of a daemon that is left out.
        """
        _forget_old(self._statements_by_daemon, now)
        statements = [
            statement
            for id_, statement in self._statements_by_daemon.items()
            if id_ != without
        ]
        return _summed(statements, now)

    def others(self, id_, now):
        """Return what all daemons but ``id_`` have at work, as `Others`."""
        _forget_old(self._statements_by_daemon, now)
        _forget_old(self._statements_by_relay, now)
        statements = [
            statement
            for daemon, statement in self._statements_by_daemon.items()
            if daemon != id_
        ]
        return _summed([*statements, *self._statements_by_relay.values()], now)


def _forget_old(statements_by_source, now):
    oldest = now - STATEMENT_LIFETIME_S
    for source in [
        source
        for source, statement in statements_by_source.items()
        if statement.stated_at < oldest
    ]:
        del statements_by_source[source]


def _summed(statements, now):
    at_work_by_key = {}
    flows_by_model = {}
    signs_by_key = {}
    hidden_by_key = {}
    daemons = 0
    ages_s = 0.0
    for statement in statements:
        counts = statement.counts
        daemons += counts.daemons
        ages_s += counts.daemons * (now - statement.stated_at)
        for key, count in counts.at_work_by_key.items():
            at_work_by_key[key] = at_work_by_key.get(key, 0) + count
        _add(flows_by_model, counts.flows_by_model)
        _add(signs_by_key, counts.signs_by_key)
        _add(hidden_by_key, counts.hidden_by_key)
    age_s = ages_s / daemons if daemons else 0.0
    counts = Counts(
        at_work_by_key, flows_by_model, daemons, signs_by_key, hidden_by_key
    )
    return Others(counts, age_s)


def _add(sums_by_key, tuples_by_key):
    for key, counts in tuples_by_key.items():
        sums = sums_by_key.get(key)
        if sums is None:
            sums_by_key[key] = tuple(counts)
        else:
            sums_by_key[key] = tuple(map(operator.add, sums, counts))
