"""Shared fixtures of the scenarios."""

import asyncio
import tempfile

import logbook
from behave import fixture, use_fixture

from standins.deployment import Deployment, Layout
from standins.local_fleet import LocalFleet
from standins.paused import PausedEventLoop

ZONES = ("z-a", "z-b", "z-c")


class SimulatedFleet:
    """A fleet on a paused clock, and the results that steps keep for later steps.

    ``outcomes`` holds the outcomes of submitted tickets, ``tasks`` the tasks that
    run during later steps, ``notes`` everything else by name.
    """

    __slots__ = ("runner", "fleet", "outcomes", "tasks", "notes")

    def __init__(self, runner, fleet):
        self.runner = runner
        self.fleet = fleet
        self.outcomes = []
        self.tasks = []
        self.notes = {}

    def run(self, coroutine):
        """Run ``coroutine`` on the paused clock and return its result."""
        return self.runner.run(coroutine)

    def call_in_loop(self, function):
        """Call ``function()`` within the event loop and return its result."""

        async def call():
            return function()

        return self.run(call())

    def wait(self, seconds):
        """Let ``seconds`` of the paused clock pass."""
        self.run(asyncio.sleep(seconds))

    def start_task(self, function, *args):
        """Start ``function(*args)`` as a task that keeps running during later steps."""

        async def start():
            return asyncio.ensure_future(function(*args))

        task = self.run(start())
        self.tasks.append(task)
        return task


@fixture
def simulated_fleet(context):
    """Set up a paused clock, and close the fleet that the scenario builds on it."""
    with (
        asyncio.Runner(loop_factory=PausedEventLoop) as runner,
        logbook.NullHandler().applicationbound(),
    ):
        context.simulation = SimulatedFleet(runner, None)
        yield context.simulation
        if context.simulation.fleet is not None:
            runner.run(context.simulation.fleet.close())


@fixture
def deployment(context):
    """Run a deployment of separate processes while the feature runs."""
    layout = Layout(
        region="bzh",
        availability_zones=("bzh-lo", "bzh-pl", "bzh-ca"),
        first_port=23000,
        plain_services=("reservations",),
        step_ms=5.0,
    )
    with tempfile.TemporaryDirectory() as folder:
        context.deployment = Deployment(layout, folder)
        try:
            context.deployment.start()
            yield context.deployment
        finally:
            context.deployment.stop()


def build_fleet(context, **options):
    """Start a `LocalFleet` with ``options`` and let its daemons find each other."""
    simulation = context.simulation

    async def build():
        fleet = LocalFleet(zones=ZONES, **options)
        await fleet.start()
        await asyncio.sleep(3)
        return fleet

    simulation.fleet = simulation.run(build())


def before_feature(context, feature):
    """Start the deployment that all scenarios of a ``deployment`` feature share."""
    if "deployment" in feature.tags:
        use_fixture(deployment, context)


def before_scenario(context, scenario):
    """Set up a paused clock for every scenario without a deployment."""
    if "deployment" not in scenario.effective_tags:
        use_fixture(simulated_fleet, context)
