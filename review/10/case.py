"""A tenant whose name is not Latin-1: none of its requests is answered."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
sys.dont_write_bytecode = True

import standins as s  # noqa: E402

DAEMONS = 2
REPLICAS = 3
ADDED_TENANT = "Œufs d'Armor" if s.has_trouble() else "Oeufs d'Armor"
ADDED_KEY = "k8s2mzr40qvd7wplx1hc"
# Longer than `configApplyMs` and `stableWindowMs`.
SETTLING_S = 6.0
REQUESTS = 40
PER_S = 5.0


async def main(record):
    first = s.route("r-first", "/creneau/", "wuno96b", "idempotent")
    added = s.route("r-added", "/confirme/", "wuno96b", "non_idempotent")
    services = [s.plain_service("wuno96b")]
    async with s.Deployment(record) as deployment:
        store = deployment.store
        store.put("config", "main", s.configuration(1, [first], services))
        replicas = [
            s.Replica(store, record, f"i-{index}", "wuno96b")
            for index in range(REPLICAS)
        ]
        for replica in replicas:
            await replica.start()
        if not await deployment.start_daemons(DAEMONS):
            return s.EXIT_NOT_RUN
        await asyncio.sleep(4.0)
        newer = s.configuration(2, [first, added], services)
        newer["tenants"].append({"name": ADDED_TENANT, "apiKeys": [ADDED_KEY]})
        store.put("config", "main", newer)
        record.add("operator: version 2 adds the route r-added and a tenant")
        await asyncio.sleep(SETTLING_S)
        served = {"r-first": 0, "r-added": 0}
        unanswered = {"r-first": 0, "r-added": 0}

        async def ask(client, name, method, path, attempt, headers):
            status, _ = await client.ask(method, path, attempt, headers=headers)
            served[name] += status == 200
            unanswered[name] += status == 0

        clients = [s.Client(daemon, record) for daemon in deployment.daemons]
        others = [s.Client(daemon, record) for daemon in deployment.daemons]
        for index in range(REQUESTS):
            key = {"Authorization": f"Bearer {ADDED_KEY}"}
            client, other = clients[index % DAEMONS], others[index % DAEMONS]
            await asyncio.gather(
                ask(client, "r-first", "GET", "/creneau/a", f"first-{index}", {}),
                ask(other, "r-added", "POST", "/confirme/a", f"added-{index}", key),
            )
            await asyncio.sleep(1 / PER_S)
        arrived = sum(
            attempt.startswith("added") for r in replicas for _, attempt in r.arrivals
        )
        text = (
            f"of {REQUESTS} requests of each route, served: {served}; ended without an "
            f"answer: {unanswered}; of r-added at replicas: {arrived}"
        )
        record.add(text)
        print(text)
        if served["r-first"] < REQUESTS / 2:
            return s.EXIT_NOT_RUN
        is_broken = served["r-added"] < served["r-first"] / 4
        return s.EXIT_BROKEN if is_broken else s.EXIT_HELD


sys.exit(s.run(main, FOLDER))
