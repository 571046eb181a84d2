"""Measures what a daemon adds to streams, compared with direct calls to an engine."""

import asyncio
import tempfile
import time
from pathlib import Path

import yaml

from benchmarks._figures import figure, percentile, usage
from benchmarks._streams import stream
from pimentogap.programs import run_ctl
from pimentogap.types import HttpRequest
from pimentogap.web import HttpClient
from standins.deployment import Deployment, Layout, get_json, wait_until

STEP_MS = 20.0
TOKENS = 100
SEQUENTIAL_STREAMS = 40
CONCURRENT_STREAMS = (50, 100, 200)
PROBES = 400
DAEMON_TOKENS_PER_S = 7400
WORKSPACE = {"Workspace": "w"}
LAYOUT = Layout(
    region="r",
    availability_zones=("z-a",),
    daemons=1,
    first_port=24000,
    vms_per_domain=16,
    step_ms=STEP_MS,
)
TICKET = {
    "submission": "bench",
    "against": 0,
    "author": "bench",
    "put": [
        {"kind": "model_service", "name": "m", "model": "m", "vms_per_group": 1},
        {
            "kind": "workspace",
            "name": "w",
            "services": ["m"],
            "requests_per_s": 1e5,
            "burst_requests": 1e5,
        },
        *(
            {"kind": "model_group", "name": f"g-{i}", "service": "m", "region": "r"}
            for i in range(16)
        ),
    ],
}


def run(seed):
    """Run the benchmark."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(LAYOUT, folder)
        try:
            deployment.start()
            ticket = Path(folder) / "ticket.yaml"
            ticket.write_text(yaml.safe_dump(TICKET), encoding="utf-8")
            run_ctl(["--daemon", LAYOUT.operator_address(0), "submit", str(ticket)])
            wait_until(lambda: _is_ready(), 30)
            time.sleep(16)
            asyncio.run(_measure(deployment))
        finally:
            deployment.stop()


def _is_ready():
    groups = get_json(LAYOUT.operator_address(0), "/status")["groups"]
    return sum(bool(group["permitted_here"]) for group in groups) == 16


async def _measure(deployment):
    pid = deployment.processes_by_name["daemon-0"].pid
    client = HttpClient()
    await _measure_added_latency(client)
    await _measure_load(client, pid)
    await _measure_connections()
    client.close()


async def _measure_added_latency(client):
    """Compare direct and proxied streams, alternately and one at a time."""
    engine = f"{LAYOUT.host}:{LAYOUT.first_port + 100}"
    direct, through = [], []
    for number in range(SEQUENTIAL_STREAMS):
        for address, readers in (
            (engine, direct),
            (LAYOUT.caller_address(0), through),
        ):
            prompt = f"short {number}"
            readers.append(
                await stream(
                    client,
                    address,
                    model="m",
                    prompt=prompt,
                    tokens=20,
                    headers=WORKSPACE,
                )
            )
    first = [
        percentile([reader.first_token_s for reader in path_readers], 0.5)
        for path_readers in (direct, through)
    ]
    gaps = [
        percentile([gap for reader in path_readers for gap in reader.gaps_s], 0.95)
        for path_readers in (direct, through)
    ]
    print(
        f"first token p50: direct {first[0] * 1e3:.2f} ms, "
        f"through {first[1] * 1e3:.2f} ms"
    )
    print(
        f"between tokens p95: direct {gaps[0] * 1e3:.2f} ms, "
        f"through {gaps[1] * 1e3:.2f} ms"
    )
    figure("added_first_token_p50_ms", (first[1] - first[0]) * 1e3, "ms")
    figure("added_between_tokens_p95_ms", (gaps[1] - gaps[0]) * 1e3, "ms")


async def _measure_load(client, pid):
    """Measure processor time for each token and memory for each open stream."""
    print("streams  tokens/s  core share  tokens/core-s  requests/core-s  RSS MB")
    usage_idle = usage(pid)
    best_rate, memory_per_stream = 0.0, []
    for count in CONCURRENT_STREAMS:
        started_at, usage_before = time.monotonic(), usage(pid)
        tasks = [
            asyncio.ensure_future(
                stream(
                    client,
                    LAYOUT.caller_address(0),
                    model="m",
                    prompt=f"load {count} {number}",
                    tokens=TOKENS,
                    headers=WORKSPACE,
                )
            )
            for number in range(count)
        ]
        await asyncio.sleep(1.0)
        open_memory = usage(pid).memory_bytes
        readers = await asyncio.gather(*tasks)
        elapsed_s = time.monotonic() - started_at
        cpu_s = usage(pid).cpu_s - usage_before.cpu_s
        tokens = sum(reader.tokens for reader in readers)
        complete = sum(reader.done for reader in readers)
        if complete != count:
            print(f"{count - complete} of {count} streams are incomplete")
        rate = tokens / cpu_s
        best_rate = max(best_rate, rate)
        memory_per_stream.append((open_memory - usage_idle.memory_bytes) / count)
        print(
            f"{count:7d} {tokens / elapsed_s:9.0f} {cpu_s / elapsed_s:11.2f} "
            f"{rate:14.0f} {count / cpu_s:16.0f} {open_memory / 1e6:7.1f}"
        )
    figure("tokens_per_core_second", best_rate, "tokens/core-s")
    figure("core_share_at_7400_tokens_per_s", DAEMON_TOKENS_PER_S / best_rate, "cores")
    figure("bytes_per_open_stream", memory_per_stream[-1], "bytes")


async def _measure_connections():
    """Compare a new connection for each request with connections that are reused."""
    address = f"{LAYOUT.host}:{LAYOUT.first_port + 100}"
    request = HttpRequest("GET", "/v1/holding")
    client = HttpClient()
    for name, fresh in (("kept", False), ("fresh", True)):
        cpu_before_s, started_at = time.process_time(), time.monotonic()
        for _ in range(PROBES):
            await client.fetch(address, request, timeout_s=5, fresh=fresh)
        elapsed_s, cpu_s = (
            time.monotonic() - started_at,
            time.process_time() - cpu_before_s,
        )
        figure(f"fetch_{name}_connection_ms", 1e3 * elapsed_s / PROBES, "ms")
        figure(f"fetch_{name}_connection_cpu_ms", 1e3 * cpu_s / PROBES, "ms")
    client.close()
