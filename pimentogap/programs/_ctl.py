"""The operators' command-line client, `pimentogap-ctl`."""

import argparse
import json
import sys
from urllib.parse import quote

from tornado.httpclient import HTTPClient, HTTPError

from pimentogap.access import hash_key, new_key
from pimentogap.errors import InvalidDocument
from pimentogap.schema.yaml_text import read_yaml
from pimentogap.tickets import dump_ticket, parse_ticket

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
REQUEST_TIMEOUT_S = 15.0

EPILOG = """\
examples:
  pimentogap-ctl submit setup.yaml            submit a ticket
  pimentogap-ctl submit setup.yaml --rebase 12
                                              submit it against revision 12
  pimentogap-ctl list                         list the newest tickets
  pimentogap-ctl show 12                      show ticket 12 whole
  pimentogap-ctl explain ticket 12            which daemons have it
  pimentogap-ctl explain group redacteur-1    why the group is as it is
  pimentogap-ctl explain vm bzh-lo-f0-0       what was decided about a VM
  pimentogap-ctl explain request ID           what was done for a request
  pimentogap-ctl actions                      list the actions in doubt
  pimentogap-ctl status                       the fleet as one daemon sees it
  pimentogap-ctl key                          make a key and its salted hash

exit codes:
  0  done
  1  the daemon refused, or there is no such thing
  2  the ticket or the command line is wrong
  3  the daemon was not reached
"""


def run_ctl(arguments=None):
    """Run `pimentogap-ctl` and return its exit code.

    :param arguments: the command line without the program's name; that of the
        process by default.
    """
    options = _parser().parse_args(arguments)
    try:
        return options.run(options)
    except InvalidDocument as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return EXIT_USAGE
    except OSError as error:
        print(f"{options.daemon}: {error}", file=sys.stderr)
        return EXIT_UNREACHABLE


def _submit(options):
    with open(options.file, encoding="utf-8") as file:
        data, lines_by_path = read_yaml(file.read())
    if options.rebase is not None and isinstance(data, dict):
        data["against"] = options.rebase
    ticket = parse_ticket(data, lines_by_path=lines_by_path)
    body = json.dumps(dump_ticket(ticket))
    return _request(options, "POST", "/tickets", body)


def _list(options):
    return _request(options, "GET", "/tickets")


def _show(options):
    return _request(options, "GET", f"/tickets/{options.number}")


def _explain(options):
    if options.subject == "ticket":
        return _request(options, "GET", f"/tickets/{options.name}")
    path = f"/explain/{options.subject}/{quote(options.name)}"
    return _request(options, "GET", path)


def _status(options):
    return _request(options, "GET", "/status")


def _actions(options):
    return _request(options, "GET", "/actions/in-doubt")


def _key(options):
    key = new_key()
    print(json.dumps({"key": key, "key_hash": hash_key(key)}, indent=2))
    return EXIT_OK


def _request(options, method, path, body=None):
    headers = {}
    if options.operator:
        headers["Operator"] = options.operator
    if options.key_file:
        with open(options.key_file, encoding="utf-8") as file:
            headers["Authorization"] = f"Bearer {file.read().strip()}"
    client = HTTPClient()
    try:
        response = client.fetch(
            f"http://{options.daemon}{path}",
            method=method,
            headers=headers,
            body=body,
            request_timeout=REQUEST_TIMEOUT_S,
            raise_error=False,
        )
    except HTTPError as error:
        print(f"{options.daemon}: {error}", file=sys.stderr)
        return EXIT_UNREACHABLE
    finally:
        client.close()
    if response.code == 599:
        print(f"{options.daemon}: {response.error}", file=sys.stderr)
        return EXIT_UNREACHABLE
    print(response.body.decode(), end="")
    return EXIT_OK if response.code < 300 else EXIT_REFUSED


def _parser():
    parser = argparse.ArgumentParser(
        prog="pimentogap-ctl",
        description="Submit change tickets, and ask daemons what they did.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--daemon", default="127.0.0.1:8181", metavar="ADDRESS")
    parser.add_argument("--operator", metavar="NAME")
    parser.add_argument("--key-file", metavar="FILE")
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    submit = _command(commands, "submit", _submit, "submit a ticket")
    submit.add_argument("file", metavar="FILE")
    submit.add_argument("--rebase", type=int, metavar="REVISION")
    _command(commands, "list", _list, "list the newest tickets")
    show = _command(commands, "show", _show, "show one ticket")
    show.add_argument("number", type=int)
    explain = _command(commands, "explain", _explain, "say why something is as it is")
    explain.add_argument("subject", choices=("ticket", "group", "vm", "request"))
    explain.add_argument("name")
    _command(commands, "status", _status, "show the fleet as one daemon sees it")
    _command(commands, "actions", _actions, "list the actions in doubt")
    _command(commands, "key", _key, "make a key and its salted hash")
    return parser


def _command(commands, name, run, help_text):
    command = commands.add_parser(name, help=help_text)
    command.set_defaults(run=run)
    return command
