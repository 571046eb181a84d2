"""The command line of runs that measure what is served."""

import argparse
import asyncio
import contextlib
import json
import math
import signal
import sys
import tempfile
from pathlib import Path

import logbook

from pimentogap.errors import InvalidDocument
from soak._served import ServedRun
from soak._served_report import judge, tables
from soak._served_troubles import troubles
from soak._shapes import read_shape

FIRST_PORT = 38000
EXIT_SETTINGS = 2
EXIT_INTERRUPTED = 130
EPILOG = """\
examples:
  python -m soak.served                                   undisturbed, eight daemons
  python -m soak.served --trouble kill                    a daemon is killed
  python -m soak.served --trouble plain-crash+store-down  both at once
  python -m soak.served --trouble all --keep run/served   one after the other

exit codes:
  0  each run kept the bounds
  1  a bound was broken; each problem is printed
  2  the shape or a trouble is wrong; nothing was started
  130  interrupted by SIGINT or SIGTERM
"""


def main(arguments=None):
    """Play the undisturbed run and those with troubles; return the exit code."""
    parser = _parser()
    options = parser.parse_args(arguments)
    try:
        shape = read_shape(options.shape)
    except OSError as error:
        print(f"{options.shape}: {error.strerror}", file=sys.stderr)
        return EXIT_SETTINGS
    except InvalidDocument as error:
        for problem in error.problems:
            print(f"{options.shape}: {problem}", file=sys.stderr)
        return EXIT_SETTINGS
    for name in ("seconds", "rate"):
        value = getattr(options, name)
        if not 0 < value < math.inf:
            print(f"{name}: expected more than 0, got {value}", file=sys.stderr)
            return EXIT_SETTINGS
    known = troubles(shape)
    plays = [name for name in known if name != "none"]
    if options.trouble != "all":
        plays = options.trouble.split(",")
    unknown = {name for play in plays for name in play.split("+")} - set(known)
    if unknown:
        expected = ", ".join(known)
        print(f"trouble {sorted(unknown)}: expected {expected}", file=sys.stderr)
        return EXIT_SETTINGS
    # Ends the processes of the run, as an interrupt does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    with contextlib.ExitStack() as stack:
        stack.enter_context(logbook.NullHandler().applicationbound())
        keep = options.keep or stack.enter_context(tempfile.TemporaryDirectory())
        try:
            return _play_all(plays, shape, options, Path(keep))
        except KeyboardInterrupt:
            print("interrupted; every process of the run has ended", file=sys.stderr)
            return EXIT_INTERRUPTED


def _play_all(plays, shape, options, keep):
    undisturbed, _ = _play("none", shape, options, keep)
    failed = []
    for name in plays:
        if name == "none":
            continue
        run, injector = _play(name, shape, options, keep)
        problems = judge(
            run.requests,
            undisturbed.requests,
            trouble_ended_s=run.trouble_ended_s,
            excused_numbers=run.excused_numbers(injector),
        )
        print(f"served, {name}: {len(problems) or 'no'} problems", flush=True)
        for problem in problems[:20]:
            print(f"  {name}: {problem}", flush=True)
        failed += [name] if problems else []
    if failed:
        print(f"failed: python -m soak.served --seed {options.seed} --trouble", end=" ")
        print(",".join(failed))
    return 1 if failed else 0


def _play(name, shape, options, keep):
    folder = keep / f"{options.seed}-{name}"
    folder.mkdir(parents=True, exist_ok=True)
    for path in folder.iterdir():
        path.unlink()
    run = ServedRun(
        options.shape, shape, folder, seed=options.seed, first_port=options.first_port
    )
    injector = asyncio.run(
        run.play(
            name.split("+"),
            seconds=options.seconds,
            trouble_at_s=options.trouble_at,
            busy=options.busy,
            rate=options.rate,
        )
    )
    lines = tables(run.requests, run.lag_ms_by_second)
    lines.append(_summary(run))
    text = "\n".join(lines)
    (folder / "tables.txt").write_text(text + "\n", encoding="utf-8")
    record = {
        "seed": options.seed,
        "trouble": name,
        "busy": options.busy,
        "rate": options.rate,
        "trouble_began_s": run.trouble_began_s,
        "trouble_ended_s": run.trouble_ended_s,
        "ready_s_by_daemon": run.ready_s_by_daemon,
        "first_group_s": run.first_group_s,
        "lag_ms_by_second": run.lag_ms_by_second,
        "platform_lag_ms_by_second": run.platform_lag_ms_by_second,
        "requests": run.requests,
    }
    (folder / "record.json").write_text(json.dumps(record), encoding="utf-8")
    print(f"== {name}, seed {options.seed}\n{text}", flush=True)
    return run, injector


def _summary(run):
    ready_s = sorted(run.ready_s_by_daemon.values())
    late_ms = max(run.platform_lag_ms_by_second.values())
    return (
        f"daemons ready after {ready_s} s, first group open after"
        f" {run.first_group_s} s; trouble from {run.trouble_began_s:.1f} s to"
        f" {run.trouble_ended_s:.1f} s; the platform's process at most"
        f" {late_ms:.0f} ms late"
    )


def _parser():
    parser = argparse.ArgumentParser(
        prog="python -m soak.served",
        description="Run a deployment as processes and measure what it serves.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--shape", default="eight-daemons", help="a file, or a name in soak/shapes"
    )
    parser.add_argument("--trouble", default="none", help="names, or all")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0, help="of traffic")
    parser.add_argument("--trouble-at", type=float, default=6.0, metavar="S")
    parser.add_argument("--busy", type=int, default=0, help="processes that spin")
    parser.add_argument(
        "--rate", type=float, default=1.0, help="times the requests of the shape"
    )
    parser.add_argument("--first-port", type=int, default=FIRST_PORT)
    parser.add_argument("--keep", metavar="FOLDER", help="keep logs and records there")
    return parser


if __name__ == "__main__":
    sys.exit(main())
