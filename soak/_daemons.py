"""Front daemons as processes, started and signalled by the soak alone."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import yaml

from standins.emulator import settings_document

ROOT = Path(__file__).parent.parent
KILL_WAIT_S = 5.0


class DaemonProcess:
    """One daemon: its settings, its process and the times at which it was troubled.

    ``started_at`` is when the running process began; ``calm_since`` is when its
    last disruption ended, infinity while one lasts.
    """

    __slots__ = (
        "name",
        "ip",
        "caller_address",
        "readiness_address",
        "lives",
        "started_at",
        "calm_since",
        "stopping_since",
        "_process",
        "_folder",
        "_paused",
    )

    def __init__(self, name, ip, folder, *, zone, first_port, store):
        """Write the settings of a daemon that reaches the store at ``store``."""
        self.name = name
        self.ip = ip
        self.caller_address = (ip, first_port)
        self.readiness_address = (ip, first_port + 1)
        self.lives = 0
        self.started_at = 0.0
        self.calm_since = 0.0
        self.stopping_since = None
        self._process = None
        self._folder = Path(folder)
        self._paused = False
        document = settings_document(
            name, zone=zone, ip=ip, first_port=first_port, store=store
        )
        text = yaml.safe_dump(document)
        (self._folder / f"{name}.yaml").write_text(text, encoding="utf-8")

    def start(self):
        """Start the process, whose log is appended to the daemon's own file."""
        environment = {
            **os.environ,
            "PIMENTOGAP_CONFIG": str(self._folder / f"{self.name}.yaml"),
        }
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(ROOT / "front.py")],
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )
        self.lives += 1
        self.started_at = self.calm_since = time.monotonic()
        self.stopping_since = None

    @property
    def running(self):
        """Tell whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self):
        """Return the process's exit code; ``None`` while it runs."""
        return self._process.poll()

    def signal(self, number):
        """Send a signal to the process, if it still runs."""
        if self.running:
            self._process.send_signal(number)

    def pause(self):
        """Stop the process until `resume`."""
        self._paused = True
        self.calm_since = float("inf")
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Let a paused process go on."""
        if self._paused:
            self._paused = False
            self.calm_since = time.monotonic()
            self.signal(signal.SIGCONT)

    async def stop(self, grace_s):
        """Ask the process to end; kill it after ``grace_s``; tell whether it ended."""
        self.stopping_since = time.monotonic()
        self.signal(signal.SIGTERM)
        ended = await self._wait(grace_s)
        if not ended:
            self.signal(signal.SIGKILL)
            await self._wait(KILL_WAIT_S)
        return ended

    async def kill(self):
        """End the process at once."""
        self.calm_since = float("inf")
        self._paused = False
        self.signal(signal.SIGKILL)
        await self._wait(KILL_WAIT_S)

    async def _wait(self, seconds):
        deadline = time.monotonic() + seconds
        while self.running and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        return not self.running
