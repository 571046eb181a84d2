"""The soak's command line."""

import argparse
import sys
from pathlib import Path

from soak._callers import Habits
from soak._daemons import ROOT
from soak._play import FIRST_PORT, play_seed
from soak._regression_seeds import CAUSES_BY_SEED
from standins._stutter import COPY_NAMES

SHARES = {
    "stutter": "share of the replicas' answers that come twice",
    "faulty": "share of their answers that break off, are spoiled or have no length",
    "repeat": "share of the callers' requests that are sent again with the same id",
    "leave": "share of the callers' requests that are given up early",
}
EPILOG = """\
examples:
  python -m soak --seeds 50                 the kept seeds, then seeds 1 to 50
  python -m soak --seed 7 --keep run/soak   one seed; logs of daemons in that folder
  python -m soak --stutter 0.3 --repeat 0.2 --leave 0.1
                                            replicas that answer some requests twice

exit codes:
  0  no check failed
  1  a check failed; each problem is printed with its seed
"""


def main(arguments=None):
    """Run the soak of each seed and return the exit code."""
    options = _parser().parse_args(arguments)
    first = options.seed
    seeds = [first] if options.seeds is None else range(first, first + options.seeds)
    kept = () if options.seeds is None else CAUSES_BY_SEED
    failed = [seed for seed in (*kept, *seeds) if not _play(seed, options)]
    print(f"{len(kept) + len(seeds) - len(failed)} seeds passed, {len(failed)} failed")
    for seed in failed:
        print(f"failed: python -m soak --seed {seed} --seconds {options.seconds:g}")
    return 1 if failed else 0


def _play(seed, options):
    return play_seed(
        seed,
        seconds=options.seconds,
        daemons=options.daemons,
        callers=options.callers,
        first_port=options.first_port,
        keep=options.keep,
        stuttering=_stuttering(options),
        habits=Habits(options.repeat, options.leave),
        code=options.code,
    )


def _stuttering(options):
    if not options.stutter and not options.faulty:
        return None
    return {
        "share": options.stutter,
        "faulty_share": options.faulty,
        "copy_names": options.copy or COPY_NAMES,
    }


def _parser():
    parser = argparse.ArgumentParser(
        prog="python -m soak",
        description="Run daemons as processes under random faults, and check them.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument(
        "--seeds", type=int, help="run kept seeds, then this many; default: one seed"
    )
    parser.add_argument("--seconds", type=float, default=25.0, help="time with faults")
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--callers", type=int, default=10)
    parser.add_argument("--first-port", type=int, default=FIRST_PORT)
    parser.add_argument("--keep", metavar="FOLDER", help="keep the daemons' logs there")
    parser.add_argument(
        "--code",
        type=_checkout,
        default=ROOT,
        metavar="FOLDER",
        help="run the daemons of another checkout",
    )
    for name, meaning in SHARES.items():
        parser.add_argument(f"--{name}", type=_share, default=0.0, help=meaning)
    parser.add_argument(
        "--copy",
        action="append",
        choices=COPY_NAMES,
        help="when second copies come, may be repeated; default: all of them",
    )
    return parser


def _checkout(text):
    folder = Path(text).resolve()
    if not (folder / "front.py").is_file():
        raise argparse.ArgumentTypeError(f"{text}: no front.py in this folder")
    return folder


def _share(text):
    share = float(text)
    if not 0 <= share <= 1:
        raise ValueError(f"{text} is no share from 0 to 1")
    return share


if __name__ == "__main__":
    sys.exit(main())
