"""Steps for what daemons tell each other of their load; no network is involved."""

import asyncio

from behave import given, then, when

from pimentogap.calls import CallService
from pimentogap.kernel import Clock, Kernel
from pimentogap.metrics import MetricService
from pimentogap.occupancy import Counts, OccupancyService
from pimentogap.placement import BackendLoad
from pimentogap.types import EngineLoad
from standins.emulator import LocalCallTransport
from standins.paused import PausedEventLoop
from standins.spreading import Spreading

SEED = 1
GROUPS = 18
SLOTS = 24


@given("{daemons:d} daemons that spread a load of {load:g} over 18 groups of 24 slots")
def given_load(context, daemons, load):
    context.daemons, context.load = daemons, load


@when(
    "{late:d} of the groups open after {at_s:g} seconds"
    " and the load lasts {seconds:g} seconds"
)
def when_load_lasts(context, late, at_s, seconds):
    context.figures_by_policy = {}
    for policy in (
        "two random choices",
        "least known load",
        "shared load",
        "oracle",
    ):
        model = Spreading(
            policy,
            daemons=context.daemons,
            servers=GROUPS,
            slots=SLOTS,
            load=context.load,
            seed=SEED,
        )
        model.open_late(late, at_s)
        context.figures_by_policy[policy] = model.run(seconds)


@then('with "{policy}" the busiest group has at most {times:g} times the mean')
def then_busiest(context, policy, times):
    figures = context.figures_by_policy[policy]
    assert figures.busiest <= times, figures


@then('with "{policy}" replicas reject at most {share:g} of the arrivals')
def then_rejected(context, policy, share):
    figures = context.figures_by_policy[policy]
    assert figures.rejected_share <= share, figures


@then('"{policy}" serves within {share:g} of "{other}"')
def then_served(context, policy, share, other):
    served = context.figures_by_policy[policy].served
    assert served >= (1 - share) * context.figures_by_policy[other].served


@then('the figures of "{first}" and "{second}" are printed')
def then_printed(context, first, second):
    for policy, figures in context.figures_by_policy.items():
        print(f"{context.daemons} daemons, load {context.load}, {policy}: {figures}")


class ListedDaemons:
    """The daemons as `DaemonsService` lists them; the first of each zone is a relay."""

    name = "daemons"
    requires = ()
    __slots__ = ("_zone", "_is_relay", "_relays")

    def __init__(self, zone, *, is_relay, relays):
        self._zone = zone
        self._is_relay = is_relay
        self._relays = relays

    async def start(self, kernel):
        """Do nothing; the list is fixed."""

    async def stop(self):
        """Do nothing; the list is fixed."""

    def is_relay(self):
        """Return whether this daemon is its zone's relay."""
        return self._is_relay

    @property
    def all_relay_addresses(self):
        """The addresses of all relays, that of the own zone first."""
        relays = list(self._relays)
        relays.insert(0, relays.pop(self._zone))
        return tuple(relays)

    def relay_addresses(self):
        """Return the relays that a daemon asks."""
        return () if self._is_relay else self.all_relay_addresses


class CountingTransport(LocalCallTransport):
    """Counts the calls that a daemon makes."""

    __slots__ = ("calls",)

    def __init__(self, handlers_by_address):
        super().__init__(handlers_by_address, set(), set())
        self.calls = 0

    async def call(self, address, service, body, *, timeout_s):
        """Count and make a call."""
        self.calls += 1
        return await super().call(address, service, body, timeout_s=timeout_s)


class TellingDaemon:
    """One daemon of the exchange, its own counts and what it heard last."""

    __slots__ = ("kernel", "address", "at_work_by_key", "heard", "heard_at", "calls")

    def __init__(self, index, zone, handlers_by_address, *, is_relay, relays):
        self.address = f"daemon-{index:03d}"
        self.at_work_by_key = {}
        self.heard = None
        self.heard_at = None
        self.calls = CountingTransport(handlers_by_address)
        self.kernel = Kernel(clock=Clock(wall_origin_s=0.0), seed=index)
        occupancy = OccupancyService(self.address, enabled=True)
        occupancy.attach(self._tell, self._hear)
        for service in (
            MetricService(),
            CallService(self.address, self.calls),
            ListedDaemons(zone, is_relay=is_relay, relays=relays),
            occupancy,
        ):
            self.kernel.register(service)

    def _tell(self):
        return Counts(dict(self.at_work_by_key), {}, 1)

    def _hear(self, others):
        self.heard = others
        self.heard_at = self.kernel.clock.time()


@given(
    "{zones:d} availability zones with {count:d} daemons each"
    " that tell each other their requests"
)
def given_exchange(context, zones, count):
    context.runner = asyncio.Runner(loop_factory=PausedEventLoop)
    context.add_cleanup(context.runner.close)
    handlers_by_address = {}
    relays = [f"daemon-{zone * count:03d}" for zone in range(zones)]
    context.telling = [
        TellingDaemon(
            index,
            index // count,
            handlers_by_address,
            is_relay=index % count == 0,
            relays=relays,
        )
        for index in range(zones * count)
    ]
    context.handlers_by_address = handlers_by_address
    context.per_zone = count

    async def start():
        for daemon in context.telling:
            await daemon.kernel.start()

    context.runner.run(start())


@when(
    'daemon {first:d} has {a:d} requests at "{key}"'
    " and daemon {second:d} has {b:d} there"
)
def when_daemons_have(context, first, a, key, second, b):
    context.telling[first].at_work_by_key = {key: a}
    context.telling[second].at_work_by_key = {key: b}
    for daemon in context.telling:
        daemon.at_work_by_key.setdefault("i-2", 1)


@when("{seconds:g} second passes in the exchange")
@when("{seconds:g} seconds pass in the exchange")
def when_exchange_runs(context, seconds):
    for daemon in context.telling:
        daemon.calls.calls = 0
    context.exchanged_s = seconds
    context.runner.run(asyncio.sleep(seconds))


@when("the relay of daemon {index:d} ends")
def when_relay_ends(context, index):
    end_daemon(context, index // context.per_zone * context.per_zone)


@when("daemon {index:d} ends")
def when_daemon_ends(context, index):
    end_daemon(context, index)


def end_daemon(context, index):
    daemon = context.telling[index]
    context.handlers_by_address.pop(daemon.address, None)
    context.runner.run(daemon.kernel.abort())


@then(
    'daemon {index:d} knows of {count:d} requests at "{key}",'
    " at most {age_s:g} seconds old"
)
def then_knows(context, index, count, key, age_s):
    daemon = context.telling[index]
    assert daemon.heard.counts.at_work_by_key.get(key, 0) == count, daemon.heard
    loop_time = context.runner.get_loop().time()
    assert loop_time - daemon.heard_at + daemon.heard.age_s <= age_s, daemon.heard


@then('daemon {index:d} knows of {count:d} requests at "{key}"')
def then_knows_count(context, index, count, key):
    heard = context.telling[index].heard
    assert heard.counts.at_work_by_key.get(key, 0) == count, heard


@then("no daemon makes more than {most:d} calls a second")
def then_few_calls(context, most):
    for daemon in context.telling:
        assert daemon.calls.calls <= most * context.exchanged_s, daemon.calls.calls


@when("a daemon states nonsense")
def when_nonsense(context):
    statements = (
        {},
        {"daemon": "x", "daemons": 1, "flows": {}, "at_work": {"i-1": -5}},
        {"daemon": "x", "daemons": 1, "flows": {}, "at_work": {"i-1": 1e300}},
        {"daemon": "x", "daemons": True, "flows": {}, "at_work": {}},
        {"daemon": "x", "daemons": 1, "flows": {"m": [1]}, "at_work": {}},
        {"daemon": 7, "daemons": 1, "flows": {}, "at_work": {"i-1": 1}},
    )

    async def state():
        handler = context.handlers_by_address[context.telling[0].address]
        answers = [await handler("occupancy_tell", body) for body in statements]
        await asyncio.sleep(1.0)
        return answers

    context.answers = context.runner.run(state())


@then('it gets no answer, and daemon {index:d} knows of {count:d} requests at "{key}"')
def then_no_answer(context, index, count, key):
    assert context.answers == [{}] * len(context.answers), context.answers
    then_knows_count(context, index, count, key)


@given("a group with {slots:d} slots that others state {stated:d} requests at")
def given_stated(context, slots, stated):
    context.load = BackendLoad("b", slots)
    context.load.record_others(stated, 0.0)


@when("it reports {reported:d} requests to each of {count:d} answers")
def when_reported(context, reported, count):
    for _ in range(count):
        context.load.record_report(EngineLoad(reported, 0, 24), 0.1)
    context.load.record_hidden((0, 0), 0.1)


@then("{expected:d} requests are expected there")
def then_expected(context, expected):
    assert context.load.expected_requests(0.1) == expected


@then("each daemon knows the requests of {count:d} others, and the pace of each head")
def then_pools_known(context, count):
    fleet = context.simulation.fleet
    heads = {head.id for head in fleet.open_group_heads("small")}
    for kernel in fleet.kernels_by_name.values():
        gauges = kernel.get("metrics").gauges_by_series
        values = {series.name: value for series, value in gauges.items()}
        assert values["occupancy_daemons"] == count, values
        paced = {s.backend for s in gauges if s.name == "pace_limit"}
        assert heads <= paced, (heads, paced)


@when("every other daemon is killed and {seconds:g} seconds pass")
def when_others_killed(context, seconds):
    fleet = context.simulation.fleet
    _, *others = sorted(fleet.kernels_by_name, reverse=True)
    for name in others:
        context.simulation.run(fleet.kill_daemon(name))
    context.simulation.wait(seconds)


@then("the daemon that is left knows of no others")
def then_knows_of_none(context):
    (kernel,) = context.simulation.fleet.kernels_by_name.values()
    gauges = kernel.get("metrics").gauges_by_series
    values = {series.name: value for series, value in gauges.items()}
    assert values["occupancy_daemons"] == 0, values
    assert values["occupancy_age_seconds"] > 1.5, values
