"""What the front daemon is told about its machine and the bounds in force."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class FrontSettings:
    """Settings of one front daemon. Times are in seconds.

    ``stall_s`` is how long an engine holds work of a group that lost a member;
    ``drain_s`` how soon a leaving backend server must get nothing new;
    ``retry_ratio``, ``retry_window_s`` and ``retry_slack`` bound the second
    sends of the whole fleet.
    """

    id: str
    availability_zone: str
    zones: tuple
    ip: str
    caller_address: str
    readiness_address: str
    store_address: str
    inner_port: int = 0
    metrics_port: int = 9464
    first_start: bool = False
    heartbeat_s: float = 1.2
    grace_s: float = 8.0
    stall_s: float = 4.0
    drain_s: float = 2.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    load_window_s: float = 5.0
    max_descriptors: int = 1024

    @property
    def metrics_address(self):
        """Return where counters and histograms are served."""
        return f"{self.ip}:{self.metrics_port}"

    @property
    def inner_address(self):
        """Return where other daemons reach this one."""
        return f"{self.ip}:{self.inner_port}"
