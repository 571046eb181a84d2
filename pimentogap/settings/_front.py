"""The settings of the front daemon: its addresses and the platform's limits."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class FrontSettings:
    """Settings of one front daemon. Times are in seconds.

    ``first_start`` says that the fleet starts for the first time. ``grace_s`` is
    the time from SIGTERM to SIGKILL. For each service, all daemons together may
    make ``retry_ratio`` second attempts for each request of the last
    ``retry_window_s``, and ``retry_slack`` besides. ``load_window_s`` is the window
    over which the rate of weight loads is limited. ``cores`` and ``link_mbps`` are
    what the VM gives the daemon. ``react_s`` is how soon daemons must act on what
    they can know, when nothing hinders them. ``entry_lifetime_s`` is how long the entry
    of a backend server stays in the store that it does not write again. ``memory_mb``
    and ``max_descriptors`` are what a process may use before the platform ends it or
    refuses it sockets. A backend server that is cold gets at most ``cold_overrun``
    times its rate and ``cold_slack`` requests in a second from all daemons.
    A backend server that leaves serves on for ``drain_s``.
    ``evacuation_s`` is the time in which a zone's evacuation takes effect, 0 if zones
    are not evacuated. ``scarce_room`` says that callers may compete for too
    little room at the backend servers, so that daemons share what they know of it.
    """

    id: str
    availability_zone: str
    ip: str
    caller_address: str
    readiness_address: str
    store_address: str
    inner_port: int = 0
    metrics_port: int = 9464
    first_start: bool = False
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    load_window_s: float = 5.0
    react_s: float = 3.0
    entry_lifetime_s: float = 3.6
    drain_s: float = 2.0
    cores: float = 1.0
    link_mbps: float = 1000.0
    memory_mb: float = 300.0
    max_descriptors: int = 4096
    cold_overrun: float = 1.0
    cold_slack: float = 0.0
    evacuation_s: float = 0.0
    scarce_room: bool = False

    @property
    def metrics_address(self):
        """Return the address that serves metrics."""
        return f"{self.ip}:{self.metrics_port}"

    @property
    def inner_address(self):
        """Return the address at which other daemons reach this one."""
        return f"{self.ip}:{self.inner_port}"
