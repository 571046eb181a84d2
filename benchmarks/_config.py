"""Measures the time until tickets are in force and the cost of the control plane."""

import asyncio
import gc
import os
import time

import logbook

from benchmarks._figures import figure, percentile, slope, usage
from pimentogap.peers.grpc import GrpcTransport
from pimentogap.programs import assemble
from pimentogap.settings import DaemonSettings, PeerSettings, Settings, StoreSettings
from pimentogap.store.http import HttpTransport
from pimentogap.tickets import Accepted, parse_ticket
from standins._network import LocalNetwork
from standins._platform import Platform

SIZES = (8, 16, 32)
LONG_RUN_DAEMONS = 410
TICKETS_PER_DAY = 850
SECONDS_PER_DAY = 86400
ZONES = ("z-a", "z-b", "z-c", "z-d", "z-e", "z-f")
FIRST_PORT = 25000
SETTLE_S = 12.0
IDLE_S = 8.0
TICKETS = 20
TICKET_INTERVAL_S = 0.3
POLL_S = 0.002
FLEET_KEY = "a-key-for-benchmarks"
PLATFORM_ADDRESS = "10.0.0.1:1"


class FleetMeasurement:
    """Results at one size of the fleet, most of them for each daemon.

    While idle: ``cpu_share`` of a core, ``bytes_per_s`` between daemons, and
    ``calls_per_s`` to the store by the whole fleet. For each ticket, above the idle
    cost: ``ticket_cpu_s`` and ``ticket_bytes``. ``in_force_s`` lists the times from a
    ticket's acceptance until every daemon has it; ``reverts`` counts daemons that
    went back to an older revision.
    """

    __slots__ = ("daemons", "cpu_share", "bytes_per_s", "calls_per_s", "in_force_s")
    __slots__ += ("ticket_bytes", "ticket_cpu_s", "memory_bytes", "reverts")


def run(seed):
    """Run the benchmark."""
    logbook.NullHandler().push_application()
    sizes = []
    baseline = usage(os.getpid()).memory_bytes
    print(
        "daemons  idle core%  idle B/s  calls/s  in force p95 s  B/ticket  "
        "ms/ticket  MB each"
    )
    for count in SIZES:
        measured = asyncio.run(_measure(count, seed, baseline))
        sizes.append(measured)
        in_force_s = percentile(measured.in_force_s, 0.95)
        print(
            f"{count:7d} {100 * measured.cpu_share:11.3f} {measured.bytes_per_s:9.0f} "
            f"{measured.calls_per_s:8.2f} {in_force_s:15.3f} "
            f"{measured.ticket_bytes:9.0f} {1e3 * measured.ticket_cpu_s:10.3f}"
            f"{measured.memory_bytes / 1e6:9.2f}"
        )
        gc.collect()
    _print_figures(sizes, baseline)


def _print_figures(sizes, baseline):
    tickets_per_s = TICKETS_PER_DAY / SECONDS_PER_DAY
    cpu = _extrapolated(sizes, lambda s: s.cpu_share) + tickets_per_s * _extrapolated(
        sizes, lambda s: s.ticket_cpu_s
    )
    traffic = _extrapolated(
        sizes, lambda s: s.bytes_per_s
    ) + tickets_per_s * _extrapolated(sizes, lambda s: s.ticket_bytes)
    worst = max(percentile(s.in_force_s, 0.95) for s in sizes)
    figure("in_force_p95_s", worst, "s")
    figure("reverts", sum(s.reverts for s in sizes), "count")
    figure("control_core_percent_at_410", 100 * cpu, "percent")
    figure("control_kb_per_s_at_410", traffic / 1000, "kB/s")
    memory = baseline + _extrapolated(sizes, lambda s: s.memory_bytes)
    figure("control_memory_mb_at_410", memory / 1e6, "MB")
    calls = _extrapolated(sizes, lambda s: s.calls_per_s)
    figure("store_calls_per_s_at_410", calls, "calls/s")


def _extrapolated(sizes, value):
    """Return a result extrapolated to `LONG_RUN_DAEMONS`, or the largest measured.

    The larger of the two is returned, since a slope over small sizes is noisy.

    :param value: a function that returns the result of a `FleetMeasurement`.
    """
    gradient, intercept, _ = slope([(s.daemons, value(s)) for s in sizes])
    largest = max(value(s) for s in sizes)
    return max(largest, gradient * LONG_RUN_DAEMONS + intercept)


async def _measure(count, seed, baseline):
    network = LocalNetwork()
    platform = network.handlers_by_address[PLATFORM_ADDRESS] = Platform(seed=seed)
    kernels, transports = [], []
    for index in range(count):
        transport = GrpcTransport(f"daemon-{index}", FLEET_KEY)
        kernel = _assemble_daemon(index, network, transport, seed)
        await kernel.start()
        kernels.append(kernel)
        transports.append(transport)
    await asyncio.sleep(SETTLE_S)
    measured = FleetMeasurement()
    measured.daemons = count
    measured.memory_bytes = (usage(os.getpid()).memory_bytes - baseline) / count
    before = _counters(platform, transports)
    await asyncio.sleep(IDLE_S)
    after = _counters(platform, transports)
    measured.cpu_share = (after[0] - before[0]) / IDLE_S / count
    measured.bytes_per_s = (after[1] - before[1]) / IDLE_S / count
    measured.calls_per_s = (after[2] - before[2]) / IDLE_S
    await _measure_tickets(measured, kernels, platform, transports)
    for kernel in kernels:
        await kernel.abort()
    for transport in transports:
        await transport.close()
    return measured


async def _measure_tickets(measured, kernels, platform, transports):
    measured.in_force_s = []
    measured.reverts = 0
    newest_revisions = [0] * len(kernels)
    before, started_at = _counters(platform, transports), time.monotonic()
    for number in range(TICKETS):
        configuration = kernels[number % len(kernels)].get("configuration")
        outcome = await configuration.submit(_ticket(number, configuration))
        assert isinstance(outcome, Accepted), outcome
        accepted_at = time.monotonic()
        while not _record_revisions(
            kernels, outcome.number, newest_revisions, measured
        ):
            await asyncio.sleep(POLL_S)
        measured.in_force_s.append(time.monotonic() - accepted_at)
        await asyncio.sleep(TICKET_INTERVAL_S)
    after, elapsed_s = _counters(platform, transports), time.monotonic() - started_at
    daemons = len(kernels)
    cpu_s = after[0] - before[0] - measured.cpu_share * daemons * elapsed_s
    traffic = after[1] - before[1] - measured.bytes_per_s * daemons * elapsed_s
    measured.ticket_cpu_s = max(0.0, cpu_s) / TICKETS / daemons
    measured.ticket_bytes = max(0.0, traffic) / TICKETS / daemons


def _record_revisions(kernels, number, newest_revisions, measured):
    """Count daemons that reverted; return whether all have ticket ``number``."""
    is_in_force = True
    for index, kernel in enumerate(kernels):
        revision = kernel.get("configuration").current.revision
        measured.reverts += revision < newest_revisions[index]
        newest_revisions[index] = revision
        is_in_force = is_in_force and revision >= number
    return is_in_force


def _counters(platform, transports):
    """Return processor seconds, bytes between daemons and store calls so far."""
    sent = sum(transport.bytes_sent for transport in transports)
    received = sum(transport.bytes_received for transport in transports)
    calls = sum(platform.calls_by_kind.values())
    return time.process_time(), sent + received, calls


def _ticket(number, configuration):
    return parse_ticket(
        {
            "submission": f"bench-{number}",
            "against": configuration.current.revision,
            "author": "bench",
            "put": [
                {
                    "kind": "workspace",
                    "name": f"w-{number % 10}",
                    "requests_per_s": 10.0 + number,
                }
            ],
        }
    )


def _assemble_daemon(index, network, transport, seed):
    def peer_address_of(number):
        return f"127.0.0.1:{FIRST_PORT + number}"

    settings = Settings(
        daemon=DaemonSettings(
            id=f"daemon-{index}",
            region="r-0" if index % len(ZONES) < 3 else "r-1",
            availability_zone=ZONES[index % len(ZONES)],
            caller_address="127.0.0.1:1",
            operator_address="127.0.0.1:2",
            peer_address=peer_address_of(index),
        ),
        store=StoreSettings(address=PLATFORM_ADDRESS),
        peers=PeerSettings(
            seeds=tuple(map(peer_address_of, range(3))), fleet_key=FLEET_KEY
        ),
    )
    client = network.client(f"daemon-{index}")
    return assemble(
        settings,
        http=client,
        store_transport=HttpTransport(client, PLATFORM_ADDRESS),
        peer_transport=transport,
        incarnation=1,
        seed=seed * 1000 + index,
    )
