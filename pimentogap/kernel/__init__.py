"""The micro-kernel: service registry, ordered start and stop, tasks and clock."""

from pimentogap.kernel._clock import Clock
from pimentogap.kernel._kernel import Kernel
from pimentogap.kernel._tasks import LogOnError, RestartOnError, StopKernelOnError

__all__ = ["Clock", "Kernel", "LogOnError", "RestartOnError", "StopKernelOnError"]
