"""Replicas of a model service for the test bed: groups, orders, reports and streams."""

import asyncio
import json
import time

from bed import BEAT_S, Replica, Server, encode_answer, route

JOIN_S = 0.3
OPEN_S = 0.3
EVENTS = 10


class EngineReplica(Replica):
    """A replica that can be a member of a model group.

    ``is_deadly(parts)`` says whether it crashes when it begins to write an answer to a
    prompt with these shared parts; it is back ``DOWN_S`` later, without a group.
    """

    DOWN_S = 2.0

    def __init__(self, *args, domain, model, **kwargs):
        super().__init__(*args, **kwargs)
        self.domain, self.model = domain, model
        self.group = None
        self.staged = [model]
        self.fence = 0
        self.seq = 0
        self.highest_epoch = 0
        self.is_down = False
        self.is_deadly = lambda parts: False
        self.crashes = []

    def entry(self, seq):
        return super().entry(seq) | self._engine_fields()

    def _engine_fields(self):
        fields = {
            "domain": self.domain,
            "stage": "unified",
            "staged": list(self.staged),
            "models": [],
        }
        if self.group is not None:
            names = ("name", "epoch", "rank", "state")
            fields["group"] = {name: self.group[name] for name in names}
            if self.group["state"] != "joining":
                model = {"name": self.model, "version": 1, "adapters": []}
                fields["models"] = [model]
        return fields

    def publish(self):
        if not self.is_cut and not self.is_down:
            self.bed.store.put("servers", self.id, self.entry(int(time.time() * 1000)))

    async def answer(self, method, target, headers, body, peer):
        if headers.get("x-pimentogap-expect-replica", self.id) != self.id:
            return encode_answer(421, {"X-Pimentogap-Replica-Id": self.id})
        if target == "/api/report":
            report = self._engine_fields() | {
                "busy": False,
                "seq": self.seq,
                "queued": 0,
                "running": self.running,
                "kvUsed": 0,
                "kvTotal": 700000,
                "handles": 0,
                "pace": 1.0,
                "born": self.born,
            }
            return encode_answer(200, {}, json.dumps(report).encode())
        if target == "/api/order":
            status = self._order(json.loads(body))
            return encode_answer(status, {})
        if not headers.get("x-pimentogap-attempt-id"):
            return encode_answer(200, {"X-Pimentogap-Replica-Id": self.id})
        return await self._request(headers)

    def _order(self, order):
        fence = order.get("fenceToken", 0)
        if fence < self.fence:
            return 412
        self.fence = fence
        operation, group = order["operation"], self.group
        if operation == "stage":
            return 200
        key = order["group"], order["epoch"]
        is_own = group is not None and (group["name"], group["epoch"]) == key
        if operation == "join":
            if order["epoch"] < self.highest_epoch:
                return 412
            if is_own:
                return 200
            self.highest_epoch = order["epoch"]
            rank = order["members"].index(self.id)
            self.group = {"name": key[0], "epoch": key[1], "rank": rank}
            self._change(self.group, "joining", "ready", JOIN_S)
        elif not is_own:
            return 409
        elif operation == "leave":
            self.group = None
            self.publish()
        elif operation == "open":
            if group["state"] != "ready" or group["rank"]:
                return 200 if group["state"] == "open" else 409
            self._change(group, "ready", "open", OPEN_S)
        elif operation == "close":
            group["state"] = "ready"
            self.publish()
        self.seq += 1
        return 202

    def _change(self, group, before, after, delay_s):
        group["state"] = before
        self.publish()

        def change():
            if self.group is group and group["state"] == before:
                group["state"] = after
                self.publish()

        asyncio.get_running_loop().call_later(delay_s, change)

    async def _request(self, headers):
        id_ = headers["x-pimentogap-attempt-id"]
        record, group = self.bed.record, self.group
        machine = self.bed.machine_by_id.get(id_, "-")
        if group is None or group["rank"] or group["state"] != "open":
            return encode_answer(421, {"X-Pimentogap-Attempt-Id": id_})
        prefix = headers.get("x-pimentogap-prompt-prefix", "")
        parts = [entry.partition(":")[0] for entry in prefix.split(",")[:-1]]
        self.arrivals.append((record.now(), machine, id_))
        record.write("arrives", replica=self.id, machine=machine, id=id_)
        return self._write_stream(id_, machine, parts)

    async def _write_stream(self, id_, machine, parts):
        self.running += 1
        try:
            await asyncio.sleep(0.05)
            if self.is_deadly(parts):
                self.crashes.append(self.bed.record.now())
                asyncio.ensure_future(self.crash(self.DOWN_S))
                await asyncio.sleep(3600)
            lines = [
                "HTTP/1.1 200 OK",
                f"X-Pimentogap-Attempt-Id: {id_}",
                f"X-Pimentogap-Replica-Seal: seal-{self.id}-{id_}",
                f"X-Pimentogap-Replica-Load: {self.running},0,{self.slots}",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            ]
            yield "\r\n".join([*lines, "", ""]).encode("latin-1")
            for number in range(1, EVENTS + 1):
                event = f"id: {number}\ndata: {id_}/{number}\n\n".encode()
                yield b"%x\r\n%s\r\n" % (len(event), event)
                await asyncio.sleep(0.03)
            yield b"0\r\n\r\n"
            self.bed.record.write("run", replica=self.id, machine=machine, id=id_)
        finally:
            self.running = max(0, self.running - 1)

    async def crash(self, down_s):
        if self.is_down:
            return
        self.is_down = True
        self.bed.store.remove("servers", self.id)
        self.group, self.fence, self.seq, self.highest_epoch = None, 0, 0, 0
        try:
            await super().crash(down_s)
        finally:
            self.is_down = False
        self.publish()


class DarkReplica(EngineReplica):
    """One that goes silent when it crashes, as if its VM were lost.

    Its connections stay as they are and nothing is answered. Its entry expires after
    three beats, and it starts again ``DOWN_S`` after the crash.
    """

    DOWN_S = 6.0

    async def answer(self, method, target, headers, body, peer):
        if self.is_down:
            await asyncio.sleep(3600)
        return await super().answer(method, target, headers, body, peer)

    async def _write_stream(self, id_, machine, parts):
        async for part in super()._write_stream(id_, machine, parts):
            if self.is_down:
                await asyncio.sleep(3600)
            yield part

    async def crash(self, down_s):
        if self.is_down:
            return
        self.is_down = True
        self.bed.record.write("goes-dark", replica=self.id)
        await asyncio.sleep(3 * BEAT_S)
        self.bed.store.remove("servers", self.id)
        await asyncio.sleep(down_s - 3 * BEAT_S)
        self.group, self.fence, self.seq, self.highest_epoch = None, 0, 0, 0
        self._server.crash()
        self.running = 0
        self.born = int(time.time() * 1000)
        self._server = Server(self.answer)
        await self._server.listen(self.ip, self.port)
        self.bed.record.write("starts-again", replica=self.id, born=self.born)
        self.is_down = False
        self.publish()


SERVICE = "llm"
MODEL = "m0"
DEADLY_PART = "dead0000"
STABLE_S = 3.0
# The rule: more such requests than this, later than STABLE_S after the fifth crash.
ALLOWED = 3
PER_S = 12.0
# Each so many-th request has the deadly part.
DEADLY_EACH = 6


def add_models(bed, kind):
    """Add 16 replicas of a model service in two domains, and a resumable route."""
    replicas = [
        bed.add_replica(SERVICE, slots=13, kind=kind, domain=f"d{n // 8}", model=MODEL)
        for n in range(16)
    ]
    model = {"name": MODEL, "size": 2, "share": 1.0, "pace": 1.0, "loadS": 12}
    engine = {
        "slots": 13,
        "step_ms": 6.07,
        "per_seq_ms": 0.5,
        "read_per_s": 46000,
        "loadsPerS": 4,
        "loads_at_once": 6,
        "formMs": 300,
        "stallMs": 4000,
        "models": [model | {"warmS": 1.1}],
    }
    draft = route("draft", "/draft/", "streaming", SERVICE, timeout_ms=6000, attempts=2)
    draft |= {"targetLatencyMs": 500, "targetGapMs": 300}
    draft |= {"sticky": True, "streamResume": True}
    service = {"name": SERVICE, "maxConns": 464, "healthPath": "/health"}
    bed.configure(7, [draft], [service | {"engine": engine}])
    return replicas


async def send_prompts(bed, replicas, sound_parts, position, *, for_s):
    """Send sound prompts, and some with a deadly part; return what became of them.

    :param sound_parts: the shared parts of a sound prompt.
    :param position: which of them is the deadly part in the others, from 0.
    :return: the ids of the deadly ones, and for each sound one whether it was whole.
    """
    deadly_parts = list(sound_parts)
    deadly_parts[position] = DEADLY_PART
    deadly_ids, sound_results = set(), []

    async def send(daemon, is_deadly):
        own = f"{bed.random.getrandbits(32):08x}"
        parts = [*(deadly_parts if is_deadly else sound_parts), own]
        prefix = ",".join(f"{part}:40" for part in parts)
        headers = [
            f"X-Pimentogap-Model: {MODEL}",
            f"X-Pimentogap-Token-Count: {40 * len(parts)},50",
            f"X-Pimentogap-Prompt-Prefix: {prefix}",
        ]
        result = await bed.ask_stream(daemon, "/draft/x", headers=headers)
        if is_deadly:
            deadly_ids.add(result[0])
        else:
            sound_results.append(result[3])

    tasks, began = [], time.monotonic()
    for number in range(int(PER_S * for_s)):
        await asyncio.sleep(max(0.0, began + number / PER_S - time.monotonic()))
        turn, place = divmod(number, DEADLY_EACH)
        daemon = bed.daemons[(turn + place) % len(bed.daemons)]
        is_deadly = place == DEADLY_EACH - 1
        tasks.append(asyncio.ensure_future(send(daemon, is_deadly)))
    await asyncio.gather(*tasks)
    return deadly_ids, sound_results


def judge(bed, replicas, deadly_ids, sound_results):
    """Return whether too many deadly requests reached replicas."""
    crashes = sorted(at for replica in replicas for at in replica.crashes)
    arrivals = [at for r in replicas for at, _, id_ in r.arrivals if id_ in deadly_ids]
    late = []
    if len(crashes) >= 5:
        late = [at for at in arrivals if at > crashes[4] + STABLE_S]
    print(
        f"{len(crashes)} crashes; {len(late)} requests with the part reached replicas"
    )
    print(f"later than {STABLE_S:g} s after the fifth crash, {ALLOWED} are allowed")
    print(f"{sum(sound_results)} of {len(sound_results)} sound streams were whole")
    bed.record.write("judged", crashes=len(crashes), late=len(late), allowed=ALLOWED)
    return len(late) > ALLOWED
