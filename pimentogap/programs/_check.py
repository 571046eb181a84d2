"""The check of a configuration before it is sent, `pimentogap-check`."""

import argparse
import json
import sys

from pimentogap.checks import (
    Change,
    Contradiction,
    Fault,
    NeverMatches,
    find_changes,
    find_contradictions,
    find_unmatched,
)
from pimentogap.errors import InvalidDocument
from pimentogap.platform import decode_configuration, describe_place, read_document

EXIT_SOUND = 0
EXIT_WARNINGS = 1
EXIT_FAULTS = 2
DEFAULT_MEMORY_MB = 300.0

EPILOG = """\
The file holds the configuration as it would be written to the platform's store.

examples:
  pimentogap-check next.json                        check one configuration
  pimentogap-check next.json --in-force now.json    and say what it changes
  pimentogap-check next.json --memory-mb 152        for daemons on smaller VMs
  pimentogap-check next.json --json                 findings for programs

exit codes:
  0  sound
  1  daemons follow it, but something in it never matches or contradicts
  2  daemons refuse it, or a file cannot be read
"""


def run_check(arguments=None):
    """Run `pimentogap-check` and return its exit code.

    :param arguments: the command line without the program's name; that of the
        process by default.
    """
    options = _parser().parse_args(arguments)
    try:
        findings = _check(options)
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return EXIT_FAULTS
    show = _show_as_json if options.json else _show_as_text
    show(options.file, findings)
    if any(isinstance(finding, Fault) for finding in findings):
        return EXIT_FAULTS
    if any(isinstance(item, NeverMatches | Contradiction) for item in findings):
        return EXIT_WARNINGS
    return EXIT_SOUND


def _check(options):
    """Return the findings, only faults if there are any."""
    configuration, faults = _read(options.file)
    in_force = None
    if options.in_force is not None:
        in_force, faults_in_force = _read(options.in_force)
        faults += faults_in_force
    if faults:
        return faults
    findings = [
        *find_unmatched(configuration),
        *find_contradictions(configuration, memory_mb=options.memory_mb),
    ]
    if in_force is not None:
        findings += find_changes(in_force, configuration)
    return findings


def _read(path):
    """Return the configuration in a file, ``None`` without one, and its faults."""
    try:
        with open(path, "rb") as file:
            return decode_configuration(read_document(file)), []
    except InvalidDocument as error:
        return None, [_fault(path, problem) for problem in error.problems]


def _fault(path, problem):
    line = f":{problem.line}" if problem.line else ""
    place = f"{path}{line}: {problem.path}" if problem.path else f"{path}{line}"
    return Fault(place, problem.found, problem.expected)


def _show_as_text(path, findings):
    for finding in findings:
        print(_text(finding))
    if not any(not isinstance(finding, Change) for finding in findings):
        print(f"{path}: sound")


def _text(finding):
    match finding:
        case Fault(place, found, expected):
            return f"error: {place}: {found}; expected {expected}"
        case NeverMatches(entry, reason):
            return f"never matches: {describe_place(entry)}: {reason}"
        case Contradiction(entry, reason):
            return f"contradiction: {describe_place(entry)}: {reason}"
        case Change(entry, _, reason):
            return f"change: {describe_place(entry)}: {reason}"


def _show_as_json(path, findings):
    print(json.dumps({"file": path, "findings": [_record(item) for item in findings]}))


def _record(finding):
    match finding:
        case Fault(place, found, expected):
            reason = f"{found}; expected {expected}"
            return {"kind": "error", "place": place, "reason": reason}
        case NeverMatches(entry, reason):
            kind = "never_matches"
        case Contradiction(entry, reason):
            kind = "contradiction"
        case Change(entry, _, reason):
            kind = "change"
    return {"kind": kind, "place": describe_place(entry), "reason": reason}


def _parser():
    parser = argparse.ArgumentParser(
        prog="pimentogap-check",
        description="Check a configuration before it is sent.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("file", metavar="FILE")
    parser.add_argument(
        "--in-force", metavar="FILE", help="say what differs from this configuration"
    )
    parser.add_argument(
        "--memory-mb",
        type=float,
        default=DEFAULT_MEMORY_MB,
        metavar="MB",
        help="memory of the smallest VM of a daemon (default: %(default)g)",
    )
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    return parser
