"""Shared fixtures of the scenarios."""

import asyncio
import tempfile

import logbook
from behave import fixture, use_fixture

from standins.deployment import Deployment, Layout
from standins.local_fleet import LocalFleet
from standins.paused import PausedEventLoop

ZONES = ("z-a", "z-b", "z-c")


class PausedFleet:
    """A fleet on a paused clock, and what the scenario has seen of it."""

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

    def read(self, function):
        """Call ``function()`` at the paused time and return its result."""

        async def call():
            return function()

        return self.run(call())

    def wait(self, seconds):
        """Let time pass."""
        self.run(asyncio.sleep(seconds))

    def begin(self, function, *args):
        """Start ``function(*args)`` as a task that goes on during later steps."""

        async def start():
            return asyncio.ensure_future(function(*args))

        task = self.run(start())
        self.tasks.append(task)
        return task


@fixture
def paused_fleet(context):
    """Give the scenario a way to build a fleet on a paused clock."""
    with (
        asyncio.Runner(loop_factory=PausedEventLoop) as runner,
        logbook.NullHandler().applicationbound(),
    ):
        context.paused = PausedFleet(runner, None)
        yield context.paused
        if context.paused.fleet is not None:
            runner.run(context.paused.fleet.close())


@fixture
def deployment(context):
    """Run a deployment as processes for the whole feature."""
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
    """Start a `LocalFleet` for the scenario."""
    paused = context.paused

    async def build():
        fleet = LocalFleet(zones=ZONES, **options)
        await fleet.start()
        await asyncio.sleep(3)
        return fleet

    paused.fleet = paused.run(build())


def before_feature(context, feature):
    """Start what the whole feature shares."""
    if "deployment" in feature.tags:
        use_fixture(deployment, context)


def before_scenario(context, scenario):
    """Give every scenario without processes a paused clock."""
    if "deployment" not in scenario.effective_tags:
        use_fixture(paused_fleet, context)
