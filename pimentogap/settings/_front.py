"""What the front daemon is told about its machine and the bounds in force."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class FrontSettings:
    """Settings of one front daemon. Times are in seconds.

    ``grace_s`` is the time from SIGTERM to SIGKILL; ``retry_ratio``,
    ``retry_window_s`` and ``retry_slack`` bound the second sends of the whole
    fleet; ``load_window_s`` is the window in which loads of weights are counted.
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

    @property
    def metrics_address(self):
        """Return where counters and histograms are served."""
        return f"{self.ip}:{self.metrics_port}"

    @property
    def inner_address(self):
        """Return where other daemons reach this one."""
        return f"{self.ip}:{self.inner_port}"
