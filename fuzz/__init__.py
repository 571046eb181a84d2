"""Stateful fuzzing: random histories with faults, checked against simple oracles."""

from fuzz import _actions, _front, _groups, _tickets

SUITES_BY_NAME = {
    suite.name: suite
    for suite in (_tickets.SUITE, _actions.SUITE, _groups.SUITE, _front.SUITE)
}

__all__ = ["SUITES_BY_NAME"]
