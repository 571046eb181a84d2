"""The report program: burn rates of service-level objectives over a fleet."""

import argparse
import json
import sys
import time

from tornado.httpclient import HTTPClient

from pimentogap.report import merge, render_page, render_text

EXIT_OK = 0
EXIT_UNREACHABLE = 3

EPILOG = """\
examples:
  pimentogap-report 10.0.0.4:8181 10.0.0.5:8181
  pimentogap-report 10.0.0.4:8181 --page burn.html

exit codes:
  0  done
  3  a daemon was not reached
"""


def run_report(arguments=None):
    """Run `pimentogap-report` and return its exit code.

    :param arguments: the command line without the program's name; that of the
        process by default.
    """
    options = _parser().parse_args(arguments)
    client = HTTPClient()
    answers, decisions_by_id = [], {}
    try:
        for address in options.daemons:
            answers.append(_fetch(client, address, "/objectives"))
            for decision in _fetch(client, address, "/decisions")["decisions"]:
                decisions_by_id[decision["id"]] = decision
    except OSError as error:
        print(f"{address}: {error}", file=sys.stderr)
        return EXIT_UNREACHABLE
    finally:
        client.close()
    report = merge(answers, list(decisions_by_id.values()), time.time())
    print(render_text(report), end="")
    if options.page:
        with open(options.page, "w", encoding="utf-8") as file:
            file.write(render_page(report))
    return EXIT_OK


def _fetch(client, address, path):
    return json.loads(client.fetch(f"http://{address}{path}").body)


def _parser():
    parser = argparse.ArgumentParser(
        prog="pimentogap-report",
        description="Say how fast the budgets of service levels burn, and why.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("daemons", nargs="+", metavar="ADDRESS")
    parser.add_argument("--page", metavar="FILE", help="also write a page with plots")
    return parser
