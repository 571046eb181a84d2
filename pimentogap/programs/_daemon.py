"""The daemon program, which serves callers and controls the fleet with its peers."""

import argparse
import asyncio
import signal
import sys
import time

from logbook import Logger

from pimentogap.errors import InvalidDocument
from pimentogap.logs import install_logs
from pimentogap.peers.grpc import GrpcTransport
from pimentogap.programs._assembly import add_listeners, assemble
from pimentogap.settings import load_settings
from pimentogap.store.http import HttpTransport
from pimentogap.web import HttpClient

log = Logger("daemon")

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2

EPILOG = """\
examples:
  pimentogap-daemon --settings d1.yaml          run until SIGTERM
  pimentogap-daemon --settings d1.yaml --check  only check the settings

exit codes:
  0  stopped in order, or the settings are right
  1  a part failed that the daemon cannot do without
  2  the settings are wrong; every problem is printed
"""


def run_daemon(arguments=None):
    """Run `pimentogap-daemon` and return its exit code.

    :param arguments: the command line without the program's name; that of the
        process by default.
    """
    options = _parser().parse_args(arguments)
    try:
        with open(options.settings, encoding="utf-8") as file:
            settings = load_settings(file.read())
    except OSError as error:
        print(f"{options.settings}: {error.strerror}", file=sys.stderr)
        return EXIT_SETTINGS
    except InvalidDocument as error:
        for problem in error.problems:
            print(f"{options.settings}: {problem}", file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        print(f"{options.settings}: the settings are right")
        return EXIT_OK
    install_logs(form=settings.log.format, level=settings.log.level)
    return asyncio.run(_run(settings))


async def _run(settings):
    http = HttpClient()
    kernel = assemble(
        settings,
        http=http,
        store_transport=HttpTransport(HttpClient(), settings.store.address),
        peer_transport=GrpcTransport(settings.daemon.id, settings.peers.fleet_key),
        incarnation=time.time_ns() // 1_000_000,
    )
    add_listeners(kernel, settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    try:
        await kernel.start()
    except OSError as error:
        log.critical("the daemon failed to start: {}", error)
        await kernel.stop()
        return EXIT_FAILED
    stop_requested = asyncio.ensure_future(stop.wait())
    kernel_failed = asyncio.ensure_future(kernel.wait_for_failure())
    await asyncio.wait(
        [stop_requested, kernel_failed], return_when=asyncio.FIRST_COMPLETED
    )
    await kernel.stop()
    http.close()
    kernel_failed.cancel()
    return EXIT_OK if stop.is_set() else EXIT_FAILED


def _parser():
    parser = argparse.ArgumentParser(
        prog="pimentogap-daemon",
        description="Serve callers, and take part in control of the fleet.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    parser.add_argument("--check", action="store_true", help="check and exit")
    return parser
