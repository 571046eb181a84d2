"""Runs one suite, or all of them: ``python -m fuzz NAME --seed N --examples N``."""

import argparse
import os
import sys

HASH_SEED = "0"


def main():
    """Run the suites named by the command line and return the exit code."""
    from fuzz import SUITES_BY_NAME
    from fuzz._driver import run_suite
    from fuzz._regressions import REGRESSIONS_BY_SUITE

    parser = argparse.ArgumentParser(prog="python -m fuzz")
    parser.add_argument("name", choices=[*SUITES_BY_NAME, "all"])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--examples", type=int, default=100)
    parser.add_argument("--shrink", action="store_true")
    options = parser.parse_args()
    names = SUITES_BY_NAME if options.name == "all" else [options.name]
    passed = [
        run_suite(
            SUITES_BY_NAME[name],
            seed=options.seed,
            examples=options.examples,
            shrink=options.shrink,
            regressions=REGRESSIONS_BY_SUITE.get(name, ()),
        )
        for name in names
    ]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        # With a fixed hash seed, sets of strings have the same order in every run.
        arguments = [sys.executable, "-m", "fuzz", *sys.argv[1:]]
        os.execve(
            sys.executable, arguments, {**os.environ, "PYTHONHASHSEED": HASH_SEED}
        )
    sys.exit(main())
