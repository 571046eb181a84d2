"""Small stand-ins of the platform's store, of plain replicas and of clients.

They follow the users' pages. Everything runs on loopback addresses and the real clock;
the front daemons are real processes, started as `deploy/system.toml` says.
"""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "callers.example"
FRONT_PORT, READY_PORT, CONTROL_PORT, INNER_PORT = 8227, 8220, 8229, 7340
STORE_PORT, REPLICA_PORT = 8223, 8120
BEAT_S = 1.2
ZONES = {"bzh-lo": 3, "bzh-pl": 2, "bzh-ca": 1}
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "outerBoundMs": 5000,
    "strictRevoke": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "retryBudgetSlack": 130, "recoveryS": 12, "passMs": 120,
    "retryAfterS": 0, "stallMs": 4000, "fencingEnforced": True,
    "ceilingWindowS": 5, "ceilingOverrun": 1.1,
}  # fmt: skip


class Record:
    """Writes what happened to `record.txt`, with seconds since the start."""

    def __init__(self, path, is_first=True):
        self._path = path
        self._began = time.monotonic()
        with open(path, "w" if is_first else "a", encoding="utf-8"):
            pass

    def now(self):
        return time.monotonic() - self._began

    def __call__(self, text):
        with open(self._path, "a", encoding="utf-8") as file:
            file.write(f"{self.now():8.3f} {text}\n")


def free_network():
    """Return the first three numbers of a loopback network that nothing listens on."""
    import socket

    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host, port in ((f"{net}.1", STORE_PORT), (f"{net}.11", 9464)):
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        return net
    raise OSError("no free loopback network")


async def read_message(reader):
    """Return the start line, the headers (names in lower case) and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            body += (await reader.readexactly(size + 2))[:size]
            if not size:
                break
    return lines[0], headers, body


def encode_answer(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Store:
    """The platform's store: objects, one revision counter, watches, an era.

    `deaf_to` holds the process ids whose calls no longer arrive: what the store has
    still to answer is answered. `silent_to` holds those that get no answers either.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.era = 1
        self.objects = {}
        self.history = []
        self.deaf_to = set()
        self.silent_to = set()
        self.daemons = {}
        self.is_away = False
        self.first_call_at = {}
        self._writes = []
        self._changed = asyncio.Event()

    async def serve(self, host):
        self._server = await asyncio.start_server(self._serve, host, STORE_PORT)

    def go_back(self, copied_at):
        """Come back from the copy of `copied_at`, a time of the record."""
        self._writes = [write for write in self._writes if write[0] <= copied_at]
        self.objects = {}
        for _, _, kind, name, item in self._writes:
            objects = self.objects.setdefault(kind, {})
            if item is None:
                objects.pop(name, None)
            else:
                objects[name] = item
        self.revision = self._writes[-1][1]
        self.history = [event for event in self.history if event[0] <= self.revision]
        self.era += 1

    def put(self, kind, name, spec):
        self.revision += 1
        item = {
            "metadata": {
                "name": name, "revision": self.revision,
                "createdRev": self.revision, "finalizers": [], "deleting": False,
            },
            "specification": spec,
            "status": None,
        }  # fmt: skip
        self.objects.setdefault(kind, {})[name] = item
        self._note(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._note(kind, item, True)

    def _note(self, kind, item, removed):
        self.history.append((self.revision, kind, item, removed))
        name = item["metadata"]["name"]
        kept = None if removed else item
        self._writes.append((self.record.now(), self.revision, kind, name, kept))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        ends = writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        pid = None
        try:
            while True:
                line, headers, body = await read_message(reader)
                if pid is None:
                    pid = _owner_of(*ends, list(self.daemons))
                    self.first_call_at.setdefault(pid, self.record.now())
                # A call that is sent while its way is cut does not arrive.
                while pid in self.deaf_to or pid in self.silent_to:
                    await asyncio.sleep(0.01)
                    if reader.at_eof():
                        return
                await asyncio.sleep(0.004)
                while self.is_away:
                    await asyncio.sleep(0.01)
                    if reader.at_eof():
                        return
                status, data = await self._execute(line, body)
                while pid in self.silent_to:
                    await asyncio.sleep(0.01)
                    if reader.at_eof():
                        return
                text = json.dumps(data).encode()
                extra = {"Content-Type": "application/json", "Store-Era": self.era}
                writer.write(encode_answer(status, extra, text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _execute(self, line, body):
        method, target, _ = line.split(" ")
        url = urlsplit(target)
        query = {k: v[-1] for k, v in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        objects = self.objects.setdefault(kind, {})
        spec = json.loads(body) if body else {}
        if method == "GET" and name is None and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and name is None:
            names = sorted(n for n in objects if n > query.get("afterRev", ""))
            return 200, {
                "items": [objects[n] for n in names[:500]],
                "truncated": len(names) > 500,
                "currentRev": self.revision,
            }
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "POST":
            name = spec["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 201, self.put(kind, name, spec["specification"])
        current = objects.get(name)
        if current is None:
            return 404, {}
        known = (
            spec["metadata"].get("revision")
            if method == "PUT"
            else query.get("revision")
        )
        if known is not None and int(known) != current["metadata"]["revision"]:
            return 409, current
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if current["specification"] == spec["specification"]:
            return 200, current
        return 200, self.put(kind, name, spec["specification"])

    async def _watch(self, kind, query):
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        if since > self.revision:
            return 410, {}
        era = self.era
        while True:
            if era != self.era:
                return 410, {}
            events = [
                {"object": item, "removed": removed}
                for revision, changed, item, removed in self.history
                if changed == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
            while self.is_away:
                await asyncio.sleep(0.01)


def _owner_of(peer, own, pids):
    """Return which of the processes `pids`, all started here, has the socket `peer`."""
    ends = [_in_hex(*peer[:2]), _in_hex(*own[:2])]
    with open("/proc/net/tcp", encoding="ascii") as table:
        rows = [row.split() for row in table]
    inodes = [row[9] for row in rows if row[1:3] == ends and row[9] != "0"]
    for pid in pids:
        folder = f"/proc/{pid}/fd"
        try:
            for fd in os.listdir(folder):
                try:
                    if os.readlink(f"{folder}/{fd}") == f"socket:[{inodes[0]}]":
                        return pid
                except (IndexError, OSError):
                    continue
        except OSError:
            continue
    return None


def _in_hex(host, port):
    numbers = host.split(".")
    return "".join(f"{int(n):02X}" for n in reversed(numbers)) + f":{port:04X}"


class Replica:
    """A sound replica of a plain service. `runs` has (time, attempt id, tenant)."""

    def __init__(self, store, record, id_, host, zone, service="reservations"):
        self.store, self.record = store, record
        self.id, self.host, self.zone, self.service = id_, host, zone, service
        self.state = "ready"
        self.listed = True
        self.seq = 0
        self.running = 0
        self.born = int(time.time() * 1000)
        self.arrivals = []
        self.runs = []
        self.writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, REPLICA_PORT)
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self):
        self.publish()
        await asyncio.sleep(random.uniform(0.0, BEAT_S))
        while True:
            if self.listed:
                self.seq += 1
                self.publish()
            await asyncio.sleep(BEAT_S)

    def publish(self):
        self.store.put("servers", self.id, {
            "service": self.service, "addr": f"{self.host}:{REPLICA_PORT}",
            "zone": self.zone, "version": "v1", "slots": 6, "state": self.state,
            "coldLeftMs": 0, "seq": self.seq, "born": self.born,
        })  # fmt: skip

    def exit(self):
        """End as a process that exits: nothing listens, connections end."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                writer.write(await self._answer(line, headers, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, line, headers, body):
        attempt = headers.get("x-pimentogap-attempt-id", "")
        echo = {"X-Pimentogap-Attempt-Id": attempt}
        if headers.get("x-pimentogap-expect-replica", self.id) != self.id:
            return encode_answer(421, {"X-Pimentogap-Replica-Id": self.id} | echo)
        now = self.record.now()
        self.arrivals.append((now, attempt))
        self.running += 1
        self.runs.append((now, attempt, headers.get("x-pimentogap-tenant")))
        self.record(f"{self.id} runs {attempt}")
        await asyncio.sleep(0.045)
        self.running -= 1
        sealed = echo | {
            "X-Pimentogap-Replica-Seal": f"seal.{self.id}.{attempt}",
            "X-Pimentogap-Replica-Load": f"{self.running},0,6",
        }
        return encode_answer(200, sealed, f"booked {attempt}\n".encode())


# The class of the replicas of `redacteur`; a case may set another one.
OtherReplica = Replica


class Daemon:
    """A front daemon: a process of its own."""

    def __init__(self, world, name, zone, ip):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.process = None

    async def start(self, bootstrap=True):
        world = self.world
        settings = {
            "nodeName": self.name, "role": "entry", "machineClass": "front",
            "serves": ["front"], "ip": self.ip, "zone": self.zone, "region": "bzh",
            "zones": dict.fromkeys(ZONES, "bzh"),
            "listenAddrs": {
                "front": f"{self.ip}:{FRONT_PORT}", "ready": f"{self.ip}:{READY_PORT}",
            },
            "innerPorts": [INNER_PORT, INNER_PORT + 15], "seedNodes": [],
            "bootstrap": bootstrap, "lossCounted": False,
            "limits": {
                "cpuShare": 0.537, "cpuCores": 2, "memoryMb": 300, "maxFds": 4200,
                "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "beatIntervalMs": 1200, "bounds": BOUNDS,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "platformInfo": {
                "addr": f"{world.net}.1:{STORE_PORT}", "form": "objects",
                "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                "valueBytes": 1048576, "ttlMinMs": 1000,
            },
        }  # fmt: skip
        path = os.path.join(world.folder, f"{self.name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)  # JSON is YAML
        keep = ("PATH", "HOME", "LANG")
        env = {k: os.environ[k] for k in keep if k in os.environ}
        env["PIMENTOGAP_CONFIG"] = path
        env["PYTHONPATH"] = os.path.join(ROOT, "target", "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(os.path.join(world.folder, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "front.py", cwd=ROOT, env=env, stdout=log, stderr=log
            )
        world.store.daemons[self.process.pid] = self.name

    @property
    def pid(self):
        return self.process.pid

    def has_called(self):
        """Return whether this process has called the store."""
        return self.pid in self.world.store.first_call_at

    def signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            status, _, _ = await call(self.ip, READY_PORT, "GET", "/api/readiness", {})
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return status == 200


async def call(host, port, method, path, headers, body=b"", timeout_s=5.0):
    """Send one request on a connection of its own; return status, headers, body."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{n}: {v}" for n, v in ({"Host": HOST} | headers).items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            line, answer, content = await read_message(reader)
            return int(line.split(" ")[1]), answer, content
        finally:
            writer.close()


def route(name, prefix, kind, attempts=1, timeout_ms=1200, service="reservations"):
    return {
        "name": name, "host": HOST, "pathPrefix": prefix, "routeKind": kind,
        "timeoutMs": timeout_ms, "targetLatencyMs": 150, "targetGapMs": 0,
        "priority": 2, "service": service, "maxAttempts": attempts,
        "authExempt": False, "sticky": False, "streamResume": False,
    }  # fmt: skip


def configuration(version, keys, more_routes=()):
    """Return a configuration; `keys` has the keys of each tenant."""
    return {
        "version": version,
        "routes": [
            route("confirme", "/book/", "non_idempotent"),
            route("creneau", "/look/", "idempotent", attempts=2),
            *more_routes,
        ],
        "services": [
            {"name": "reservations", "maxConns": 96, "healthPath": "/health"},
            {"name": "redacteur", "maxConns": 464, "healthPath": "/health"},
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": tenant, "apiKeys": list(held), "priority": 1}
            for tenant, held in keys.items()
        ],
    }  # fmt: skip


class World:
    """The store, the replicas of two services and six daemons, as in a small site."""

    def __init__(self, folder, is_first=True):
        self.record = Record(os.path.join(folder, "record.txt"), is_first)
        self.net = free_network()
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self._temporary.name
        self.store = Store(self.record)
        self.replicas = []
        self.others = []
        self.daemons = {}
        self.answers = []
        self._count = 0

    async def start(self, keys):
        await self.store.serve(f"{self.net}.1")
        self.store.put("config", "main", configuration(1, keys))
        await self._start_replicas()
        number = 11
        for zone, count in ZONES.items():
            for index in range(count):
                name = f"front-{zone}-{index + 1}"
                self.daemons[name] = Daemon(self, name, zone, f"{self.net}.{number}")
                number += 1
        for daemon in self.daemons.values():
            await daemon.start()
        for daemon in self.daemons.values():
            for _ in range(300):
                if await daemon.is_ready():
                    break
                await asyncio.sleep(0.1)
            else:
                raise OSError(f"{daemon.name} is not ready")
        self.record("all daemons are ready")

    async def _start_replicas(self):
        for index, zone in enumerate(ZONES):
            replica = Replica(
                self.store, self.record, f"i-r{index}", f"{self.net}.{201 + index}",
                zone,
            )  # fmt: skip
            await replica.start()
            self.replicas.append(replica)
        for index in range(12):
            other = OtherReplica(
                self.store, self.record, f"i-d{index}", f"{self.net}.{101 + index}",
                list(ZONES)[index % 3], service="redacteur",
            )  # fmt: skip
            await other.start()
            self.others.append(other)

    def leader(self):
        """Return the name of the daemon that the lease in the store names."""
        lease = self.store.objects.get("leases", {}).get("formation")
        return lease["specification"].get("holder", "") if lease else ""

    async def send(self, daemon, path, key, method="POST", deadline_ms=2500):
        """Send one request; return (sent at, attempt id, status)."""
        self._count += 1
        attempt = f"a{self._count:05d}"
        headers = {
            "X-Pimentogap-Attempt-Id": attempt,
            "X-Pimentogap-Deadline-Ms": deadline_ms,
            "Authorization": f"Bearer {key}",
        }
        sent = self.record.now()
        try:
            status, _, _ = await call(daemon.ip, FRONT_PORT, method, path, headers)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            status = 0
        self.record(f"{attempt} sent {sent:.3f} to {daemon.name} {path}: {status}")
        result = (sent, attempt, status, daemon.name, path, key)
        self.answers.append(result)
        return result

    async def stop(self):
        logs = os.environ.get("KEEP_LOGS")
        for daemon in self.daemons.values():
            if daemon.process is not None and daemon.process.returncode is None:
                daemon.signal(signal.SIGCONT)
                daemon.signal(signal.SIGKILL)
                await daemon.process.wait()
        if logs:
            import shutil

            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        self._temporary.cleanup()


def play(folder, main, limit_s=115, world=World, rounds=1):
    """Run `main(world)`, which returns what broke; exit with 1, 0 or 2.

    Up to `rounds` times, each in a world of its own, until something broke.
    """

    async def run(index):
        played = world(folder, index == 0)
        try:
            async with asyncio.timeout(limit_s / rounds):
                return played, await main(played)
        finally:
            await played.stop()

    try:
        for index in range(rounds):
            played, broken = asyncio.run(run(index))
            if broken:
                break
    except Exception as error:  # the case could not run
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in broken[:20]:
        played.record(f"BROKEN {text}")
        print(text)
    verdict = "broken" if broken else "kept"
    played.record(f"the rule was {verdict}, {len(broken)} times")
    print(f"the rule was {verdict} ({len(broken)})")
    sys.exit(1 if broken else 0)
