"""Measures how costs grow with size and compares the slopes with docs/CAPACITY.md."""

import asyncio
import gc
import json
import re
import time
import tracemalloc
from dataclasses import dataclass
from pathlib import Path

import logbook

from benchmarks._figures import figure, slope
from benchmarks._groups import _ticket
from pimentogap.actions._states import ClaimRecord, ClaimTable
from pimentogap.groups import FleetView, Planner
from pimentogap.limits import FairQueue
from pimentogap.peers import Member, MemberStatus, MemberTable
from pimentogap.routing import PlacementPolicy, Replica
from pimentogap.routing._service import ReportReceiver, shows_complete_group
from pimentogap.schema import check, dump
from pimentogap.tickets import AcceptedTicket, Configuration
from pimentogap.types import AssignedVm, Assignment, BackendServer, Vm

PAGE_PATH = Path("docs/CAPACITY.md")
LINE_PATTERN = re.compile(
    r"^\| (?P<name>[a-z_]+) \| (?P<value>[0-9.]+) \|", re.MULTILINE
)
TOLERANCE_FACTOR = 2.0
REPEATS = 15
CALIBRATION_STEPS = 20_000
SIZES = (200, 400, 800, 1600)


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the page's table: a measured slope and the residual of its fit."""

    name: str
    value: float
    unit: str
    residual_percent: float


def run(seed):
    """Run the benchmark."""
    logbook.NullHandler().push_application()
    lines = [
        _time_line("member_merge_us", "us for each member", _fill_member_table),
        _memory_line("member_bytes", "bytes for each member", _fill_member_table),
        _time_line(
            "decide_us", "us for each replica, 20 decisions", _decide_placements
        ),
        _memory_line("replica_bytes", "bytes for each replica", _make_replicas),
        _time_line(
            "report_us", "us for each report of a group of 16 VMs", _receive_reports
        ),
        Line("report_bytes", len(_report()), "bytes for each unchanged report", 0.0),
        _time_line("plan_us", "us for three plans of each VM", _plan_three_times),
        _time_line(
            "assignment_check_us", "us for each VM assigned", _check_assignments
        ),
        _memory_line("claim_bytes", "bytes for each key kept", _fill_claim_table),
        _time_line("claim_load_us", "us for each key loaded", _fill_claim_table),
        _time_line("queue_us", "us for each request queued", _fill_queue),
        _time_line(
            "configuration_us", "us for five tickets with each item", _apply_tickets
        ),
    ]
    page_values = {
        m["name"]: float(m["value"])
        for m in LINE_PATTERN.finditer(PAGE_PATH.read_text("utf-8"))
    }
    slowdown = 1.0
    if "calibration_us" in page_values:
        slowdown = _calibration_us() / page_values["calibration_us"]
    print(f"this machine takes {slowdown:.2f} times as long as the machine of the page")
    stale_lines = 0
    print(f"{'line':22}{'measured':>12}{'page':>10}  {'residual %':>10}  unit")
    for line in lines:
        page = page_values.get(line.name)
        if page and line.name.endswith("_us"):
            page *= slowdown
        ratio = line.value / page if page else float("inf")
        is_stale = not 1 / TOLERANCE_FACTOR <= ratio <= TOLERANCE_FACTOR
        stale_lines += is_stale
        print(
            f"{line.name:22}{line.value:12.4g}{page or 0:10.4g}  "
            f"{line.residual_percent:10.2f}  {line.unit}{'  STALE' if is_stale else ''}"
        )
    figure("stale_lines", stale_lines, "count")
    worst_residual = max(line.residual_percent for line in lines)
    figure("worst_fit_residual_percent", worst_residual, "percent")


def _calibration_us():
    """Return the time of a fixed workload in microseconds.

    Its ratio to the time on the page scales the page's times to this machine.
    """
    best_s = min(
        _elapsed_s(_calibration_work, CALIBRATION_STEPS) for _ in range(REPEATS)
    )
    return best_s * 1e6


def _calibration_work(steps):
    numbers_by_name = {}
    for step in range(steps):
        numbers_by_name[f"n-{step % 100}"] = step * 2


def _time_line(name, unit, workload):
    points = []
    for size in SIZES:
        best_s = min(_elapsed_s(workload, size) for _ in range(REPEATS))
        points.append((size, best_s * 1e6))
    gradient, _, residual = slope(points)
    return Line(name, gradient, unit, residual)


def _memory_line(name, unit, workload):
    points = []
    for size in SIZES:
        tracemalloc.start()
        result = workload(size)
        points.append((size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del result
    gradient, _, residual = slope(points)
    return Line(name, gradient, unit, residual)


def _elapsed_s(workload, size):
    gc.collect()
    gc.disable()
    started_at = time.perf_counter()
    workload(size)
    elapsed_s = time.perf_counter() - started_at
    gc.enable()
    return elapsed_s


def _member(index):
    return Member(
        id=f"daemon-{index}",
        incarnation=1,
        sequence=1,
        status=MemberStatus.ALIVE,
        peer_address=f"10.0.{index // 250}.{index % 250}:9000",
        region=f"r-{index % 2}",
        availability_zone=f"z-{index % 6}",
    )


def _fill_member_table(size):
    table = MemberTable(_member(0))
    for index in range(1, size):
        table.merge(_member(index))
    table.neighbours()
    return table


def _make_replicas(size):
    replicas = []
    for index in range(size):
        server = BackendServer(f"g-{index}/1", "m", "10.0.0.1:1", f"z-{index % 6}", 1)
        replica = Replica(server)
        replica.permit(0.0)
        replica.apply_report(
            0.0,
            running=index % 8,
            waiting=0,
            capacity=8,
            cache_added=[],
            cache_blocks=4096,
        )
        replicas.append(replica)
    return replicas


class _FirstSample:
    __slots__ = ()

    def sample(self, population, count):
        """Return the first ``count`` items."""
        return population[:count]


def _decide_placements(size):
    replicas = _make_replicas(size)
    policy = PlacementPolicy(_FirstSample(), availability_zone="z-0")
    for _ in range(20):
        policy.decide(replicas, blocks=[1, 2, 3], now=1.0)


def _report(**extra_fields):
    report = {
        "vm": "bzh-lo-f0-0",
        "incarnation": 3,
        "group": "redacteur-1",
        "generation": 17,
        "model": "redacteur-70b",
        "version": "v1",
        "ready": True,
        "loaded": True,
        "running": 12,
        "waiting": 0,
        "capacity": 16,
        "cached": ["redacteur-70b/v1"],
        "cache_added": [],
        "cache_blocks": 4096,
        **extra_fields,
    }
    return json.dumps(report).encode() + b"\n"


def _receive_reports(size):
    vms = [
        AssignedVm(id=f"vm-{i}", incarnation=1, address="10.0.0.1:1") for i in range(16)
    ]
    assignment = Assignment(
        group="redacteur-1",
        service="redacteur",
        model="redacteur-70b",
        version="v1",
        generation=17,
        fabric_domain="bzh-lo-f0",
        availability_zone="bzh-lo",
        vms=tuple(vms),
    )
    complete = []
    receiver = ReportReceiver(
        lambda r: complete.append(shows_complete_group(r, assignment))
    )
    members = [{"id": vm.id, "incarnation": vm.incarnation} for vm in vms]
    receiver.data_received(_report(members_up=members))
    line = _report()
    for _ in range(size):
        receiver.data_received(line)
    assert all(complete)


def _vms_by_id(size):
    return {
        f"vm-{i:04d}": Vm(
            id=f"vm-{i:04d}",
            incarnation=1,
            address="10.0.0.1:1",
            region="r",
            availability_zone=f"z-{i % 6}",
            fabric_domain=f"d-{i // 32}",
        )
        for i in range(size)
    }


def _plan_assignments(size):
    accepted = AcceptedTicket(1, 0.0, _ticket(size // 20, 16, 0.5))
    configuration = Configuration().with_ticket(accepted)
    view = FleetView(now=0.0, vms_by_id=_vms_by_id(size))
    planner = Planner(region="r", configuration=configuration, view=view)
    planner._loads_at_once = size
    return planner.plan([], {})


def _plan_three_times(size):
    for _ in range(3):
        _plan_assignments(size)


_PLANS_BY_SIZE = {}
_TICKETS_BY_SIZE = {}


def _check_assignments(size):
    if size not in _PLANS_BY_SIZE:
        _PLANS_BY_SIZE[size] = [
            dump(assignment) for assignment in _plan_assignments(size)
        ]
    for data in _PLANS_BY_SIZE[size]:
        check(Assignment, data)


def _fill_claim_table(size):
    table = ClaimTable()
    for index in range(size):
        table.apply(
            ClaimRecord(f"w|book|key-{index}", f"{index:032x}", 1.0, "/actions/x")
        )
    return table


def _fill_queue(size):
    async def fill():
        queue = FairQueue(1)
        await queue.enter("w", weight=1.0, priority="batch")
        entries = [queue._join("w", 1.0, "batch") for _ in range(size)]
        for _ in entries:
            queue.leave(0.1)

    asyncio.run(fill())


def _apply_tickets(size):
    if size not in _TICKETS_BY_SIZE:
        _TICKETS_BY_SIZE[size] = _ticket(size, 16, 0.5)
    configuration = Configuration()
    for number in range(1, 6):
        accepted = AcceptedTicket(number, 0.0, _TICKETS_BY_SIZE[size])
        configuration = configuration.with_ticket(accepted)
    return configuration
