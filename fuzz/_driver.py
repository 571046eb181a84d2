"""Runs a suite from a seed and prints the command that repeats a failure."""

import gc
import sys
import traceback

import logbook
from hypothesis import (
    HealthCheck,
    Phase,
    example,
    given,
    seed as with_seed,
    settings,
    strategies as st,
)

from standins.paused import run_paused

PHASES = (Phase.explicit, Phase.generate)
SHRINK_PHASES = (Phase.shrink,)
MIN_STEPS = 20
MAX_STEPS = 40


def weighted_histories(weighted_strategies):
    """Return a strategy of histories whose steps are drawn with given weights.

    :param weighted_strategies: pairs of a strategy of steps and its integer weight.
    """
    repeated = [
        strategy for strategy, weight in weighted_strategies for _ in range(weight)
    ]
    step = st.sampled_from(repeated).flatmap(lambda strategy: strategy)
    return st.lists(step, min_size=MIN_STEPS, max_size=MAX_STEPS)


class Suite:
    """A named strategy of histories with the check that is run on each of them.

    :param histories: a strategy that draws one history, a list of steps.
    :param check: a coroutine function that runs one history and raises if the
        system broke a guarantee.
    """

    __slots__ = ("name", "histories", "check")

    def __init__(self, name, histories, check):
        self.name = name
        self.histories = histories
        self.check = check


def run_suite(suite, *, seed, examples, shrink=False, regressions=()):
    """Run random histories on the paused clock; return whether all of them passed.

    :param seed: the seed that the histories are drawn from.
    :param examples: the number of random histories.
    :param shrink: search for a shorter history after a failure, which takes long.
    :param regressions: recorded histories, which are run before the random ones.
    """
    histories_run = 0

    @with_seed(seed)
    @settings(
        max_examples=examples,
        database=None,
        deadline=None,
        phases=PHASES + (SHRINK_PHASES if shrink else ()),
        suppress_health_check=list(HealthCheck),
    )
    @given(suite.histories)
    def check_history(history):
        nonlocal histories_run
        histories_run += 1
        with logbook.NullHandler().applicationbound():
            run_paused(suite.check(history))
        if histories_run % 50 == 0:
            gc.collect()

    for history in regressions:
        check_history = example(list(history))(check_history)
    try:
        check_history()
    except Exception:
        traceback.print_exc(limit=-4)
        command = f"python -m fuzz {suite.name} --seed {seed} --examples {examples}"
        print(
            f"FAILED after {histories_run} histories; repeat it by: {command}",
            file=sys.stderr,
        )
        return False
    print(f"fuzz {suite.name}: {histories_run} histories passed with seed {seed}")
    return True
