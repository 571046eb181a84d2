"""The front daemon: serves callers on the platform and forms model groups."""

import argparse
import asyncio
import os
import signal
import sys
import time

from logbook import Logger

from pimentogap.admission import AdmissionService
from pimentogap.alarms import AlarmService
from pimentogap.buffers import BufferService
from pimentogap.calls import CallService
from pimentogap.directory import (
    DaemonsService,
    DepartureService,
    DirectoryService,
    ServingConfigurationService,
)
from pimentogap.errors import InvalidDocument
from pimentogap.evacuations import EvacuationService
from pimentogap.formation import FormationService, LeaseService
from pimentogap.forwarding import ForwardingService
from pimentogap.ingress import IngressService
from pimentogap.intake import ChunkTurns, IntakeService
from pimentogap.kernel import Clock, Kernel
from pimentogap.logs import install_decision_log
from pimentogap.metrics import LoopHolds, MetricService, measured_event_loop
from pimentogap.occupancy import OccupancyService
from pimentogap.pauses import PauseService
from pimentogap.peers.grpc import GrpcTransport
from pimentogap.permits import PermitService
from pimentogap.placement import PlacementService
from pimentogap.platform import (
    BACKEND_COLLECTION,
    CONFIGURATION_COLLECTION,
    CONFIGURATION_NAME,
    EVACUATION_COLLECTION,
    SETTINGS_VARIABLE,
    HttpEngines,
    ObjectTransport,
    PlatformHeaders,
    decode_backend,
    decode_configuration,
    load_platform_settings,
)
from pimentogap.quarantine import QuarantineService
from pimentogap.relay import RelayService, StoreContactService
from pimentogap.settling import SettlingService
from pimentogap.store import StoreClient
from pimentogap.web import BackendPool, HttpClient

log = Logger("front")

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
FLUSH_INTERVAL_S = 0.05
STORE_TIMEOUT_S = 1.0

EPILOG = f"""\
The settings file is the platform's; its path stands in {SETTINGS_VARIABLE}.

examples:
  pimentogap-front                        run until SIGTERM
  pimentogap-front --settings f.yaml      read the settings from this file
  pimentogap-front --check                only check the settings

exit codes:
  0  stopped in order, or the settings are right
  1  a part failed that the daemon cannot do without
  2  the settings are wrong
"""


def run_front(arguments=None):
    """Run `pimentogap-front` and return its exit code.

    :param arguments: the command line without the program's name; that of the
        process by default.
    """
    options = _parser().parse_args(arguments)
    try:
        settings = _read_settings(options.settings)
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
    sink = install_decision_log(level=options.log_level, clock=time.time)
    holds = LoopHolds()
    with asyncio.Runner(loop_factory=lambda: measured_event_loop(holds)) as runner:
        return runner.run(_run(settings, options.settings, sink, holds))


def assemble_front(
    settings,
    *,
    store_transport,
    engines,
    pool,
    codec,
    peer_transport,
    clock=None,
    seed=None,
    loop_holds=None,
):
    """Return a `Kernel` with every service but the one that listens for callers.

    :param settings: the `pimentogap.settings.FrontSettings`.
    :param store_transport: sends calls to the platform's store.
    :param engines: sends orders to model engines.
    :param pool: the connections to backend servers.
    :param codec: reads and writes the platform's headers.
    :param peer_transport: carries calls between daemons.
    :param clock: the `Clock` that services read.
    :param seed: seed of the random generator that services share, which makes
        their choices repeatable.
    :param loop_holds: the `LoopHolds` of the event loop, for the metrics.
    """
    kernel = Kernel(clock=clock, seed=seed)
    current_collections = [CONFIGURATION_COLLECTION, BACKEND_COLLECTION]
    if settings.evacuation_s:
        current_collections.append(EVACUATION_COLLECTION)
    for service in (
        MetricService(loop_holds),
        CallService(settings.inner_address, peer_transport),
        StoreClient(store_transport, timeout_s=STORE_TIMEOUT_S),
        ServingConfigurationService(
            CONFIGURATION_COLLECTION, CONFIGURATION_NAME, decode_configuration
        ),
        DirectoryService(BACKEND_COLLECTION, decode_backend, drain_s=settings.drain_s),
        EvacuationService(EVACUATION_COLLECTION, settings.evacuation_s),
        DaemonsService(settings),
        StoreContactService(),
        SettlingService(),
        RelayService(first_start=settings.first_start),
        PauseService(tuple(current_collections)),
        PermitService(
            cold_overrun=settings.cold_overrun, cold_slack=settings.cold_slack
        ),
        OccupancyService(settings.id, enabled=settings.scarce_room),
        PlacementService(scarce_room=settings.scarce_room),
        AdmissionService(settings),
        QuarantineService(settings.id, settings.react_s),
        BufferService(settings),
        ForwardingService(settings, pool, codec),
        LeaseService(settings.id, settings.inner_address),
        DepartureService(settings.id),
        FormationService(settings, engines),
        AlarmService(),
    ):
        kernel.register(service)
    return kernel


async def _run(settings, path, sink, loop_holds):
    loop = asyncio.get_running_loop()
    loop.create_task(_flush_regularly(sink))
    codec = PlatformHeaders()
    kernel = assemble_front(
        settings,
        store_transport=ObjectTransport(HttpClient(), settings.store_address),
        engines=HttpEngines(HttpClient()),
        pool=BackendPool(ChunkTurns(Clock(), only_under_load=True)),
        codec=codec,
        # With the store's address as the fleet's key, daemons refuse those of another
        # fleet that used the same addresses before.
        peer_transport=GrpcTransport(settings.id, settings.store_address),
        loop_holds=loop_holds,
    )
    kernel.register(IntakeService(settings))
    kernel.register(IngressService(settings, codec))
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _check_settings, path)
    try:
        await kernel.start()
    except OSError as error:
        log.critical("daemon failed to start", error=str(error))
        await kernel.stop()
        sink.flush()
        return EXIT_FAILED
    log.notice("started", daemon=settings.id, zone=settings.availability_zone)
    stop_requested = asyncio.ensure_future(stop.wait())
    kernel_failed = asyncio.ensure_future(kernel.wait_for_failure())
    await asyncio.wait(
        [stop_requested, kernel_failed], return_when=asyncio.FIRST_COMPLETED
    )
    await kernel.stop()
    kernel_failed.cancel()
    store_calls = kernel.get("store").calls_by_kind
    log.notice("stopped", in_order=stop.is_set(), store_calls=store_calls)
    sink.flush()
    return EXIT_OK if stop.is_set() else EXIT_FAILED


def _check_settings(path):
    """Check the settings file on SIGHUP; its fields take effect at the next start."""
    try:
        _read_settings(path)
    except (OSError, InvalidDocument) as error:
        log.error("settings not readable, the old ones stay", error=str(error))
        return
    log.notice("settings read again")


def _read_settings(path):
    with open(path, encoding="utf-8") as file:
        return load_platform_settings(file.read())


async def _flush_regularly(sink):
    while True:
        sink.flush()
        await asyncio.sleep(FLUSH_INTERVAL_S)


def _parser():
    parser = argparse.ArgumentParser(
        prog="pimentogap-front",
        description="Serve callers on the platform and keep model groups complete.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    default = os.environ.get(SETTINGS_VARIABLE)
    parser.add_argument(
        "--settings", default=default, required=default is None, metavar="FILE"
    )
    parser.add_argument("--log-level", default="INFO", metavar="LEVEL")
    parser.add_argument("--check", action="store_true", help="check and exit")
    return parser
