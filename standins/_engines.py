"""A stand-in for model engines whose groups span several VMs."""

import asyncio
import json
from dataclasses import dataclass

from pimentogap.routing import BLOCK_CHARACTERS, prefix_blocks, prompt_text
from pimentogap.schema import dump
from pimentogap.types import Vm, VmState
from standins._network import AbandonConnection, split_path
from standins._tokens import token

REPORT_INTERVAL_S = 0.5
LOAD_STEP_S = 0.05
# Longer than any client waits for data.
SILENCE_S = 3600.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineTiming:
    """The speed and the capacity of a stand-in engine.

    ``step_s`` is the time for one token, ``max_running`` the number of requests that
    an engine runs at once, ``cached_blocks`` the size of its prefix cache, and
    ``member_loss_detection_s`` the time until a group notices that a member is lost.
    """

    prefill_characters_per_s: float = 40000.0
    step_s: float = 0.02
    max_running: int = 16
    cached_blocks: int = 2000
    weights_bytes_per_vm: float = 1e9
    member_loss_detection_s: float = 0.2


class WeightStore:
    """A source of weights whose limited rate all loads in progress share."""

    __slots__ = ("bytes_per_s", "loads_in_progress", "max_concurrent_loads")

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.loads_in_progress = 0
        self.max_concurrent_loads = 0

    async def load(self, size_bytes):
        """Wait as long as reading ``size_bytes`` takes at the shared rate."""
        self.loads_in_progress += 1
        self.max_concurrent_loads = max(
            self.max_concurrent_loads, self.loads_in_progress
        )
        try:
            while size_bytes > 0:
                await asyncio.sleep(LOAD_STEP_S)
                size_bytes -= LOAD_STEP_S * self.bytes_per_s / self.loads_in_progress
        finally:
            self.loads_in_progress -= 1


@dataclass(frozen=True, slots=True)
class RequestEvent:
    """A stand-in's own record that a request arrived, started or finished.

    ``event`` is "arrive", "start" or "finish", ``digest`` the request id.
    ``missing_vms`` has the members of the group that were not up, and ``missing_s``
    the time for which the first of them to be lost had been missing.
    """

    at_s: float
    event: str
    vm: str
    group: str
    generation: int
    digest: str
    missing_vms: tuple
    missing_s: float


class EngineFleet:
    """The engines of all VMs, and the events that tests check.

    ``request_events`` has a `RequestEvent` for each request that arrived, started or
    finished. ``double_holdings`` has the VM, its assignment and the new order for
    each order that moved a VM to another group without a release. ``on_change`` is
    called with the VMs that are up, leaving ones included.
    """

    __slots__ = (
        "engines_by_vm",
        "request_events",
        "weight_store",
        "timing",
        "on_change",
        "double_holdings",
        "_down_since_by_vm",
    )

    def __init__(self, *, timing=None, weight_store=None):
        self.engines_by_vm = {}
        self.request_events = []
        self.timing = timing or EngineTiming()
        self.weight_store = weight_store or WeightStore(20e9)
        self.on_change = lambda vms: None
        self.double_holdings = []
        self._down_since_by_vm = {}

    def add(self, vm, *, checks_fencing_number=True):
        """Add and return the engine of ``vm``, which is up and idle."""
        engine = Engine(self, vm, checks_fencing_number)
        self.engines_by_vm[vm.id] = engine
        return engine

    def publish(self):
        """Pass the VMs that are up, leaving ones included, to the platform's list."""
        self.on_change(
            dump(engine.vm) for engine in self.engines_by_vm.values() if engine.up
        )

    def kill(self, vm_id):
        """End a VM at once, and with it the group that it is a member of."""
        engine = self.engines_by_vm[vm_id]
        engine.up = False
        self._down_since_by_vm[vm_id] = asyncio.get_running_loop().time()
        engine.reset()
        self.publish()

    def restart(self, vm_id):
        """Start a VM again, idle, as a new incarnation."""
        engine = self.engines_by_vm[vm_id]
        if engine.up:
            self._down_since_by_vm[vm_id] = asyncio.get_running_loop().time()
        engine.vm = _with_changes(
            engine.vm, incarnation=engine.vm.incarnation + 1, state=VmState.LIVE
        )
        engine.reset()
        engine.up = True
        self.publish()

    def leave(self, vm_id):
        """Mark a VM as leaving in the list; it keeps serving until it is killed."""
        engine = self.engines_by_vm[vm_id]
        engine.vm = _with_changes(engine.vm, state=VmState.LEAVING)
        self.publish()

    def missing_s(self, missing_vms):
        """Return the seconds for which the first VM to be lost has been missing."""
        now = asyncio.get_running_loop().time()
        return max(
            (now - self._down_since_by_vm[vm] for vm in missing_vms), default=0.0
        )

    def missing_members(self, members):
        """Return the ids of the members that are not up in the given incarnation."""
        return tuple(
            member["id"]
            for member in members
            if not self.engines_by_vm[member["id"]].is_up_as(member)
        )


class Engine:
    """The engine of one VM; the head of a group serves the group's requests.

    ``holding`` is the order that assigned the VM to its group, or ``None``.
    ``fence`` is the highest fencing number seen; it is checked only if
    ``checks_fencing_number`` is set. ``answer_fault`` names a fault of the answers,
    and ``slow_factor`` multiplies the time that a request takes.
    """

    __slots__ = (
        "fleet",
        "vm",
        "up",
        "are_reports_paused",
        "checks_fencing_number",
        "fence",
        "holding",
        "is_loaded",
        "applied_orders",
        "slow_factor",
        "answer_fault",
        "events_sent",
        "_running",
        "_waiting",
        "_cached_blocks",
        "_added_blocks",
        "_load_task",
        "_cached_weights",
    )

    def __init__(self, fleet, vm, checks_fencing_number):
        self.fleet = fleet
        self.vm = vm
        self.up = True
        self.are_reports_paused = False
        self.checks_fencing_number = checks_fencing_number
        self.applied_orders = []
        self.slow_factor = 1.0
        self.answer_fault = None
        self.events_sent = 0
        self._load_task = None
        self.reset()

    def reset(self):
        """Clear all state that a restart loses, the cached weights included."""
        self.fence = 0
        self.holding = None
        self.is_loaded = False
        self._running = 0
        self._waiting = []
        self._cached_blocks = {}
        self._added_blocks = []
        self._cached_weights = None
        if self._load_task is not None:
            self._load_task.cancel()
            self._load_task = None

    def is_up_as(self, member):
        """Return whether the VM is up in the incarnation of ``member``."""
        return self.up and self.vm.incarnation == member["incarnation"]

    async def handle(self, request, reply):
        """Answer one HTTP request of the engine API.

        :raises AbandonConnection: if the VM is down.
        """
        if not self.up:
            raise AbandonConnection
        path, _ = split_path(request)
        match request.method, path:
            case "POST", "/v1/orders":
                await self._answer(reply, *self.apply_order(json.loads(request.body)))
            case "GET", "/v1/holding":
                await self._answer(reply, 200, self.report())
            case "GET", "/v1/reports":
                await self._stream_reports(reply)
            case "POST", "/v1/completions" | "/v1/chat/completions":
                await self._serve_completion(request, reply)
            case "POST", "/v1/cache/export":
                await self._answer(reply, 200, {"blocks": list(self._cached_blocks)})
            case "POST", "/v1/cache/import":
                self._cache_blocks(json.loads(request.body)["blocks"])
                await self._answer(reply, 200, {})
            case _:
                await self._answer(reply, 404, {})

    def apply_order(self, order):
        """Apply ``order``; return a status and the answer's data.

        An order with an old fencing number is refused with status 409 if this kind of
        engine checks fencing numbers.
        """
        if self.checks_fencing_number and order["fence"] < self.fence:
            return 409, {"reason": "old fencing number", "fence": self.fence}
        self.fence = max(self.fence, order["fence"])
        self.applied_orders.append(order)
        if order["order"] == "release":
            self._release()
            return 200, self.report()
        if self.holding is not None and self.holding["group"] != order["group"]:
            self.fleet.double_holdings.append((self.vm.id, self.holding, order))
        if self.holding != order:
            self._release()
            self.holding = order
            self._load_task = asyncio.ensure_future(self._load_model())
        return 200, self.report()

    def _release(self):
        if self._load_task is not None:
            self._load_task.cancel()
        self.holding = None
        self.is_loaded = False

    async def _load_model(self):
        weights = f"{self.holding['model']}/{self.holding['version']}"
        if self._cached_weights != weights:
            await self.fleet.weight_store.load(self.fleet.timing.weights_bytes_per_vm)
        self._cached_weights = weights
        self.is_loaded = True

    def report(self):
        """Return the engine's report on itself and on its group."""
        holding = self.holding or {}
        members = holding.get("members", [])
        return {
            "vm": self.vm.id,
            "incarnation": self.vm.incarnation,
            "group": holding.get("group"),
            "generation": holding.get("generation", 0),
            "model": holding.get("model"),
            "version": holding.get("version"),
            "ready": self._is_group_complete(),
            "loaded": self.is_loaded,
            "members_up": [
                {"id": member["id"], "incarnation": member["incarnation"]}
                for member in members
                if self.fleet.engines_by_vm[member["id"]].is_up_as(member)
            ],
            "running": self._running,
            "waiting": len(self._waiting),
            "capacity": self.fleet.timing.max_running,
            "cached": [self._cached_weights] if self._cached_weights else [],
        }

    def _is_group_complete(self):
        if self.holding is None:
            return False
        for member in self.holding["members"]:
            peer = self.fleet.engines_by_vm[member["id"]]
            peer_holding = peer.holding
            if not (
                peer.is_up_as(member) and peer.is_loaded and peer_holding is not None
            ):
                return False
            if peer_holding["generation"] != self.holding["generation"]:
                return False
            if peer_holding["group"] != self.holding["group"]:
                return False
        return True

    async def _stream_reports(self, reply):
        reply.start(200, {"Content-Type": "application/jsonl"})
        members_sent = None
        while self.up:
            if not self.are_reports_paused:
                added_blocks, self._added_blocks = self._added_blocks[-64:], []
                report = {
                    **self.report(),
                    "cache_added": added_blocks,
                    "cache_blocks": self.fleet.timing.cached_blocks,
                }
                if report["members_up"] == members_sent:
                    del report["members_up"]
                else:
                    members_sent = report["members_up"]
                await reply.data(json.dumps(report).encode() + b"\n")
            await asyncio.sleep(REPORT_INTERVAL_S)
        raise AbandonConnection

    async def _serve_completion(self, request, reply):
        headers = {name.lower(): value for name, value in request.headers.items()}
        expected_generation = headers.get("x-generation")
        group = self.holding["group"] if self.holding else ""
        generation = self.holding["generation"] if self.holding else 0
        if self.holding:
            request_id = headers.get("x-request-id", "")
            self._record_event("arrive", request_id, self.holding["members"])
        if not self._is_group_complete() or expected_generation not in (
            None,
            f"{group}/{generation}",
        ):
            await self._answer(reply, 409, {"reason": "not serving this generation"})
            return
        body = json.loads(request.body)
        prompt = prompt_text(body)
        offset = int(headers.get("x-resume-from", 0))
        count = int(body.get("max_tokens", 16))
        members = self.holding["members"]
        self._record_event("start", headers.get("x-request-id", ""), members)
        await self._wait_for_slot(headers.get("x-priority", "interactive"))
        try:
            await self._prefill(prompt)
            reply.start(
                200,
                {
                    "Content-Type": "text/event-stream",
                    "X-Generation": f"{group}/{generation}",
                },
            )
            for index in range(offset, count):
                await self._step(members)
                self.events_sent += 1
                await reply.data(_event(prompt, index, group))
                await self._inject_fault(reply, prompt, index, group)
            await reply.data(_end_event(count))
        finally:
            self._release_slot()
        self._record_event("finish", headers.get("x-request-id", ""), members)

    async def _inject_fault(self, reply, prompt, index, group):
        """Break the protocol after the second token, as ``answer_fault`` says."""
        if index != 1:
            return
        match self.answer_fault:
            case "closes after 2 tokens":
                raise AbandonConnection
            case "sends garbage":
                await reply.data(b"id: x\ndata: {\n\n")
            case "repeats a token":
                await reply.data(_event(prompt, index, group))
            case "falls silent":
                await asyncio.sleep(SILENCE_S)

    async def _step(self, members):
        timing = self.fleet.timing
        await asyncio.sleep(timing.step_s * self.slow_factor)
        if not self.up:
            raise AbandonConnection
        if self.fleet.missing_members(members):
            await asyncio.sleep(timing.member_loss_detection_s)
            raise AbandonConnection

    async def _prefill(self, prompt):
        blocks = prefix_blocks(prompt)
        cached = 0
        for block in blocks:
            if block not in self._cached_blocks:
                break
            cached += 1
        self._cache_blocks(blocks)
        new_characters = max(0, len(prompt) - cached * BLOCK_CHARACTERS)
        rate = self.fleet.timing.prefill_characters_per_s
        await asyncio.sleep(new_characters / rate * self.slow_factor)

    def _cache_blocks(self, blocks):
        for block in blocks:
            if block in self._cached_blocks:
                del self._cached_blocks[block]
            else:
                self._added_blocks.append(block)
            self._cached_blocks[block] = True
        while len(self._cached_blocks) > self.fleet.timing.cached_blocks:
            del self._cached_blocks[next(iter(self._cached_blocks))]

    async def _wait_for_slot(self, priority):
        if self._running < self.fleet.timing.max_running:
            self._running += 1
            return
        slot_granted = asyncio.get_running_loop().create_future()
        entry = (priority, slot_granted)
        self._waiting.append(entry)
        try:
            await slot_granted
        except asyncio.CancelledError:
            if entry in self._waiting:
                self._waiting.remove(entry)
            elif slot_granted.done() and not slot_granted.cancelled():
                self._release_slot()
            raise

    def _release_slot(self):
        if not self._waiting:
            self._running = max(0, self._running - 1)
            return
        entry = next((e for e in self._waiting if e[0] == "interactive"), None)
        entry = entry or self._waiting[0]
        self._waiting.remove(entry)
        if not entry[1].done():
            entry[1].set_result(None)

    def _record_event(self, event, request_id, members):
        now = asyncio.get_running_loop().time()
        holding = self.holding or {"group": "", "generation": 0}
        missing = self.fleet.missing_members(members)
        missing_s = self.fleet.missing_s(missing)
        self.fleet.request_events.append(
            RequestEvent(
                now,
                event,
                self.vm.id,
                holding["group"],
                holding["generation"],
                request_id,
                missing,
                missing_s,
            )
        )

    async def _answer(self, reply, status, data):
        body = json.dumps(data).encode()
        reply.start(status, {"Content-Length": str(len(body))})
        await reply.data(body)


def make_vms(*, region, zones, domains_per_zone, vms_per_domain, host, first_port):
    """Return VMs spread evenly over zones and fabric domains.

    Each VM has its own port of ``host``, from ``first_port`` upwards.
    """
    vms = []
    for zone in zones:
        for domain in range(domains_per_zone):
            for index in range(vms_per_domain):
                port = first_port + len(vms)
                vms.append(
                    Vm(
                        id=f"{zone}-f{domain}-{index}",
                        incarnation=1,
                        address=f"{host}:{port}",
                        region=region,
                        availability_zone=zone,
                        fabric_domain=f"{zone}-f{domain}",
                    )
                )
    return vms


def _event(prompt, index, group):
    data = {
        "object": "text_completion",
        "choices": [{"index": 0, "text": token(prompt, index)}],
        "system_fingerprint": group,
    }
    return f"id: {index}\ndata: {json.dumps(data)}\n\n".encode()


def _end_event(count):
    data = {
        "object": "text_completion",
        "choices": [{"index": 0, "text": "", "finish_reason": "stop"}],
        "usage": {"completion_tokens": count},
    }
    return f"id: {count}\ndata: {json.dumps(data)}\n\ndata: [DONE]\n\n".encode()


def _with_changes(vm, **changes):
    return Vm(**{**dump(vm), **changes})
