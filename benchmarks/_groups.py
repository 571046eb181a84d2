"""Measures group downtime and stranded accelerators for each kind of fault.

An accelerator is stranded while its VM is up but serves in no complete group.
"""

import asyncio
import time

import logbook

from benchmarks._figures import figure
from pimentogap.groups import FleetView, Planner, _service as group_service
from pimentogap.groups._planner import Broken
from pimentogap.tickets import Accepted, Configuration, load_accepted, parse_ticket
from pimentogap.types import Vm
from standins._engines import EngineTiming
from standins.local_fleet import LocalFleet
from standins.paused import run_paused

ZONES = ("z-a", "z-b", "z-c")
DOMAINS_PER_ZONE = 2
VMS_PER_DOMAIN = 7
GROUP_SIZE = 3
GROUPS = 10
ACCELERATORS_PER_VM = 8
WEIGHT_BYTES_PER_VM = 1e9
STORE_BYTES_PER_S = 1e9
SETTLE_S = 90.0
OBSERVED_S = 120.0
SAMPLE_INTERVAL_S = 0.1
VM_LIST_LAG_S = 1.0
VM_RESTART_DELAY_S = 60.0
REPORT_INTERVAL_S = 0.5
LONG_RUN_GROUPS = 43
LONG_RUN_GROUP_SIZE = 16
FAULTS = (
    "one VM",
    "two VMs of one group",
    "domain dark",
    "zone dark",
    "flapping VM",
    "store outage",
    "holder paused",
)


class GreedyPlanner(Planner):
    """Baseline: first fit, without spares and without a limit on concurrent loads."""

    def _cost(self, group, service, domain):
        return (domain,)

    def _form(self, group, service, action, seen):
        self._loading = 0
        super()._form(group, service, action, seen)

    def _form_surplus(self):
        return

    def _ensure_generation(self, group):
        for assignment in [a for a in self._next_assignments if a.group == group.name]:
            if not isinstance(self._condition(assignment), Broken):
                return
        super()._ensure_generation(group)


class FaultMeasurement:
    """Results of one fault under one planner.

    ``downtime_s`` is in group-seconds, ``stranded_s`` in accelerator-seconds;
    ``double_assignments`` counts versions with a VM in two groups,
    ``served_incomplete`` requests that an incomplete group began or finished,
    ``writes_per_s`` the store's writes in the busiest of the first 10 seconds, and
    ``loads_at_once`` the most concurrent loads of weights.
    """

    __slots__ = (
        "downtime_s",
        "stranded_s",
        "double_assignments",
        "served_incomplete",
        "writes_per_s",
    )
    __slots__ += ("loads_at_once",)


def run(seed):
    """Run the benchmark."""
    logbook.NullHandler().push_application()
    results = {}
    print(
        f"{GROUPS} groups of {GROUP_SIZE} VMs, {VMS_PER_DOMAIN} VMs in each of "
        f"{len(ZONES) * DOMAINS_PER_ZONE} fabric domains; {OBSERVED_S:g} s after each "
        "fault; downtime in group-s, stranded in accelerator-s"
    )
    print(
        f"{'fault':22}{'policy':22}{'downtime':>9}{'bound':>8}{'stranded':>10}"
        f"{'loads at once':>15}"
    )
    for fault in FAULTS:
        for policy, planner, weight in (
            ("downtime weight 1", Planner, 1.0),
            ("downtime weight 0", Planner, 0.0),
            ("greedy baseline", GreedyPlanner, 0.5),
        ):
            measured = run_paused(_measure(fault, planner, weight, seed))
            results[fault, policy] = measured
            print(
                f"{fault:22}{policy:22}{measured.downtime_s:9.1f}"
                f"{_bound(fault):8.1f}{measured.stranded_s:10.0f}"
                f"{measured.loads_at_once:15d}"
            )
    _print_figures(results)


def _print_figures(results):
    single_faults = [f for f in FAULTS if f not in ("flapping VM",)]
    downtime_results = [results[f, "downtime weight 1"] for f in single_faults]
    bound = sum(_bound(f) for f in single_faults)
    all_results = list(results.values())
    total = {
        policy: (
            sum(results[f, policy].downtime_s for f in FAULTS),
            sum(results[f, policy].stranded_s for f in FAULTS),
        )
        for policy in ("downtime weight 1", "downtime weight 0", "greedy baseline")
    }
    baseline = total["greedy baseline"]
    figure(
        "downtime_ratio_to_bound",
        sum(w.downtime_s for w in downtime_results) / bound,
        "ratio",
    )
    figure(
        "downtime_ratio_to_baseline",
        total["downtime weight 1"][0] / baseline[0],
        "ratio",
    )
    figure(
        "stranded_ratio_to_baseline",
        total["downtime weight 0"][1] / baseline[1],
        "ratio",
    )
    figure("vm_in_two_groups", sum(w.double_assignments for w in all_results), "count")
    figure(
        "served_while_incomplete",
        sum(w.served_incomplete for w in all_results),
        "count",
    )
    figure("plan_ms_at_long_run", _longest_plan_ms(), "ms")
    zone = results["zone dark", "downtime weight 1"]
    figure("store_writes_per_s_zone_loss", zone.writes_per_s, "writes/s")


def _bound(fault):
    """Return a lower bound of the downtime after ``fault``, in group-seconds.

    A fault is detected after one report interval of the engines. The weights of the
    lost VMs are then read at the store's full rate into free VMs, one group after
    the other. Groups without free VMs wait until the lost VMs restart.
    """
    load_s = WEIGHT_BYTES_PER_VM / STORE_BYTES_PER_S
    match fault:
        case "one VM" | "flapping VM" | "store outage" | "holder paused":
            return REPORT_INTERVAL_S + load_s
        case "two VMs of one group":
            return REPORT_INTERVAL_S + GROUP_SIZE * load_s
        case "domain dark":
            return sum(
                REPORT_INTERVAL_S + (i + 1) * GROUP_SIZE * load_s for i in range(2)
            )
        case "zone dark":
            moved_groups_s = sum(
                REPORT_INTERVAL_S + (i + 1) * GROUP_SIZE * load_s for i in range(2)
            )
            return moved_groups_s + sum(
                VM_RESTART_DELAY_S + (i + 1) * GROUP_SIZE * load_s for i in range(2)
            )


async def _measure(fault, planner, weight, seed):
    group_service.Planner = planner
    fleet = LocalFleet(
        daemons=3,
        zones=ZONES,
        seed=seed,
        domains_per_zone=DOMAINS_PER_ZONE,
        vms_per_domain=VMS_PER_DOMAIN,
        weight_bytes_per_s=STORE_BYTES_PER_S,
        timing=EngineTiming(weights_bytes_per_vm=WEIGHT_BYTES_PER_VM),
    )
    fleet.platform.vm_list_lag_s = VM_LIST_LAG_S
    await fleet.start()
    await asyncio.sleep(3)
    configuration = fleet.daemons_by_index[0].get("configuration")
    outcome = await configuration.submit(_ticket(GROUPS, GROUP_SIZE, weight))
    assert isinstance(outcome, Accepted), outcome
    await asyncio.sleep(SETTLE_S)
    fleet.engines.weight_store.max_concurrent_loads = 0
    versions_before = len(fleet.platform.versions_written)
    fault_at_s = asyncio.get_running_loop().time()
    sampling = asyncio.ensure_future(_sample(fleet))
    await _inject_fault(fleet, fault)
    measured = await sampling
    measured.loads_at_once = fleet.engines.weight_store.max_concurrent_loads
    versions = fleet.platform.versions_written
    measured.double_assignments = sum(_has_vm_twice(v) for v in versions)
    measured.served_incomplete = sum(
        bool(s.missing_vms) and s.event != "arrive"
        for s in fleet.engines.request_events
    )
    first_versions = [
        v for v in versions[versions_before:] if v.at_s <= fault_at_s + 10
    ]
    measured.writes_per_s = max(
        sum(
            fault_at_s + second <= v.at_s < fault_at_s + second + 1
            for v in first_versions
        )
        for second in range(10)
    )
    await fleet.close()
    return measured


async def _sample(fleet):
    measured = FaultMeasurement()
    measured.downtime_s = measured.stranded_s = 0.0
    names = {f"g-{i}" for i in range(GROUPS)}
    deadline = asyncio.get_running_loop().time() + OBSERVED_S
    while asyncio.get_running_loop().time() < deadline:
        serving_groups, serving_vms, up_vms = set(), 0, 0
        for engine in fleet.engines.engines_by_vm.values():
            up_vms += engine.up
            if engine.up and engine._is_group_complete():
                serving_groups.add(engine.holding["group"])
                serving_vms += 1
        measured.downtime_s += SAMPLE_INTERVAL_S * len(names - serving_groups)
        measured.stranded_s += (
            SAMPLE_INTERVAL_S * ACCELERATORS_PER_VM * (up_vms - serving_vms)
        )
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    return measured


async def _inject_fault(fleet, fault):
    engines = fleet.engines
    daemon = fleet.daemons_by_index[0]
    group = min(daemon.get("fleet").assignments(), key=lambda a: a.group)
    members = [vm.id for vm in group.vms]
    match fault:
        case "one VM":
            await _kill_and_restart_later(fleet, members[:1])
        case "two VMs of one group":
            await _kill_and_restart_later(fleet, members[:2])
        case "domain dark":
            await _kill_and_restart_later(fleet, _vms_in(engines, group.fabric_domain))
        case "zone dark":
            await _kill_and_restart_later(
                fleet, _vms_in(engines, group.availability_zone)
            )
        case "flapping VM":
            for _ in range(6):
                engines.kill(members[0])
                await asyncio.sleep(5)
                engines.restart(members[0])
                await asyncio.sleep(5)
        case "store outage":
            fleet.platform.faults.down = True
            await _kill_and_restart_later(fleet, members[:1])
            await asyncio.sleep(10)
            fleet.platform.faults.down = False
        case "holder paused":
            for other in fleet.daemons_by_index.values():
                if other.get("groups").lease.is_valid():
                    other.gate.pause()
            await _kill_and_restart_later(fleet, members[:1])


async def _kill_and_restart_later(fleet, vm_ids):
    for vm_id in vm_ids:
        fleet.engines.kill(vm_id)

    async def restart_later():
        await asyncio.sleep(VM_RESTART_DELAY_S)
        for vm_id in vm_ids:
            fleet.engines.restart(vm_id)

    fleet.daemons_by_index[0].kernel.spawn("groups", restart_later)


def _vms_in(engines, place_id):
    return [vm_id for vm_id in engines.engines_by_vm if vm_id.startswith(place_id)]


def _has_vm_twice(version):
    if version.collection != "assignments":
        return False
    assignments = version.stored.value["assignments"]
    vm_ids = [vm["id"] for assignment in assignments for vm in assignment["vms"]]
    return len(vm_ids) != len(set(vm_ids))


def _ticket(groups, size, weight):
    service = {
        "kind": "model_service",
        "name": "m",
        "model": "m",
        "vms_per_group": size,
        "downtime_weight": weight,
    }
    limit = {"kind": "weight_store", "name": "r", "loads_at_once": 1}
    items = [
        {"kind": "model_group", "name": f"g-{i}", "service": "m", "region": "r"}
        for i in range(groups)
    ]
    return parse_ticket(
        {
            "submission": "s",
            "against": 0,
            "author": "a",
            "put": [service, limit, *items],
        }
    )


def _longest_plan_ms():
    """Return the longest time of 20 plans at the long-run size, in milliseconds."""
    from pimentogap.tickets import dump_ticket

    ticket = dump_ticket(_ticket(LONG_RUN_GROUPS, LONG_RUN_GROUP_SIZE, 0.5))
    accepted = load_accepted({"number": 1, "accepted_at": 0.0, "ticket": ticket})
    configuration = Configuration().with_ticket(accepted)
    vms = {
        f"vm-{i}": Vm(
            id=f"vm-{i}",
            incarnation=1,
            address="10.0.0.1:1",
            region="r",
            availability_zone=f"z-{i % 6}",
            fabric_domain=f"d-{i // 32}",
        )
        for i in range(LONG_RUN_GROUPS * LONG_RUN_GROUP_SIZE + 32)
    }
    assignments, longest_s = [], 0.0
    for _ in range(20):
        view = FleetView(now=0.0, vms_by_id=vms)
        view.ready = frozenset(a.key for a in assignments)
        started_at = time.perf_counter()
        planner = Planner(region="r", configuration=configuration, view=view)
        assignments = planner.plan(list(assignments), {})
        longest_s = max(longest_s, time.perf_counter() - started_at)
    return longest_s * 1e3
