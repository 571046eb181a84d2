"""A small test bed on loopback: the platform's store, plain replicas and callers.

It starts the project's daemons with the command of the deploy file. Only the standard
library is used. All times are seconds of the monotonic clock since the bed started.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl, unquote

ROOT = Path(__file__).resolve().parents[2]
BEAT_S = 1.2
ENTRY_LIFE_S = 3 * BEAT_S
HOST = "callers.example"
KEY = "key-of-w1"
REASONS = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected",
}


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")  # noqa: SIM115
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {text}\n")
        self._file.flush()


async def read_message(reader):
    """Return the first line, the headers by lower-case name, and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def encode_answer(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """Serves HTTP/1.1 on one address; ``answer(first, headers, body, peer)``."""

    def __init__(self, answer):
        self._answer = answer
        self._server = None
        self._writers = set()

    async def listen(self, ip, port):
        self._server = await asyncio.start_server(
            self._serve, ip, port, backlog=1024, reuse_address=True
        )

    def crash(self):
        """Stop listening and reset every connection."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self._answer(method, target, headers, body, peer)
                if answer is None:
                    break
                if isinstance(answer, bytes):
                    writer.write(answer)
                else:
                    async for part in answer:
                        writer.write(part)
                        await writer.drain()
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """The platform's object store: objects, conditional writes, lists and watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Event()

    async def answer(self, method, target, headers, body, peer):
        await asyncio.sleep(0.004)
        path, _, query = target.partition("?")
        query = dict(parse_qsl(query))
        parts = [unquote(part) for part in path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        data = json.loads(body) if body else {}
        status, answer = await self._execute(method, kind, name, query, data)
        fields = {"Content-Type": "application/json", "Store-Era": "1"}
        return encode_answer(status, fields, json.dumps(answer).encode())

    async def _execute(self, method, kind, name, query, data):
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name is not None:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        if method == "GET":
            names = sorted(key for key in objects if key > query.get("afterRev", ""))
            items = [objects[key] for key in names]
            return 200, {
                "items": items,
                "truncated": False,
                "currentRev": self.revision,
            }
        if method == "POST":
            name = data["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 201, self.put(kind, name, data["specification"])
        current = objects.get(name)
        if current is None:
            return 404, {}
        wanted = data.get("metadata", {}).get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != current["metadata"]["revision"]:
            return 409, current
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 200, self.put(kind, name, data["specification"])

    async def _watch(self, kind, since, query):
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [e for at, of, e in self.history if of == kind and at > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def put(self, kind, name, specification):
        objects = self.kinds.setdefault(kind, {})
        current = objects.get(name)
        if current is not None and current["specification"] == specification:
            return current
        self.revision += 1
        created = current["metadata"]["createdRev"] if current else self.revision
        metadata = {"name": name, "revision": self.revision, "createdRev": created}
        metadata |= {"finalizers": [], "deleting": False}
        item = {"metadata": metadata, "specification": specification, "status": None}
        objects[name] = item
        self._record(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._record(kind, item, True)

    def _record(self, kind, item, removed):
        event = {"object": item, "removed": removed}
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()


class Replica:
    """One replica of a plain service.

    It writes its entry each beat unless ``is_cut`` from the store; the store removes
    an entry that was not written for three beats. ``decide(self, machine)`` returns the
    status and the extra headers of an answer, ``None`` to run the request normally.
    """

    def __init__(self, bed, id_, service, ip, port, *, slots, work_s):
        self.bed = bed
        self.id = id_
        self.service = service
        self.address = f"{ip}:{port}"
        self.ip, self.port = ip, port
        self.zone = "z-a"
        self.slots = slots
        self.work_s = work_s
        self.running = 0
        self.is_cut = False
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.written_at = 0.0
        self.arrivals = []
        self.decide = lambda replica, machine: None
        self.cold_left_ms = lambda: 0
        self.queue = None
        self.is_down = False
        self._server = None
        # With ids, it answers with a stream of events that have these, one each
        # ``event_gap_s``.
        self.event_ids = None
        self.event_gap_s = 0.1

    async def start(self):
        self._server = Server(self.answer)
        await self._server.listen(self.ip, self.port)
        asyncio.ensure_future(self._beat())

    async def crash(self, down_s):
        """End the process, and start it again under the same id and address."""
        self.bed.record.write("crashes", replica=self.id)
        self._server.crash()
        self.running = 0
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        self._server = Server(self.answer)
        await self._server.listen(self.ip, self.port)
        self.bed.record.write("starts-again", replica=self.id, born=self.born)

    async def _beat(self):
        seq = 0
        store, record = self.bed.store, self.bed.record
        while True:
            seq += 1
            if self.is_down:
                pass
            elif not self.is_cut:
                if self.id not in store.kinds.get("servers", {}):
                    record.write("entry-written", replica=self.id)
                store.put("servers", self.id, self.entry(seq))
                self.written_at = time.monotonic()
            elif time.monotonic() - self.written_at > ENTRY_LIFE_S:
                if self.id in store.kinds.get("servers", {}):
                    record.write("entry-expired", replica=self.id)
                store.remove("servers", self.id)
            await asyncio.sleep(BEAT_S if not self.is_cut else 0.2)

    def entry(self, seq):
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": self.cold_left_ms(),
            "seq": seq,
            "born": self.born,
        }

    async def answer(self, method, target, headers, body, peer):
        id_ = headers.get("x-pimentogap-attempt-id", "")
        if headers.get("x-pimentogap-expect-replica", self.id) != self.id:
            return encode_answer(421, {"X-Pimentogap-Replica-Id": self.id})
        if not id_:
            health = {"X-Pimentogap-Replica-Id": self.id}
            if left_ms := self.cold_left_ms():
                health["X-Pimentogap-Cold-Ms"] = str(left_ms)
            return encode_answer(200, health)
        record = self.bed.record
        # All connections come from one loopback address; the caller knows the machine.
        machine = self.bed.machine_by_id.get(id_, "-")
        self.arrivals.append((record.now(), machine, id_))
        record.write("arrives", replica=self.id, machine=machine, id=id_)
        echo = {
            "X-Pimentogap-Attempt-Id": id_,
            "X-Pimentogap-Replica-Load": f"{self.running},0,{self.slots}",
            "Keep-Alive": "timeout=10",
        }
        decided = self.decide(self, machine)
        status, extra = decided if decided is not None else (200, {})
        if status != 200:
            extra = {"X-Pimentogap-Not-Executed": "1", **extra}
            record.write("rejected", replica=self.id, machine=machine, id=id_, **extra)
            return encode_answer(status, {**echo, **extra})
        if self.event_ids is not None:
            return self._stream(id_, machine, headers, {**echo, **extra})
        self.running += 1
        try:
            if self.queue is None:
                await asyncio.sleep(self.work_s)
            else:
                async with self.queue:
                    await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        record.write("run", replica=self.id, machine=machine, id=id_, **extra)
        seal = {"X-Pimentogap-Replica-Seal": f"seal-{self.id}-{id_}"}
        return encode_answer(
            200, {**echo, **extra, **seal}, f"{id_} {self.id}".encode()
        )

    async def _stream(self, id_, machine, headers, fields):
        """Answer with the events whose ids are ``event_ids``, in chunks."""
        begun_after = int(headers.get("last-event-id") or 0)
        fields |= {
            "X-Pimentogap-Replica-Seal": f"seal-{self.id}-{id_}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = [f"{name}: {value}" for name, value in fields.items()]
        yield "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode("latin-1")
        for number in self.event_ids:
            if number <= begun_after:
                continue
            await asyncio.sleep(self.event_gap_s)
            event = f"id: {number}\ndata: {id_}/{number}\n\n".encode()
            yield b"%x\r\n%s\r\n" % (len(event), event)
        yield b"0\r\n\r\n"
        self.bed.record.write("run", replica=self.id, machine=machine, id=id_)


class Daemon:
    """One daemon of the project, as a separate process."""

    def __init__(self, bed, number, ip, ports, zone):
        self.bed, self.ip, self.ports, self.zone = bed, ip, ports, zone
        self.name = f"front-{zone}-{number}"
        self.process = None
        self.log = None

    def settings(self):
        front, ready, control, first = self.ports
        bounds = {
            "seedLagS": 3,
            "addrReuseS": 2,
            "stableWindowMs": 3000,
            "ackMs": 4000,
            "catchUpS": 4,
            "drainMs": 2000,
            "graceS": 8,
            "lossSlackMs": 200,
            "configApplyMs": 2000,
            "rollbackSlackMs": 250,
            "outerBoundMs": 5000,
            "strictRevoke": False,
            "revokeMs": 5000,
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "retryBudgetSlack": 130,
            "recoveryS": 12,
            "passMs": 120,
            "retryAfterS": 0,
            "stallMs": 4000,
            "fencingEnforced": True,
            "ceilingWindowS": 5,
            "ceilingOverrun": 1.1,
        }
        return {
            "nodeName": self.name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r",
            "zones": {"z-a": "r", "z-b": "r", "z-c": "r"},
            "listenAddrs": {
                "front": f"{self.ip}:{front}",
                "ready": f"{self.ip}:{ready}",
                "control": f"{self.ip}:{control}",
            },
            "innerPorts": [first, first + 15],
            "seedNodes": [],
            "bootstrap": True,
            "lossCounted": False,
            "limits": {
                "cpuShare": 0.537,
                "cpuCores": 2,
                "memoryMb": 300,
                "maxFds": 4200,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "beatIntervalMs": int(BEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"]
            + ["engine", "stream", "tenants", "platform", "gangs"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": bounds | self.bed.bounds,
            "platformInfo": {
                "addr": self.bed.store_address,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }

    async def start(self):
        path = self.bed.folder / f"{self.name}.yaml"
        path.write_text(json.dumps(self.settings()))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["PIMENTOGAP_CONFIG"] = str(path)
        environment["TMPDIR"] = str(self.bed.folder)
        self.log = (self.bed.folder / f"{self.name}.log").open("wb")  # noqa: SIM115
        self.process = await asyncio.create_subprocess_exec(
            shutil.which("python3"),
            "front.py",
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        self.bed.record.write("daemon-started", name=self.name, ip=self.ip)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports[1])
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()


class Bed:
    """Everything of one case. ``folder`` is temporary."""

    def __init__(self, case_folder, daemons=3, bounds=None):
        self.bounds = bounds or {}
        self.record = Record(Path(case_folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.random = random.Random(7)
        self.store = Store(self.record)
        net = f"127.{os.getpid() % 200 + 20}.{random.randint(1, 250)}"
        self.net = net
        port = self._free_port(f"{net}.1")
        self.store_address = f"{net}.1:{port}"
        self.replicas = []
        self.daemons = []
        for number in range(daemons):
            ip = f"{net}.{10 + number}"
            ports = [self._free_port(ip) for _ in range(4)]
            zone = ("z-a", "z-b", "z-c")[number % 3]
            self.daemons.append(Daemon(self, number, ip, ports, zone))
        self.answers = []
        self.machine_by_id = {}

    def _free_port(self, ip):
        with socket.socket() as probe:
            probe.bind((ip, 0))
            return probe.getsockname()[1]

    def add_replica(self, service, *, slots=6, work_s=0.045, kind=Replica, **fields):
        number = len(self.replicas)
        ip = f"{self.net}.{100 + number}"
        id_ = f"i-{number:02d}c0ffee"
        port = self._free_port(ip)
        replica = kind(
            self, id_, service, ip, port, slots=slots, work_s=work_s, **fields
        )
        self.replicas.append(replica)
        return replica

    def configure(self, version, routes, services):
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 15000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "w1", "apiKeys": [KEY], "priority": 1}],
        }
        self.store.put("config", "main", document)

    async def start(self):
        host, _, port = self.store_address.partition(":")
        await Server(self.store.answer).listen(host, int(port))
        for replica in self.replicas:
            await replica.start()
        await asyncio.sleep(0.1)
        for daemon in self.daemons:
            await daemon.start()
        until = time.monotonic() + 20
        while time.monotonic() < until:
            if all([await daemon.is_ready() for daemon in self.daemons]):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the daemons did not become ready")

    async def ask(self, daemon, method, path, *, deadline_ms=2500):
        """Send one request on a connection of its own; return status and headers."""
        id_ = f"{self.random.getrandbits(64):016x}"
        sent_at = self.record.now()
        self.machine_by_id[id_] = daemon.name
        self.record.write("sent", id=id_, machine=daemon.name, path=path)
        head = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Pimentogap-Attempt-Id: {id_}",
            f"X-Pimentogap-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {KEY}",
            "",
            "",
        ]
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                reader, writer = await asyncio.open_connection(
                    daemon.ip, daemon.ports[0]
                )
                writer.write("\r\n".join(head).encode())
                first, headers, _ = await read_message(reader)
            status = int(first.split(" ")[1])
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            status, headers = 0, {"error": type(error).__name__}
        finally:
            if writer is not None:
                writer.close()
        answered_at = self.record.now()
        via = headers.get("x-pimentogap-replica-seal", "-")
        self.record.write(
            "answered", id=id_, machine=daemon.name, status=status, seal=via
        )
        self.answers.append((sent_at, answered_at, daemon.name, status, headers))
        return status, headers

    async def ask_stream(self, daemon, path, *, deadline_ms=6000, headers=()):
        """Send one request for a stream; return whether its answer was complete."""
        id_ = f"{self.random.getrandbits(64):016x}"
        self.machine_by_id[id_] = daemon.name
        self.record.write("sent", id=id_, machine=daemon.name, path=path)
        head = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Pimentogap-Attempt-Id: {id_}",
            f"X-Pimentogap-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {KEY}",
            *headers,
            "Content-Length: 2",
            "",
            "hi",
        ]
        received, writer = b"", None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                reader, writer = await asyncio.open_connection(
                    daemon.ip, daemon.ports[0]
                )
                writer.write("\r\n".join(head).encode())
                while not received.endswith(b"0\r\n\r\n"):
                    part = await reader.read(65536)
                    if not part:
                        break
                    received += part
        except (OSError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        status = received[9:12].decode() or "none"
        is_whole = received.endswith(b"0\r\n\r\n")
        events = received.count(b"data: ")
        self.record.write(
            "ended",
            id=id_,
            machine=daemon.name,
            status=status,
            events=events,
            whole=is_whole,
        )
        return id_, status, events, is_whole

    async def load(self, method, path, *, per_s, for_s, deadline_ms=2500):
        """Send ``per_s`` requests a second to all daemons in turn, for ``for_s``."""
        tasks = set()
        began = time.monotonic()
        count = int(per_s * for_s)
        for number in range(count):
            await asyncio.sleep(max(0.0, began + number / per_s - time.monotonic()))
            daemon = self.daemons[number % len(self.daemons)]
            task = asyncio.ensure_future(
                self.ask(daemon, method, path, deadline_ms=deadline_ms)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)

    def end(self):
        for daemon in self.daemons:
            daemon.end()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, *, timeout_ms=2500, attempts=1, target_ms=200):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeKind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "targetGapMs": 0,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "authExempt": False,
        "sticky": False,
        "streamResume": False,
    }


def _raise_exit(signal_number, frame):
    raise SystemExit(2)


def run(main):
    """Run ``main(trouble)``, which returns whether the rule was broken; exit."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # So that the daemons are ended when the case is.
    signal.signal(signal.SIGTERM, _raise_exit)
    try:
        broken = asyncio.run(asyncio.wait_for(main(trouble), 115))
    except Exception as error:
        print(f"the case could not run: {error!r}")
        raise SystemExit(2)
    print("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
