"""Supervised tasks and what follows an error in one."""

import asyncio
from dataclasses import dataclass

from logbook import Logger

log = Logger("kernel.tasks")

RESTART_DELAY_S = 0.5


@dataclass(frozen=True, slots=True)
class RestartOnError:
    """Log the error and run the task again after ``delay_s`` seconds."""

    delay_s: float = RESTART_DELAY_S


@dataclass(frozen=True, slots=True)
class StopKernelOnError:
    """Log the error and report it to `Kernel.wait_for_failure`.

    For tasks without which the daemon cannot go on; the program then stops.
    """


@dataclass(frozen=True, slots=True)
class LogOnError:
    """Log the error and do not run the task again."""


class TaskSupervisor:
    """Runs tasks on behalf of services and handles errors as ``on_error`` says.

    ``failure`` is a future for the first error of a task with
    `StopKernelOnError`; the kernel creates it when it starts.
    """

    __slots__ = ("_clock", "_tasks_by_owner", "failure")

    def __init__(self, clock):
        self._clock = clock
        self._tasks_by_owner = {}
        self.failure = None

    def spawn(self, owner, function, *args, on_error):
        """Start ``function(*args)`` as a task of ``owner`` and return the task."""
        task = asyncio.create_task(
            self._supervise(owner, function, args, on_error),
            name=f"{owner}:{function.__name__}",
        )
        tasks = self._tasks_by_owner.setdefault(owner, set())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return task

    async def _supervise(self, owner, function, args, on_error):
        while True:
            try:
                return await function(*args)
            except Exception as error:
                log.exception("task {}:{} failed", owner, function.__name__)
                match on_error:
                    case RestartOnError(delay_s):
                        await self._clock.sleep(delay_s)
                    case StopKernelOnError():
                        self._report_failure(error)
                        return None
                    case LogOnError():
                        return None

    def _report_failure(self, error):
        if self.failure is not None and not self.failure.done():
            self.failure.set_result(error)

    async def cancel(self, owner):
        """Cancel every task of ``owner`` and wait until all have ended."""
        tasks = list(self._tasks_by_owner.pop(owner, ()))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
