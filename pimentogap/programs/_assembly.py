"""Registers the services of a daemon."""

from pimentogap.actions import ActionService
from pimentogap.entry import EntryService
from pimentogap.fleet import FleetService
from pimentogap.groups import GroupService
from pimentogap.kernel import Kernel
from pimentogap.limits import LimitService
from pimentogap.lookups import LookupService
from pimentogap.metrics import MetricService
from pimentogap.objectives import ObjectiveService
from pimentogap.operators import OperatorService
from pimentogap.peers import PeerService
from pimentogap.routing import RoutingService
from pimentogap.store import StoreClient
from pimentogap.streams import StreamService
from pimentogap.tickets import ConfigurationService
from pimentogap.traces import TraceService


def assemble(
    settings, *, http, store_transport, peer_transport, incarnation, seed=None
):
    """Return a `Kernel` with every service but those for operators and callers.

    :param settings: the `pimentogap.settings.Settings`.
    :param http: the HTTP client for backend servers.
    :param store_transport: sends calls to the platform's store.
    :param peer_transport: opens and accepts sessions with other daemons.
    :param incarnation: an integer that grows with each start of the daemon.
    :param seed: seed of the random generator that services share, which makes
        their choices repeatable.
    """
    kernel = Kernel(seed=seed)
    daemon = settings.daemon
    services = [
        StoreClient(store_transport, timeout_s=settings.store.timeout),
        ConfigurationService(),
        PeerService(
            daemon,
            peer_transport,
            seeds=settings.peers.seeds,
            incarnation=incarnation,
        ),
        ObjectiveService(),
        FleetService(),
        GroupService(http, region=daemon.region),
        RoutingService(http),
        LimitService(max_queue=settings.callers.max_queue),
        StreamService(http),
        ActionService(http),
        LookupService(http),
        MetricService(),
        TraceService(),
    ]
    for service in services:
        kernel.register(service)
    return kernel


def add_listeners(kernel, settings):
    """Register the services that listen for operators and callers."""
    kernel.register(OperatorService(settings.daemon.operator_address))
    kernel.register(EntryService(settings.daemon, settings.callers))
