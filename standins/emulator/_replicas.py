"""A model replica of the platform: groups, orders, batches and streams."""

import asyncio
import json
import math
import random

from standins._network import AbandonConnection, split_path
from standins.emulator._serving import ModelServer, answer

REJOIN_SAME_MODEL_S = 0.2
# Multiplies the load time until the first request runs.
INITIAL_LOAD_FACTOR = 0.1
PUBLISH_LAG_S = 0.05
CLOSING_CHECK_INTERVAL_S = 0.05
# Longer than any client waits for an answer.
SILENCE_S = 3600.0
CRASHED_FOR_S = 3.0
HEARTBEAT_S = 1.2


class Place:
    """A replica's membership of a group: epoch, rank, state and all member ids."""

    __slots__ = ("group", "epoch", "rank", "state", "model", "members")

    def __init__(self, order, replica_id):
        self.group = order["group"]
        self.epoch = order["epoch"]
        self.rank = order["members"].index(replica_id)
        self.state = "joining"
        self.model = order["model"]
        self.members = tuple(order["members"])


class ModelReplica:
    """One model replica, with faults that can be set at any time.

    While ``is_silent`` is set, no request is answered and the replica's entry is not
    updated. ``cut_from_store`` stops the updates only. ``late_order_share`` is the
    share of orders, from 0 to 1, that are applied some seconds late and never answered.
    ``order_delays_s`` maps an operation to the seconds by which its orders are
    delayed. ``slow_factor`` multiplies the time that any work of the replica's group
    takes. After ``trickles_after`` events, if that is set, a stream goes on with a
    part of an event each 0.1 s and never completes it. A request with
    one of the ``deadly_parts`` in its prompt crashes the replica when it begins to run;
    while ``is_down``, until the replica is back, nothing listens on its address.
    ``limit_text`` is what its answers name as the requests a second that it takes;
    while ``says_leaving`` is set, they say that it leaves. Until ``cold_until`` it
    crashes if more than ``cold_bound`` requests arrive within a second.
    """

    __slots__ = (
        "id",
        "service",
        "address",
        "zone",
        "domain",
        "born",
        "seq",
        "state",
        "place",
        "staged",
        "is_silent",
        "cut_from_store",
        "late_order_share",
        "order_delays_s",
        "slow_factor",
        "trickles_after",
        "deadly_parts",
        "limit_text",
        "says_leaving",
        "is_down",
        "cold_until",
        "cold_bound",
        "_cold_arrivals",
        "running",
        "slots",
        "_store",
        "engine",
        "records",
        "peers_by_id",
        "_highest_epoch",
        "_fence",
        "_last_model",
        "crashed",
        "_tasks",
        "_random",
        "_server",
    )

    def __init__(
        self,
        *,
        id_,
        service,
        address,
        zone,
        domain,
        engine,
        store,
        records,
        peers,
        seed,
    ):
        """Create a replica that has just started, and publish its entry.

        :param engine: the ``engine`` part of the service's configuration.
        :param peers: every `ModelReplica` of the service by id; the new replica
            adds itself.
        """
        self.id = id_
        self.service = service
        self.address = address
        self.zone = zone
        self.domain = domain
        self.is_silent = False
        self.cut_from_store = False
        self.late_order_share = 0.0
        self.order_delays_s = {}
        self.slow_factor = 1.0
        self.trickles_after = None
        self.deadly_parts = ()
        self.limit_text = None
        self.says_leaving = False
        self.is_down = False
        self.cold_until = -math.inf
        self.cold_bound = math.inf
        self._cold_arrivals = []
        self.slots = engine["slots"]
        self.staged = []
        self._store = store
        self.engine = engine
        self.records = records
        self.peers_by_id = peers
        self.crashed = asyncio.Event()
        self._tasks = set()
        self._random = random.Random(f"{id_}-{seed}")
        self._server = ModelServer(self)
        peers[id_] = self
        self.born = 0
        self.restart()

    def restart(self):
        """Restart under the same id with ``born`` one higher, in no group.

        Only the staged weights and the faults outlast the restart.
        """
        self.stop_tasks()
        self.is_down = False
        self.born += 1
        self.seq = 0
        self.state = "ready"
        self.place = None
        self.running = 0
        self._highest_epoch = 0
        self._fence = 0
        self._last_model = None
        self.publish()

    def leave(self, *, silently=False):
        """Report that the replica is draining, or only begin to, ``silently``."""
        self.state = "draining"
        self.cut_from_store = silently
        self.publish()

    def exit(self):
        """End the process; nothing is answered until it starts again."""
        self.stop_tasks()
        self.is_down = True
        self.place = None

    def crash(self, *, down_s=CRASHED_FOR_S):
        """End every request and order at once, and restart ``down_s`` seconds later."""
        self.stop_tasks()
        self.crashed.set()
        self.crashed = asyncio.Event()
        self.is_down = True
        self.place = None
        self._start_task(self._restart_after(down_s))

    async def _restart_after(self, down_s):
        await asyncio.sleep(down_s)
        # This task must not cancel itself, as `restart` would.
        self._tasks.discard(asyncio.current_task())
        self.restart()

    def stop_tasks(self):
        """Cancel all loads and orders in progress."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()

    def publish(self):
        """Write the replica's entry to the store, if the store can be reached."""
        if not self.cut_from_store and not self.is_silent and not self.is_down:
            self._store.put("servers", self.id, self.entry())

    def become_cold(self, seconds, bound):
        """Be cold for ``seconds``, in which no second may have over ``bound`` requests.

        The entry says so now, and again with each heartbeat.
        """
        now = asyncio.get_running_loop().time()
        self.cold_until, self.cold_bound = now + seconds, bound
        self._cold_arrivals.clear()
        self._start_task(self._publish_while_cold())

    async def _publish_while_cold(self):
        while self._cold_left_ms():
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)
        self.publish()

    def _cold_left_ms(self):
        if math.isinf(self.cold_until):
            return 0
        left_s = self.cold_until - asyncio.get_running_loop().time()
        return round(1000 * max(0.0, left_s))

    def record_arrival(self):
        """Count a request; return whether it is too much for a cold replica."""
        now = asyncio.get_running_loop().time()
        if now >= self.cold_until:
            return False
        recent = [at for at in self._cold_arrivals if at > now - 1.0]
        self._cold_arrivals = [*recent, now]
        return len(self._cold_arrivals) > self.cold_bound

    def entry(self):
        """Return the replica's entry in the platform's list of servers."""
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": self._cold_left_ms(),
            "born": self.born,
            "domain": self.domain,
            "staged": list(self.staged),
            "models": [],
            "seq": self.seq,
        }
        if self.place is not None:
            entry["group"] = {
                "name": self.place.group,
                "epoch": self.place.epoch,
                "rank": self.place.rank,
                "state": self.place.state,
            }
        return entry

    async def handle(self, request, reply, source=""):
        """Answer one HTTP request: a report, an order or a request for the model."""
        if self.is_silent:
            await asyncio.sleep(SILENCE_S)
        if self.is_down:
            raise AbandonConnection
        path, _ = split_path(request)
        headers = {name.lower(): value for name, value in request.headers.items()}
        expected = headers.get("x-pimentogap-expect-replica", self.id)
        if expected != self.id:
            await answer(reply, 421, {}, {"X-Pimentogap-Replica-Id": self.id})
        elif path == "/api/report":
            await answer(reply, 200, self._report())
        elif path == "/health":
            await answer(reply, 200 if self.state == "ready" else 503, {})
        elif path == "/api/order":
            await self._handle_order(json.loads(request.body), reply)
        else:
            await self._server.serve(headers, reply)

    def _report(self):
        report = self.entry()
        report["pace"] = self.slow_factor
        report["running"] = self.running
        return report

    async def _handle_order(self, order, reply):
        if self._random.random() < self.late_order_share:
            self._start_task(self._apply_order_late(order))
            await asyncio.sleep(SILENCE_S)
        # Orders on other connections can overtake a delayed one.
        await asyncio.sleep(self.order_delays_s.get(order["operation"], 0.0))
        await answer(reply, self._apply_order(order), {})

    async def _apply_order_late(self, order):
        await asyncio.sleep(self._random.uniform(2.0, 12.0))
        self._apply_order(order)

    def _apply_order(self, order):
        fence = order.get("fenceToken", 0)
        if fence < self._fence:
            self.records.stale_fences += 1
            return 412
        self._fence = fence
        if order.get("expectedRev", self.seq) != self.seq:
            return 409
        match order["operation"]:
            case "join":
                return self._join(order)
            case "open":
                return self._open(order)
            case "close":
                return self._close(order)
            case "leave":
                return self._leave(order)
            case "stage":
                return self._stage(order)
        return 400

    def _join(self, order):
        place = self.place
        if place is not None and (place.group, place.epoch) == (
            order["group"],
            order["epoch"],
        ):
            return 200 if place.members == tuple(order["members"]) else 412
        if order["epoch"] < self._highest_epoch:
            return 412
        self._record_if_in_two_groups(order)
        self._highest_epoch = order["epoch"]
        self.place = Place(order, self.id)
        self._advance_seq()
        self._start_task(self._load_model(self.place))
        return 202

    def _record_if_in_two_groups(self, order):
        """Record a join while the head of the current group still serves or closes."""
        place = self.place
        if place is None:
            return
        head = self.peers_by_id.get(place.members[0])
        if head is None or head.is_silent or head.place is None:
            return
        is_same_group = (head.place.group, head.place.epoch) == (
            place.group,
            place.epoch,
        )
        if is_same_group and head.place.state in ("open", "closing"):
            self.records.replicas_in_two_groups.append(
                (self.id, place.group, order["group"])
            )

    async def _load_model(self, place):
        model = self.model(place.model)
        if self._last_model == place.model:
            await asyncio.sleep(REJOIN_SAME_MODEL_S)
        elif place.model in self.staged:
            await asyncio.sleep(model["warmS"])
        else:
            await self._load_weights(model)
        if self.place is place:
            place.state = "ready"
            self._last_model = place.model
            membership = (self.id, place.group, place.epoch, place.members)
            self.records.ready_members.add(membership)
            self.publish()

    def _open(self, order):
        place = self._place_if_current(order)
        if place is None or place.rank or place.state not in ("ready", "open"):
            return 409
        if place.state == "open":
            return 200
        self._advance_seq()
        self._start_task(self._form_group(place))
        return 202

    async def _form_group(self, place):
        await asyncio.sleep(self.engine["formMs"] / 1000)
        if self.place is place and place.state == "ready":
            place.state = "open"
            self.publish()

    def _close(self, order):
        place = self._place_if_current(order)
        if place is None:
            return 409
        if place.state != "open":
            return 200
        place.state = "closing" if order.get("closeMode") == "queue" else "ready"
        self._advance_seq()
        if place.state == "closing":
            self._start_task(self._finish_closing(place))
        return 202

    async def _finish_closing(self, place):
        """Return to ready once the requests that run have ended."""
        while self.running and self.place is place:
            await asyncio.sleep(CLOSING_CHECK_INTERVAL_S)
        if self.place is place:
            place.state = "ready"
            self.publish()

    def _leave(self, order):
        if self._place_if_current(order) is None:
            return 200
        self.place = None
        self._advance_seq()
        return 202

    def _stage(self, order):
        if order["model"] in self.staged:
            return 200
        self._advance_seq()
        self._start_task(self._load_onto_host(order["model"]))
        return 202

    async def _load_onto_host(self, model):
        await self._load_weights(self.model(model))
        self.publish()

    async def _load_weights(self, model):
        """Load from the weight store, which all loads in progress share.

        Until the first request runs, a load is not recorded and is much shorter, so
        that a fleet starts quickly.
        """
        records = self.records
        if records.runs:
            records.loads.append(asyncio.get_running_loop().time())
            records.loads_in_progress += 1
            records.max_concurrent_loads = max(
                records.max_concurrent_loads, records.loads_in_progress
            )
            contention = records.loads_in_progress / self.engine["loads_at_once"]
            try:
                await asyncio.sleep(model["loadS"] * max(1.0, contention))
            finally:
                records.loads_in_progress -= 1
        else:
            await asyncio.sleep(model["loadS"] * INITIAL_LOAD_FACTOR)
        self.staged = [model["name"]]

    def _place_if_current(self, order):
        place = self.place
        if place is None or (place.group, place.epoch) != (
            order["group"],
            order["epoch"],
        ):
            return None
        return place

    def _advance_seq(self):
        self.seq += 1
        self.publish()

    def model(self, name):
        """Return the configured model called ``name``."""
        return next(m for m in self.engine["models"] if m["name"] == name)

    def _start_task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
