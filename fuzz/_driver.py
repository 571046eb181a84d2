"""Runs a suite of histories with a seed, and says how to repeat a failure."""

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
SHRINK = (Phase.shrink,)
MIN_STEPS = 20
MAX_STEPS = 40


def mixed(shares_by_strategy):
    """Return a strategy of whole histories, each step drawn by its share.

    :param shares_by_strategy: pairs of a strategy and a whole number.
    """
    drawn = [strategy for strategy, share in shares_by_strategy for _ in range(share)]
    step = st.sampled_from(drawn).flatmap(lambda strategy: strategy)
    return st.lists(step, min_size=MIN_STEPS, max_size=MAX_STEPS)


class Suite:
    """A name, a strategy of histories, and the check of one history."""

    __slots__ = ("name", "histories", "check")

    def __init__(self, name, histories, check):
        self.name = name
        self.histories = histories
        self.check = check


def run_suite(suite, *, seed, examples, shrink=False, kept=()):
    """Run ``examples`` histories; return whether all of them passed.

    :param kept: histories that are run first.
    :param shrink: look for a shorter history after a failure, which takes long.
    """
    ran = 0

    @with_seed(seed)
    @settings(
        max_examples=examples,
        database=None,
        deadline=None,
        phases=PHASES + (SHRINK if shrink else ()),
        suppress_health_check=list(HealthCheck),
    )
    @given(suite.histories)
    def check_history(history):
        nonlocal ran
        ran += 1
        with logbook.NullHandler().applicationbound():
            run_paused(suite.check(history))
        if ran % 50 == 0:
            gc.collect()

    for history in kept:
        check_history = example(list(history))(check_history)
    try:
        check_history()
    except Exception:
        traceback.print_exc(limit=-4)
        command = f"python -m fuzz {suite.name} --seed {seed} --examples {examples}"
        print(f"FAILED after {ran} histories; repeat it by: {command}", file=sys.stderr)
        return False
    print(f"fuzz {suite.name}: {ran} histories passed with seed {seed}")
    return True
