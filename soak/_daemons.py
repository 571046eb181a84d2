"""Front daemons as processes that the soak starts and signals."""

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
KILL_TIMEOUT_S = 5.0


class DaemonProcess:
    """One daemon: its settings file, its process and the times of its disruptions.

    ``started_at`` is when the current process started, ``undisturbed_since`` when
    its last disruption ended (infinity during one), and ``stopping_since`` when it
    got SIGTERM, if it did. Times are of the monotonic clock.
    """

    __slots__ = (
        "name",
        "ip",
        "caller_address",
        "readiness_address",
        "start_count",
        "started_at",
        "undisturbed_since",
        "stopping_since",
        "_process",
        "_folder",
        "_document",
        "_code",
        "_paused",
    )

    def __init__(
        self, name, ip, folder, *, zone, first_port, store, code=ROOT, limits=None
    ):
        """Prepare the settings; ``folder`` gets their file and the daemon's log.

        :param first_port: the port for callers; the next one is for readiness checks.
        :param store: the ``host:port`` at which the daemon reaches the store.
        :param code: the folder of the checkout that the daemon runs.
        :param limits: the limits of the daemon's VM, by default those of the document.
        """
        self.name = name
        self.ip = ip
        self.caller_address = (ip, first_port)
        self.readiness_address = (ip, first_port + 1)
        self.start_count = 0
        self.started_at = 0.0
        self.undisturbed_since = 0.0
        self.stopping_since = None
        self._process = None
        self._folder = Path(folder)
        self._code = Path(code)
        self._paused = False
        self._document = settings_document(
            name, zone=zone, ip=ip, first_port=first_port, store=store
        )
        self._document["limits"].update(limits or {})

    def start(self):
        """Start the process and append its output to the daemon's log file.

        Only the first start is one of the whole system, and the settings say so.
        """
        self._document["bootstrap"] = self.start_count == 0
        settings_path = self._folder / f"{self.name}.yaml"
        settings_path.write_text(yaml.safe_dump(self._document), encoding="utf-8")
        environment = {
            **os.environ,
            "PIMENTOGAP_CONFIG": str(settings_path),
        }
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(self._code / "front.py")],
                stdout=log,
                stderr=log,
                env=environment,
                cwd=self._code,
            )
        self.start_count += 1
        self.started_at = self.undisturbed_since = time.monotonic()
        self.stopping_since = None

    @property
    def is_running(self):
        """Whether the process has been started and has not exited."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self):
        """The id of the process, or ``None`` if it does not run."""
        return self._process.pid if self.is_running else None

    @property
    def exit_code(self):
        """The exit code of the process, or ``None`` while it runs."""
        return self._process.poll()

    def signal(self, number):
        """Send a signal to the process, if it still runs."""
        if self.is_running:
            self._process.send_signal(number)

    def pause(self):
        """Suspend the process with SIGSTOP until `resume`."""
        self._paused = True
        self.undisturbed_since = float("inf")
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Continue a paused process with SIGCONT."""
        if self._paused:
            self._paused = False
            self.undisturbed_since = time.monotonic()
            self.signal(signal.SIGCONT)

    async def stop(self, grace_s):
        """Send SIGTERM, then SIGKILL if the process still runs after ``grace_s``.

        :return: whether the process exited within ``grace_s``.
        """
        self.stopping_since = time.monotonic()
        self.signal(signal.SIGTERM)
        ended = await self._wait_for_exit(grace_s)
        if not ended:
            self.signal(signal.SIGKILL)
            await self._wait_for_exit(KILL_TIMEOUT_S)
        return ended

    async def kill(self):
        """Send SIGKILL and wait until the process has exited."""
        self.undisturbed_since = float("inf")
        self._paused = False
        self.signal(signal.SIGKILL)
        await self._wait_for_exit(KILL_TIMEOUT_S)

    async def _wait_for_exit(self, seconds):
        deadline = time.monotonic() + seconds
        while self.is_running and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        return not self.is_running
