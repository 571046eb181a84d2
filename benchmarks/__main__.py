"""Runs one benchmark: ``python -m benchmarks NAME --seed N``."""

import argparse
import importlib
import os
import sys

NAMES = ("path", "config", "groups", "serving", "actions", "capacity")
HASH_SEED = "0"


def main():
    """Run the benchmark named by the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks")
    parser.add_argument("name", choices=NAMES)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    module = importlib.import_module(f"benchmarks._{options.name}")
    module.run(options.seed)
    return 0


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        arguments = [sys.executable, "-m", "benchmarks", *sys.argv[1:]]
        os.execve(
            sys.executable, arguments, {**os.environ, "PYTHONHASHSEED": HASH_SEED}
        )
    sys.exit(main())
