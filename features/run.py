"""Run all scenarios, the fuzz histories of one seed and a short soak; count them."""

import json
import os
import sys
import tempfile
from pathlib import Path

from behave.__main__ import main as behave_main

HASH_SEED = "0"
KNOWN_RED = Path("KNOWN-RED.txt")
HISTORIES_BY_SUITE = {"tickets": 40, "actions": 60, "groups": 20, "front": 30}
SEED = 1
SOAK_SEED, SOAK_SECONDS, SOAK_DAEMONS, SOAK_CALLERS = 1, 10.0, 3, 6
STUTTERING = {"share": 0.6, "faulty_share": 0.03}
STUTTERING_SEED, STUTTERING_SECONDS, STUTTERING_CALLERS = 3, 10.0, 20
STUTTERING_HABITS = {"repeat_share": 0.4, "leave_share": 0.05}


def run_scenarios():
    """Run the scenarios; return the names that passed and those that failed."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        arguments = ["features", "--no-capture", "--format", "json"]
        behave_main([*arguments, "--outfile", str(report), "--format", "progress"])
        features = json.loads(report.read_text(encoding="utf-8"))
    passed, failed = [], []
    for feature in features:
        for element in feature.get("elements", ()):
            if element["type"] == "background":
                continue
            name = f"{feature['name']}: {element['name']}"
            (passed if element["status"] == "passed" else failed).append(name)
    return passed, failed


def run_histories():
    """Run the fuzz histories of each suite; return which suites passed and failed."""
    from fuzz import SUITES_BY_NAME
    from fuzz._driver import run_suite
    from fuzz._regressions import REGRESSIONS_BY_SUITE

    passed, failed = [], []
    for name, examples in HISTORIES_BY_SUITE.items():
        has_passed = run_suite(
            SUITES_BY_NAME[name],
            seed=SEED,
            examples=examples,
            regressions=REGRESSIONS_BY_SUITE.get(name, ()),
        )
        (passed if has_passed else failed).append(f"fuzz {name}")
    return passed, failed


def run_soak():
    """Run a short soak of real processes; return which soaks passed and failed."""
    from soak import play_seed

    has_passed = play_seed(
        SOAK_SEED, seconds=SOAK_SECONDS, daemons=SOAK_DAEMONS, callers=SOAK_CALLERS
    )
    name = f"soak seed {SOAK_SEED}"
    return ([name], []) if has_passed else ([], [name])


def run_stuttering_soak():
    """Run a short soak whose replicas answer twice, as `run_soak`.

    It guards against answers of another request or of another send of the request.
    """
    from soak import Habits, play_seed

    has_passed = play_seed(
        STUTTERING_SEED,
        seconds=STUTTERING_SECONDS,
        daemons=SOAK_DAEMONS,
        callers=STUTTERING_CALLERS,
        stuttering=STUTTERING,
        habits=Habits(**STUTTERING_HABITS),
    )
    name = f"stuttering soak seed {STUTTERING_SEED}"
    return ([name], []) if has_passed else ([], [name])


def known_red():
    """Return the names of tests that are listed as failing because of an open issue."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line[6:].strip() for line in lines if line.startswith("test: ")}


def main():
    """Run everything, print the count and return the exit code."""
    passed, failed = run_scenarios()
    for run_tests in (run_histories, run_soak, run_stuttering_soak):
        more_passed, more_failed = run_tests()
        passed += more_passed
        failed += more_failed
    known_names = known_red()
    known_failures = [name for name in failed if name in known_names]
    new_failures = [name for name in failed if name not in known_names]
    for name in known_failures:
        print(f"known to fail: {name}")
    for name in new_failures:
        print(f"FAILED: {name}")
    skipped = f", {len(known_failures)} skipped" if known_failures else ""
    print(f"{len(passed)} passed, {len(new_failures)} failed{skipped}")
    return 1 if new_failures or not passed else 0


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        # With a fixed hash seed, sets of strings have the same order in every run.
        arguments = [sys.executable, "-m", "features.run", *sys.argv[1:]]
        os.execve(
            sys.executable, arguments, {**os.environ, "PYTHONHASHSEED": HASH_SEED}
        )
    sys.exit(main())
