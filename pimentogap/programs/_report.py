"""The report program: what a daemon measured."""

import argparse
import sys

from tornado.httpclient import HTTPClient

EXIT_OK = 0
EXIT_UNREACHABLE = 3

EPILOG = """\
examples:
  pimentogap-report 127.0.0.1:8181 127.0.0.1:8182

exit codes:
  0  done
  3  a daemon was not reached
"""


def run_report(arguments=None):
    """Run the report program and return its exit code."""
    options = _parser().parse_args(arguments)
    client = HTTPClient()
    try:
        for address in options.daemons:
            try:
                response = client.fetch(f"http://{address}/metrics")
            except OSError as error:
                print(f"{address}: {error}", file=sys.stderr)
                return EXIT_UNREACHABLE
            print(f"# {address}")
            print(response.body.decode(), end="")
    finally:
        client.close()
    return EXIT_OK


def _parser():
    parser = argparse.ArgumentParser(
        prog="pimentogap-report",
        description="Print what daemons have measured.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("daemons", nargs="+", metavar="ADDRESS")
    return parser
