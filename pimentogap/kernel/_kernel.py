"""The service registry and the life cycle of its services."""

import asyncio
import random

from logbook import Logger

from pimentogap.errors import DependencyCycle, ServiceExists, ServiceNotFound
from pimentogap.kernel._clock import Clock
from pimentogap.kernel._tasks import LogOnError, TaskSupervisor

log = Logger("kernel")


class Kernel:
    """Registers services by name, starts them in order and stops them in reverse.

    A service is an object with a ``name``, a tuple ``requires`` of the names
    that must have started before it, and two coroutines: ``start(kernel)`` and
    ``stop()``. ``stop`` shuts the service down gracefully; the kernel then
    cancels the service's tasks that are still running.
    """

    __slots__ = (
        "clock",
        "random",
        "_services_by_name",
        "_started_names",
        "_supervisor",
    )

    def __init__(self, *, clock=None, seed=None):
        """Create an empty kernel.

        :param clock: the `Clock` that services read; one on the host's time by
            default.
        :param seed: seed of the random generator that services share, which makes
            their choices repeatable.
        """
        self.clock = clock or Clock()
        self.random = random.Random(seed)
        self._services_by_name = {}
        self._started_names = []
        self._supervisor = TaskSupervisor(self.clock)

    def register(self, service):
        """Add ``service`` under its name.

        :raises ServiceExists: if another service has that name.
        """
        if service.name in self._services_by_name:
            raise ServiceExists(service.name)
        self._services_by_name[service.name] = service
        return service

    def get(self, name):
        """Return the service called ``name``.

        :raises ServiceNotFound: if no service has that name.
        """
        try:
            return self._services_by_name[name]
        except KeyError:
            raise ServiceNotFound(name)

    def find(self, name):
        """Return the service called ``name`` if it has started, or ``None``."""
        return self._services_by_name[name] if name in self._started_names else None

    def spawn(self, owner, function, *args, on_error=None):
        """Run ``function(*args)`` as a supervised task of a service.

        :param owner: the service's name; the task is cancelled when it stops.
        :param on_error: `RestartOnError`, `StopKernelOnError` or `LogOnError`
            (the default).
        """
        return self._supervisor.spawn(
            owner, function, *args, on_error=on_error or LogOnError()
        )

    async def start(self):
        """Start every service after those that it requires.

        :raises DependencyCycle: if services require each other in a cycle.
        :raises ServiceNotFound: if a required service is not registered.
        """
        self._supervisor.failure = asyncio.get_running_loop().create_future()
        for name in self._start_order():
            log.debug("starting service {}", name)
            await self._services_by_name[name].start(self)
            self._started_names.append(name)

    async def stop(self):
        """Stop the started services in reverse order and cancel their tasks.

        An error in a service's ``stop`` is logged; the others are still stopped.
        """
        while self._started_names:
            name = self._started_names.pop()
            log.debug("stopping service {}", name)
            try:
                await self._services_by_name[name].stop()
            except Exception:
                log.exception("service {} failed to stop cleanly", name)
            await self._supervisor.cancel(name)

    async def abort(self):
        """Cancel every task at once, without stopping the services gracefully."""
        self._started_names.clear()
        for name in self._services_by_name:
            await self._supervisor.cancel(name)

    async def wait_for_failure(self):
        """Wait for the first error of a task with `StopKernelOnError`; return it."""
        return await asyncio.shield(self._supervisor.failure)

    def _start_order(self):
        order = []
        visiting = set()

        def visit(name):
            if name in order:
                return
            if name in visiting:
                raise DependencyCycle(name)
            visiting.add(name)
            for required in self.get(name).requires:
                visit(required)
            visiting.discard(name)
            order.append(name)

        for name in self._services_by_name:
            visit(name)
        return order
