"""A version above 10^12, such as the time in milliseconds, is never in force."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
sys.dont_write_bytecode = True

import standins as s  # noqa: E402

DAEMONS = 2
REPLICAS = 3
FIRST_VERSION = 7
# The Unix time, in milliseconds or in seconds.
NEXT_VERSION = int(time.time() * (1000 if s.has_trouble() else 1))
OTHER_KEY = "k8s2mzr40qvd7wplx1hc"
# `configApplyMs` is 2 s; each daemon has been calm for longer than `stableWindowMs`.
APPLY_S = 4.0
REQUESTS = 20
PER_S = 5.0


def versions():
    """Return the two versions of the configuration."""
    kept = s.route("r-kept", "/kept/", "wuno96b", "idempotent")
    moved = s.route("r-moved", "/moved/", "wuno96b", "non_idempotent")
    dropped = s.route("r-dropped", "/dropped/", "wuno96b", "idempotent")
    added = s.route("r-added", "/added/", "wuno96b", "idempotent")
    services = [s.plain_service("wuno96b"), s.plain_service("xano55b")]
    first = s.configuration(FIRST_VERSION, [kept, moved, dropped], services)
    first["tenants"].append({"name": "mire177", "apiKeys": [OTHER_KEY]})
    newer_routes = [kept, {**moved, "service": "xano55b"}, added]
    newer = s.configuration(NEXT_VERSION, newer_routes, services)
    newer["tenants"].append({"name": "mire177", "apiKeys": []})
    return first, newer


async def main(record):
    first, newer = versions()
    async with s.Deployment(record) as deployment:
        store = deployment.store
        store.put("config", "main", first)
        old, new = (
            [
                s.Replica(store, record, f"i-{service}-{index}", service)
                for index in range(REPLICAS)
            ]
            for service in ("wuno96b", "xano55b")
        )
        for replica in old + new:
            await replica.start()
        if not await deployment.start_daemons(DAEMONS):
            return s.EXIT_NOT_RUN
        client = s.Client(deployment.daemons[0], record)
        status, _ = await client.ask("GET", "/dropped/a", "before")
        client.close()
        if status != 200:
            return s.EXIT_NOT_RUN
        await asyncio.sleep(4.0)
        store.put("config", "main", newer)
        record.add(f"operator: version {NEXT_VERSION} follows version {FIRST_VERSION}")
        await asyncio.sleep(APPLY_S)
        revoked = {"Authorization": f"Bearer {OTHER_KEY}"}
        kinds = {
            "revoked key": ("GET", "/kept/a", revoked),
            "dropped route": ("GET", "/dropped/a", {}),
            "added route": ("GET", "/added/a", {}),
            "moved route": ("POST", "/moved/a", {}),
        }
        clients = [s.Client(daemon, record) for daemon in deployment.daemons]
        statuses = {kind: [] for kind in kinds}
        for index in range(REQUESTS):
            for kind, (method, path, headers) in kinds.items():
                attempt = f"{kind.replace(' ', '-')}-{index}"
                client = clients[index % DAEMONS]
                status, _ = await client.ask(method, path, attempt, headers=headers)
                statuses[kind].append(status)
            await asyncio.sleep(1 / PER_S)
        run_by_old = {attempt for replica in old for _, attempt in replica.runs}
        older = {
            "revoked key": sum(a.startswith("revoked") for a in run_by_old),
            "dropped route": sum(a.startswith("dropped") for a in run_by_old),
            "added route": statuses["added route"].count(404),
            "moved route": sum(a.startswith("moved") for a in run_by_old),
        }
        text = f"of {REQUESTS} each, handled as only the older version allows: {older}"
        record.add(text)
        print(text)
        return s.EXIT_BROKEN if any(older.values()) else s.EXIT_HELD


sys.exit(s.run(main, FOLDER))
