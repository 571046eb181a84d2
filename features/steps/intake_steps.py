"""Steps for what a daemon takes from its callers, without a network."""

import asyncio
import math

from behave import given, then, when

from pimentogap.intake import ChunkMeter, ChunkTurns, IntakeService, NoRoom
from pimentogap.kernel import Clock, Kernel
from pimentogap.metrics import MetricService
from pimentogap.settings import FrontSettings
from pimentogap.types import CallerLimits, ServingConfiguration

MIB = 2**20
BYTES_BY_UNIT = {"KiB": 1024, "MiB": MIB}
# 64 MiB for the daemon itself; 0.6 of the rest, and three quarters of that for large
# bodies.
MB_WITHOUT_CALLERS = 64
CHUNK_LINE_BYTES = 8


class Configuration:
    """Stands in for the service of the configuration."""

    name = "serving_configuration"
    requires = ()
    __slots__ = ("current",)

    def __init__(self):
        self.current = ServingConfiguration(
            version=1,
            routes=(),
            services_by_name={},
            limits=CallerLimits(header_timeout_s=3.0, idle_timeout_s=15.0),
        )

    async def start(self, kernel):
        """Do nothing."""

    async def stop(self):
        """Do nothing."""


class World:
    """An intake and its callers, by name; ``results`` tells what became of them."""

    __slots__ = ("intake", "kernel", "callers", "results", "tasks")

    def __init__(self, bodies_mib, connections):
        memory_mb = MB_WITHOUT_CALLERS + bodies_mib / 0.6
        settings = FrontSettings(
            id="f",
            availability_zone="z",
            ip="127.0.0.1",
            caller_address="",
            readiness_address="",
            store_address="",
            memory_mb=memory_mb,
            max_descriptors=200 + math.ceil(connections / 0.6),
        )
        self.intake = IntakeService(settings)
        self.kernel = Kernel()
        self.callers, self.results, self.tasks = {}, {}, []

    async def start(self):
        for service in (Configuration(), MetricService(), self.intake):
            self.kernel.register(service)
        await self.kernel.start()

    def connect(self, name, address="10.0.0.1"):
        def close():
            self.results[name] = "closed"

        self.callers[name] = self.intake.admit(address, close)

    def begin_body(self, name, size, address="10.0.0.1"):
        if name not in self.callers:
            self.connect(name, address)

        def turn_away(error):
            self.results[name] = "turned away"
            self.intake.begin_leaving(self.callers[name])

        self.intake.record_received(self.callers[name], 1)
        self.intake.begin_body(self.callers[name], turn_away)
        self.need(name, size)

    def need(self, name, size):
        async def reserve():
            try:
                await self.intake.reserve(self.callers[name], size)
                self.results[name] = "admitted"
            except NoRoom:
                self.results[name] = "no room"
                self.intake.begin_leaving(self.callers[name])

        self.results[name] = "waits"
        if self.intake.try_reserve(self.callers[name], size):
            self.results[name] = "admitted"
        else:
            self.tasks.append(asyncio.ensure_future(reserve()))


def act(context, function, *args):
    """Call ``function(*args)`` in the event loop and let its tasks begin."""

    async def call():
        function(*args)
        await asyncio.sleep(0.01)

    context.simulation.run(call())


@given("an intake with room for {size:d} MiB of bodies and {count:d} connections")
def given_intake(context, size, count):
    context.world = World(size, count)
    context.simulation.run(context.world.start())


@given('"{name}" reads a body of {size:d} {unit}')
@when('"{name}" sends a body of {size:d} {unit}')
def when_body(context, name, size, unit):
    act(context, context.world.begin_body, name, size * BYTES_BY_UNIT[unit])


@given('"{name}" of another address reads a body of {size:d} {unit}')
def given_other_address(context, name, size, unit):
    size *= BYTES_BY_UNIT[unit]
    act(context, context.world.begin_body, name, size, "10.0.0.2")


@given('"{name}" is served with a body of {size:d} {unit}')
def given_served(context, name, size, unit):
    act(context, context.world.begin_body, name, size * BYTES_BY_UNIT[unit])
    context.world.intake.begin_service(context.world.callers[name])


@given('"{name}" is idle')
def given_idle(context, name):
    act(context, context.world.connect, name)
    act(context, context.world.intake.begin_idle, context.world.callers[name])


@given('"{name}" has sent a part of its head')
def given_head(context, name):
    act(context, context.world.connect, name)
    act(context, context.world.intake.record_received, context.world.callers[name], 9)


@given("{count:d} connections on which nothing was sent")
def given_silent(context, count):
    for index in range(count):
        act(context, context.world.connect, f"silent {index}")


@when('"{name}" connects')
def when_connects(context, name):
    act(context, context.world.connect, name)
    assert context.world.callers[name] is not None


@when('"{name}" has been answered')
def when_answered(context, name):
    act(context, context.world.intake.begin_idle, context.world.callers[name])


@when('"{name}" receives {size:d} KiB')
def when_receives(context, name, size):
    caller = context.world.callers[name]
    act(context, context.world.intake.record_received, caller, size * 1024)


@when('"{name}" needs {size:d} MiB more')
def when_needs(context, name, size):
    act(context, context.world.need, name, size * MIB)


@when('{size:d} MiB of the answer of "{name}" are held')
def when_unsent(context, size, name):
    caller = context.world.callers[name]
    act(context, context.world.intake.add_unsent, caller, size * MIB)


@when('"{name}" takes {size:d} KiB')
def when_takes(context, name, size):
    caller = context.world.callers[name]
    act(context, context.world.intake.record_sent, caller, size * 1024)


@when("a sweep comes late")
def when_late_sweep(context):
    """Let the next sweep find that the last one was long ago."""
    context.world.intake._swept_at -= 2
    context.simulation.wait(0.5)


@then('"{name}" is admitted')
def then_admitted(context, name):
    assert context.world.results[name] == "admitted", context.world.results


@then('"{name}" waits')
def then_waits(context, name):
    assert context.world.results[name] == "waits", context.world.results


@then('"{name}" has no room')
def then_no_room(context, name):
    assert context.world.results[name] == "no room", context.world.results


@then('"{name}" is turned away')
def then_turned_away(context, name):
    assert context.world.results[name] == "turned away", context.world.results


@then('"{name}" is closed')
def then_closed(context, name):
    assert context.world.results.get(name) == "closed", context.world.results


@then('"{name}" is not closed')
def then_not_closed(context, name):
    assert context.world.results.get(name) != "closed", context.world.results


@then("nobody is closed")
def then_nobody(context):
    assert "closed" not in context.world.results.values(), context.world.results


@then("the eldest silent connection is closed")
def then_eldest_closed(context):
    closed = [n for n, result in context.world.results.items() if result == "closed"]
    assert closed == ["silent 0"], closed


@when("a body of 1 MiB comes in chunks of {size:d} bytes")
def when_chunks(context, size):
    meter, context.turns = ChunkMeter(), 0
    for _ in range(MIB // size):
        context.turns += meter.needs_turn()
        meter.record_bytes(size + CHUNK_LINE_BYTES)


@then("it needed {turns:d} turns")
def then_turns(context, turns):
    assert context.turns == turns, context.turns


@when("bodies that have had 9, 5, 1 and 0 turns wait for their next turn")
def when_turns(context):
    context.began = []

    async def wait(turns, began, clock):
        await turns.wait(began)
        context.began.append((began, clock.time()))

    async def wait_all():
        clock = Clock()
        turns = ChunkTurns(clock)
        await asyncio.gather(*(wait(turns, began, clock) for began in (9, 5, 1, 0)))

    context.simulation.run(wait_all())


@then("the first one goes on, then the others by the turns that they have had")
def then_order(context):
    assert [began for began, _ in context.began] == [9, 0, 1, 5], context.began


@then("each turn began {ms:d} ms after the one before")
def then_pauses(context, ms):
    times = [at for _, at in context.began]
    pauses = [later - at for at, later in zip(times, times[1:], strict=False)]
    assert all(abs(p - ms / 1000) < 0.001 for p in pauses), pauses
