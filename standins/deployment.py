"""Runs a complete deployment on loopback, with processes of stand-ins and daemons."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from pathlib import Path

import yaml

FLEET_KEY = "a-key-for-tests-only"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class Layout:
    """The size and addresses of a deployment; all ports are offset from ``first_port``.

    The engines of the VMs in ``unchecked_domains`` don't check fencing numbers.
    ``step_ms`` is the time that an engine takes for one token.
    """

    region: str
    availability_zones: tuple
    daemons: int = 3
    host: str = "127.0.0.1"
    first_port: int = 21000
    domains_per_zone: int = 1
    vms_per_domain: int = 3
    unchecked_domains: tuple = ()
    step_ms: float = 20.0
    plain_services: tuple = ()
    plain_servers: int = 3

    @property
    def platform_address(self):
        """Return the address of the platform's stand-in."""
        return f"{self.host}:{self.first_port}"

    @property
    def control_address(self):
        """Return the address of the stand-ins' control panel."""
        return f"{self.host}:{self.first_port + 1}"

    def caller_address(self, index):
        """Return the address on which daemon ``index`` serves callers."""
        return f"{self.host}:{self.first_port + 10 + index}"

    def operator_address(self, index):
        """Return the address on which daemon ``index`` serves operators."""
        return f"{self.host}:{self.first_port + 30 + index}"

    def peer_address(self, index):
        """Return the address on which daemon ``index`` serves its peers."""
        return f"{self.host}:{self.first_port + 50 + index}"

    def standin_settings(self):
        """Return the settings of the stand-ins, ready to be dumped as YAML."""
        return {
            "host": self.host,
            "platform_address": self.platform_address,
            "region": self.region,
            "availability_zones": list(self.availability_zones),
            "domains_per_zone": self.domains_per_zone,
            "vms_per_domain": self.vms_per_domain,
            "first_vm_port": self.first_port + 100,
            "unchecked_domains": list(self.unchecked_domains),
            "step_ms": self.step_ms,
            "plain": [
                {
                    "name": name,
                    "servers": self.plain_servers,
                    "first_port": self.first_port + 70 + 10 * index,
                }
                for index, name in enumerate(self.plain_services)
            ],
        }

    def daemon_settings(self, index):
        """Return the settings of daemon ``index``, ready to be dumped as YAML."""
        zone = self.availability_zones[index % len(self.availability_zones)]
        return {
            "daemon": {
                "id": f"daemon-{index}",
                "region": self.region,
                "availability_zone": zone,
                "caller_address": self.caller_address(index),
                "operator_address": self.operator_address(index),
                "peer_address": self.peer_address(index),
                "stop_grace": "15s",
                "balancer_notice": "200ms",
            },
            "store": {"address": self.platform_address},
            "peers": {
                "seeds": [self.peer_address(i) for i in range(min(3, self.daemons))],
                "fleet_key": FLEET_KEY,
            },
            "log": {"format": "text", "level": "INFO"},
        }


class Deployment:
    """Starts and ends the processes of a `Layout`."""

    __slots__ = ("layout", "folder", "processes_by_name")

    def __init__(self, layout, folder):
        self.layout = layout
        self.folder = Path(folder)
        self.processes_by_name = {}
        self.folder.mkdir(parents=True, exist_ok=True)

    def start(self):
        """Start the stand-ins, then the daemons; return once `is_connected` is true.

        :raises TimeoutError: if that takes longer than `START_TIMEOUT_S`.
        """
        self._write("standins", self.layout.standin_settings())
        self._spawn("standins", "standins.programs", "run_standins")
        self._wait_for(self.layout.control_address, "/record")
        for index in range(self.layout.daemons):
            self.start_daemon(index, wait=False)
        wait_until(self.is_connected, START_TIMEOUT_S)

    def is_connected(self):
        """Return whether all daemons are up to date and reach each other."""
        daemons = self.layout.daemons
        statuses = [
            get_json(self.layout.operator_address(i), "/status") for i in range(daemons)
        ]
        return all(
            status["reach"]["reachable"] == daemons
            and status["freshness"]["state"] == "current"
            for status in statuses
        )

    def start_daemon(self, index, *, wait=True):
        """Start daemon ``index``; with ``wait``, return once it serves operators."""
        name = f"daemon-{index}"
        self._write(name, self.layout.daemon_settings(index))
        self._spawn(name, "pimentogap.programs", "run_daemon")
        if wait:
            self._wait_for(self.layout.operator_address(index), "/status")

    def stop_daemon(self, index):
        """Stop daemon ``index`` gracefully by SIGTERM; return its exit code."""
        process = self.processes_by_name.pop(f"daemon-{index}")
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def kill_daemon(self, index):
        """Kill daemon ``index``."""
        process = self.processes_by_name.pop(f"daemon-{index}")
        process.kill()
        process.wait()

    def stop(self):
        """Kill every process."""
        for process in self.processes_by_name.values():
            process.kill()
        for process in self.processes_by_name.values():
            process.wait()
        self.processes_by_name.clear()

    def control(self, path):
        """Send a GET to the stand-ins' control panel and return its answer."""
        return get_json(self.layout.control_address, path)

    def _spawn(self, name, module, function):
        code = f"import sys; from {module} import {function}; sys.exit({function}())"
        settings = str(self.folder / f"{name}.yaml")
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes_by_name[name] = subprocess.Popen(
                [sys.executable, "-c", code, "--settings", settings],
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONHASHSEED": "0"},
            )

    def _write(self, name, data):
        text = yaml.safe_dump(data, sort_keys=False)
        (self.folder / f"{name}.yaml").write_text(text, encoding="utf-8")

    def _wait_for(self, address, path):
        wait_until(lambda: get_json(address, path) is not None, START_TIMEOUT_S)


def wait_until(condition, timeout_s):
    """Wait until ``condition()`` is true; errors of the network count as false.

    :raises TimeoutError: if it does not become true in ``timeout_s`` seconds.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        try:
            if condition():
                return
        except (urllib.error.URLError, ConnectionError, TimeoutError):
            pass
        if time.monotonic() >= deadline:
            raise TimeoutError(f"the condition did not become true in {timeout_s} s")
        time.sleep(POLL_S)


def get_json(address, path):
    """GET ``path`` from ``address`` and return the decoded JSON."""
    with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as response:
        return json.load(response)
