"""A stand-in of a model replica: groups and orders as the users' pages say."""

import asyncio
import json

from world import Replica, encode_answer, read_message

ENGINE = {
    "slots": 13, "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488,
    "read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 2048, "stride": 5,
    "loadsPerS": 4.0, "loads_at_once": 6, "formMs": 300.0, "stallMs": 4000,
    "models": [
        {"name": "m0", "size": 4, "share": 0.67, "pace": 1.0, "loadS": 16.0,
         "warmS": 1.6},
        {"name": "m1", "size": 2, "share": 0.33, "pace": 0.6, "loadS": 12.0,
         "warmS": 1.1},
    ],
}  # fmt: skip


class ModelReplica(Replica):
    """One replica of a model service. Loads take a tenth, as before first requests.

    `broken_rules` of the class has each join of another group while the head of the
    replica's group is open or closing (rule TWO).
    """

    peers = {}
    broken_rules = []

    def __init__(self, store, record, id_, host, zone, domain):
        super().__init__(store, record, id_, host, zone, "redacteur")
        self.domain = domain
        self.staged = []
        self.group = None
        self.orders = 0
        self._fence = 0
        self._highest_epoch = 0
        self._last_model = None
        self.peers[id_] = self

    def entry(self):
        entry = {
            "service": self.service, "addr": f"{self.host}:8120", "zone": self.zone,
            "version": "v1", "slots": ENGINE["slots"], "state": self.state,
            "coldLeftMs": 0, "seq": self.seq, "born": self.born,
            "domain": self.domain, "staged": list(self.staged), "models": [],
        }  # fmt: skip
        if self.group is not None:
            entry["group"] = {
                name: self.group[name] for name in ("name", "epoch", "rank", "state")
            }
        return entry

    def publish(self):
        if not self.store.is_away:
            self.store.put("servers", self.id, self.entry())

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                path = line.split(" ")[1]
                expected = headers.get("x-pimentogap-expect-replica", self.id)
                if expected != self.id:
                    answer = encode_answer(421, {"X-Pimentogap-Replica-Id": self.id})
                elif path == "/api/order":
                    order = json.loads(body)
                    status = self._carry_out(order)
                    self.record(
                        f"{self.id} {order['operation']} {order.get('group', '')} "
                        f"fence {order.get('fenceToken')}: {status}"
                    )
                    answer = encode_answer(status, {}, b"{}")
                elif path == "/api/report":
                    report = self.entry() | {"busy": False, "queued": 0, "running": 0}
                    answer = encode_answer(200, {}, json.dumps(report).encode())
                elif path == "/health":
                    answer = encode_answer(200, {"X-Pimentogap-Replica-Id": self.id})
                else:
                    answer = encode_answer(503, {"X-Pimentogap-Not-Executed": "1"})
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _carry_out(self, order):
        fence = order.get("fenceToken", 0)
        if fence < self._fence:
            return 412
        self._fence = fence
        match order["operation"]:
            case "join":
                return self._join(order)
            case "open":
                return self._open(order)
            case "close":
                return self._close(order)
            case "leave":
                if self._is_in(order):
                    self._begin(None)
                    return 202
                return 200
            case "stage":
                if order["model"] in self.staged:
                    return 200
                self._later(self._model(order["model"])["loadS"] / 10, order["model"])
                return 202
        return 400

    def _join(self, order):
        members = tuple(order["members"])
        if self._is_in(order):
            return 200 if self.group["members"] == members else 412
        if order["epoch"] < self._highest_epoch:
            return 412
        self._check_two(order)
        self._highest_epoch = order["epoch"]
        group = {
            "name": order["group"], "epoch": order["epoch"], "state": "joining",
            "rank": members.index(self.id), "members": members,
        }  # fmt: skip
        self._begin(group)
        model = self._model(order["model"])
        wait_s = model["loadS"] / 10
        if self._last_model == order["model"]:
            wait_s = 0.2
        elif order["model"] in self.staged:
            wait_s = model["warmS"]
        self._later(wait_s, order["model"], group)
        return 202

    def _check_two(self, order):
        if self.group is None:
            return
        head = self.peers[self.group["members"][0]]
        if head.group is None or head.group["name"] != self.group["name"]:
            return
        if head.group["state"] in ("open", "closing"):
            text = (
                f"{self.id} took a join of {order['group']} while {head.id}, the head "
                f"of its group {self.group['name']}, was {head.group['state']}"
            )
            self.record(f"TWO: {text}")
            self.broken_rules.append(text)

    def _open(self, order):
        if not self._is_in(order) or self.group["rank"]:
            return 409
        if self.group["state"] == "open":
            return 200
        if self.group["state"] != "ready":
            return 409
        group = self.group

        async def form():
            await asyncio.sleep(ENGINE["formMs"] / 1000)
            if self.group is group and group["state"] == "ready":
                self._change("open")

        self._task(form())
        return 202

    def _close(self, order):
        if not self._is_in(order):
            return 409
        if self.group["state"] != "open":
            return 200
        self._change("ready")
        return 202

    def _is_in(self, order):
        group = self.group
        return group is not None and (group["name"], group["epoch"]) == (
            order["group"],
            order["epoch"],
        )

    def _begin(self, group):
        self.group = group
        self.seq += 1
        self.publish()

    def _change(self, state):
        self.group["state"] = state
        self.seq += 1
        self.publish()

    def _later(self, wait_s, model, group=None):
        async def end():
            await asyncio.sleep(wait_s)
            self.staged = [model]
            if group is not None and self.group is group:
                self._last_model = model
                self._change("ready")
            else:
                self.publish()

        self._task(end())

    def _task(self, coroutine):
        self._tasks = getattr(self, "_tasks", set())
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _model(self, name):
        return next(model for model in ENGINE["models"] if model["name"] == name)
