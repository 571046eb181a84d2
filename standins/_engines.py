"""A stand-in for model engines that span several VMs."""

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
SILENCE_S = 3600.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineTiming:
    """How fast a stand-in engine is."""

    prefill_characters_per_s: float = 40000.0
    step_s: float = 0.02
    max_running: int = 16
    cached_blocks: int = 2000
    weights_bytes_per_vm: float = 1e9
    member_loss_notice_s: float = 0.2


class WeightStore:
    """Weights at a bounded rate that all loads under way share."""

    __slots__ = ("bytes_per_s", "loading", "most_loading")

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.loading = 0
        self.most_loading = 0

    async def load(self, size_bytes):
        """Wait until ``size_bytes`` have been read."""
        self.loading += 1
        self.most_loading = max(self.most_loading, self.loading)
        try:
            while size_bytes > 0:
                await asyncio.sleep(LOAD_STEP_S)
                size_bytes -= LOAD_STEP_S * self.bytes_per_s / self.loading
        finally:
            self.loading -= 1


@dataclass(frozen=True, slots=True)
class Served:
    """A stand-in's own record of one request that arrived, began or finished.

    ``missing_s`` is how long the VM that was lost first had been missing.
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
    """The engines of every VM, with the record that tests judge by."""

    __slots__ = (
        "engines_by_vm",
        "record",
        "weight_store",
        "timing",
        "on_change",
        "double_holdings",
        "_down_since_by_vm",
    )

    def __init__(self, *, timing=None, weight_store=None):
        self.engines_by_vm = {}
        self.record = []
        self.timing = timing or EngineTiming()
        self.weight_store = weight_store or WeightStore(20e9)
        self.on_change = lambda vms: None
        self.double_holdings = []
        self._down_since_by_vm = {}

    def add(self, vm, *, checks_fencing_number=True):
        """Add the engine of ``vm``, up and idle."""
        engine = Engine(self, vm, checks_fencing_number)
        self.engines_by_vm[vm.id] = engine
        return engine

    def publish(self):
        """Tell the platform's list which VMs are up or leaving."""
        self.on_change(
            dump(engine.vm) for engine in self.engines_by_vm.values() if engine.up
        )

    def kill(self, vm_id):
        """End a VM at once; whatever group it was in dies with it."""
        engine = self.engines_by_vm[vm_id]
        engine.up = False
        self._down_since_by_vm[vm_id] = asyncio.get_running_loop().time()
        engine.reset()
        self.publish()

    def restart(self, vm_id):
        """Bring a VM back, idle, as a new incarnation."""
        engine = self.engines_by_vm[vm_id]
        if engine.up:
            self._down_since_by_vm[vm_id] = asyncio.get_running_loop().time()
        engine.vm = _changed(
            engine.vm, incarnation=engine.vm.incarnation + 1, state=VmState.LIVE
        )
        engine.reset()
        engine.up = True
        self.publish()

    def leave(self, vm_id):
        """Show a VM as leaving; it goes on working until it is killed."""
        engine = self.engines_by_vm[vm_id]
        engine.vm = _changed(engine.vm, state=VmState.LEAVING)
        self.publish()

    def missing_s(self, missing_vms):
        """Return how long the VM that was lost first has been missing."""
        now = asyncio.get_running_loop().time()
        return max(
            (now - self._down_since_by_vm[vm] for vm in missing_vms), default=0.0
        )

    def missing(self, members):
        """Return the members that are not up in the incarnation named."""
        return tuple(
            member["id"]
            for member in members
            if not self.engines_by_vm[member["id"]].is_up_as(member)
        )


class Engine:
    """The engine of one VM; as the head of a group it serves the group's requests."""

    __slots__ = (
        "fleet",
        "vm",
        "up",
        "frozen",
        "checks_fencing_number",
        "fence",
        "holding",
        "ready",
        "orders_taken",
        "slow_factor",
        "misbehaviour",
        "events_sent",
        "_running",
        "_waiting",
        "_blocks",
        "_events",
        "_load_task",
        "_cached_weights",
    )

    def __init__(self, fleet, vm, checks_fencing_number):
        self.fleet = fleet
        self.vm = vm
        self.up = True
        self.frozen = False
        self.checks_fencing_number = checks_fencing_number
        self.orders_taken = []
        self.slow_factor = 1.0
        self.misbehaviour = None
        self.events_sent = 0
        self._load_task = None
        self.reset()

    def reset(self):
        """Forget everything, as a restart does."""
        self.fence = 0
        self.holding = None
        self.ready = False
        self._running = 0
        self._waiting = []
        self._blocks = {}
        self._events = []
        self._cached_weights = None
        if self._load_task is not None:
            self._load_task.cancel()
            self._load_task = None

    def is_up_as(self, member):
        """Return whether the VM is up in the incarnation that ``member`` names."""
        return self.up and self.vm.incarnation == member["incarnation"]

    async def handle(self, request, reply):
        """Answer one HTTP request of the engine API."""
        if not self.up:
            raise AbandonConnection
        path, _ = split_path(request)
        match request.method, path:
            case "POST", "/v1/orders":
                await self._answer(reply, *self.take_order(json.loads(request.body)))
            case "GET", "/v1/holding":
                await self._answer(reply, 200, self.report())
            case "GET", "/v1/reports":
                await self._stream_reports(reply)
            case "POST", "/v1/completions" | "/v1/chat/completions":
                await self._complete(request, reply)
            case "POST", "/v1/cache/export":
                await self._answer(reply, 200, {"blocks": list(self._blocks)})
            case "POST", "/v1/cache/import":
                self._remember(json.loads(request.body)["blocks"])
                await self._answer(reply, 200, {})
            case _:
                await self._answer(reply, 404, {})

    def take_order(self, order):
        """Carry out ``order`` unless its fencing number is old and this kind checks."""
        if self.checks_fencing_number and order["fence"] < self.fence:
            return 409, {"reason": "old fencing number", "fence": self.fence}
        self.fence = max(self.fence, order["fence"])
        self.orders_taken.append(order)
        if order["order"] == "release":
            self._drop()
            return 200, self.report()
        if self.holding is not None and self.holding["group"] != order["group"]:
            self.fleet.double_holdings.append((self.vm.id, self.holding, order))
        if self.holding != order:
            self._drop()
            self.holding = order
            self._load_task = asyncio.ensure_future(self._load())
        return 200, self.report()

    def _drop(self):
        if self._load_task is not None:
            self._load_task.cancel()
        self.holding = None
        self.ready = False

    async def _load(self):
        weights = f"{self.holding['model']}/{self.holding['version']}"
        if self._cached_weights != weights:
            await self.fleet.weight_store.load(self.fleet.timing.weights_bytes_per_vm)
        self._cached_weights = weights
        self.ready = True

    def report(self):
        """Return what the engine says of itself and of its group."""
        holding = self.holding or {}
        members = holding.get("members", [])
        return {
            "vm": self.vm.id,
            "incarnation": self.vm.incarnation,
            "group": holding.get("group"),
            "generation": holding.get("generation", 0),
            "model": holding.get("model"),
            "version": holding.get("version"),
            "ready": self._complete_group(),
            "loaded": self.ready,
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

    def _complete_group(self):
        if self.holding is None:
            return False
        for member in self.holding["members"]:
            peer = self.fleet.engines_by_vm[member["id"]]
            held = peer.holding
            if not (peer.is_up_as(member) and peer.ready and held is not None):
                return False
            if held["generation"] != self.holding["generation"]:
                return False
            if held["group"] != self.holding["group"]:
                return False
        return True

    async def _stream_reports(self, reply):
        reply.start(200, {"Content-Type": "application/jsonl"})
        members_sent = None
        while self.up:
            if not self.frozen:
                events, self._events = self._events[-64:], []
                report = {
                    **self.report(),
                    "cache_added": events,
                    "cache_blocks": self.fleet.timing.cached_blocks,
                }
                if report["members_up"] == members_sent:
                    del report["members_up"]
                else:
                    members_sent = report["members_up"]
                await reply.data(json.dumps(report).encode() + b"\n")
            await asyncio.sleep(REPORT_INTERVAL_S)
        raise AbandonConnection

    async def _complete(self, request, reply):
        headers = {name.lower(): value for name, value in request.headers.items()}
        wanted = headers.get("x-generation")
        group = self.holding["group"] if self.holding else ""
        generation = self.holding["generation"] if self.holding else 0
        if self.holding:
            request_id = headers.get("x-request-id", "")
            self._note("arrive", request_id, self.holding["members"])
        if not self._complete_group() or wanted not in (None, f"{group}/{generation}"):
            await self._answer(reply, 409, {"reason": "not serving this generation"})
            return
        body = json.loads(request.body)
        prompt = prompt_text(body)
        offset = int(headers.get("x-resume-from", 0))
        count = int(body.get("max_tokens", 16))
        members = self.holding["members"]
        self._note("start", headers.get("x-request-id", ""), members)
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
                await self._misbehave(reply, prompt, index, group)
            await reply.data(_end_event(count))
        finally:
            self._leave_slot()
        self._note("finish", headers.get("x-request-id", ""), members)

    async def _misbehave(self, reply, prompt, index, group):
        """Do what an engine must not, after the second token."""
        if index != 1:
            return
        match self.misbehaviour:
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
        if self.fleet.missing(members):
            await asyncio.sleep(timing.member_loss_notice_s)
            raise AbandonConnection

    async def _prefill(self, prompt):
        blocks = prefix_blocks(prompt)
        cached = 0
        for block in blocks:
            if block not in self._blocks:
                break
            cached += 1
        self._remember(blocks)
        new_characters = max(0, len(prompt) - cached * BLOCK_CHARACTERS)
        rate = self.fleet.timing.prefill_characters_per_s
        await asyncio.sleep(new_characters / rate * self.slow_factor)

    def _remember(self, blocks):
        for block in blocks:
            if block in self._blocks:
                del self._blocks[block]
            else:
                self._events.append(block)
            self._blocks[block] = True
        while len(self._blocks) > self.fleet.timing.cached_blocks:
            del self._blocks[next(iter(self._blocks))]

    async def _wait_for_slot(self, priority):
        if self._running < self.fleet.timing.max_running:
            self._running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        entry = (priority, turn)
        self._waiting.append(entry)
        try:
            await turn
        except asyncio.CancelledError:
            if entry in self._waiting:
                self._waiting.remove(entry)
            elif turn.done() and not turn.cancelled():
                self._leave_slot()
            raise

    def _leave_slot(self):
        if not self._waiting:
            self._running = max(0, self._running - 1)
            return
        entry = next((e for e in self._waiting if e[0] == "interactive"), None)
        entry = entry or self._waiting[0]
        self._waiting.remove(entry)
        if not entry[1].done():
            entry[1].set_result(None)

    def _note(self, event, digest, members):
        now = asyncio.get_running_loop().time()
        holding = self.holding or {"group": "", "generation": 0}
        missing = self.fleet.missing(members)
        missing_s = self.fleet.missing_s(missing)
        self.fleet.record.append(
            Served(
                now,
                event,
                self.vm.id,
                holding["group"],
                holding["generation"],
                digest,
                missing,
                missing_s,
            )
        )

    async def _answer(self, reply, status, data):
        body = json.dumps(data).encode()
        reply.start(status, {"Content-Length": str(len(body))})
        await reply.data(body)


def make_vms(*, region, zones, domains_per_zone, vms_per_domain, host, first_port):
    """Return VMs laid out evenly over zones and fabric domains."""
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


def _changed(vm, **changes):
    return Vm(**{**dump(vm), **changes})
