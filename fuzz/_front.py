"""Front daemons before the emulated platform, judged by what the platform saw."""

import asyncio
from dataclasses import dataclass

from hypothesis import strategies as st

from fuzz._driver import Suite, mixed
from standins.emulator import EmulatedFleet, configuration_document

DAEMONS = 3
DOMAINS = 2
DOMAIN_SIZE = 8
REPLICAS = DOMAINS * DOMAIN_SIZE
PLAIN = 3
START_S = 6.0
SETTLE_S = 45.0
LAPSE_S = 3.6
EVENTS = 27


@dataclass(frozen=True, slots=True)
class Stream:
    """A caller asks a daemon for a stream."""

    daemon: int
    model: str


@dataclass(frozen=True, slots=True)
class Book:
    """A caller books, which may run once at most."""

    daemon: int


@dataclass(frozen=True, slots=True)
class Lose:
    """A replica falls silent, and its entry lapses later."""

    replica: int


@dataclass(frozen=True, slots=True)
class Restart:
    """A replica starts again under its id, with nothing remembered."""

    replica: int


@dataclass(frozen=True, slots=True)
class CutOff:
    """A replica no longer reaches the store; its entry lapses later."""

    replica: int


@dataclass(frozen=True, slots=True)
class Drain:
    """A replica says that it is leaving."""

    replica: int


@dataclass(frozen=True, slots=True)
class LateOrders:
    """Some orders are carried out late and never answered."""

    share: float


@dataclass(frozen=True, slots=True)
class Store:
    """The store is up, refuses, is silent, or loses answers to writes."""

    state: str


@dataclass(frozen=True, slots=True)
class RestartDaemon:
    """A daemon is killed and starts again."""

    daemon: int


@dataclass(frozen=True, slots=True)
class Configure:
    """The operator writes the next version."""


@dataclass(frozen=True, slots=True)
class BadAnswers:
    """Plain replicas lose answers or refuse."""

    lost: float
    refused: float


@dataclass(frozen=True, slots=True)
class Wait:
    """Time passes."""

    seconds: float


class History:
    """The fleet of one history, and what its callers got."""

    __slots__ = ("fleet", "streams", "bookings", "version", "seen_versions", "_lapses")

    def __init__(self, fleet):
        self.fleet = fleet
        self.streams = []
        self.bookings = []
        self.version = 1
        self.seen_versions = {}
        self._lapses = []

    async def apply(self, step):
        """Carry out one step."""
        fleet = self.fleet
        match step:
            case Stream(daemon, model):
                request = fleet.begin(
                    "POST", "/draft/x", daemon=name(daemon), model=model
                )
                self.streams.append(request)
            case Book(daemon):
                self.bookings.append(
                    fleet.begin("POST", "/book/x", daemon=name(daemon))
                )
            case Lose(index):
                self._replica(index).dark = True
                self._lapse_later(self._replica(index))
            case CutOff(index):
                self._replica(index).cut_from_store = True
                self._lapse_later(self._replica(index))
            case Restart(index):
                replica = self._replica(index)
                replica.dark = replica.cut_from_store = False
                replica.restart()
            case Drain(index):
                self._replica(index).state = "draining"
                self._replica(index).publish()
            case LateOrders(share):
                for replica in fleet.replicas_by_id.values():
                    replica.late_orders = share
            case Store(state):
                self._set_store(state)
            case RestartDaemon(daemon):
                await fleet.kill_daemon(name(daemon))
                await fleet.start_daemon(name(daemon))
                self.seen_versions.pop(name(daemon), None)
            case Configure():
                self.version += 1
                document = configuration_document(self.version)
                fleet.store.put("config", "main", document)
            case BadAnswers(lost, refused):
                for replica in fleet.plain_by_id.values():
                    replica.lose_answers, replica.refusals = lost, refused
            case Wait(seconds):
                await asyncio.sleep(seconds)
        self._check_versions()

    async def mend(self):
        """End every fault and let the fleet settle."""
        await self.apply(Store("up"))
        await self.apply(LateOrders(0.0))
        await self.apply(BadAnswers(0.0, 0.0))
        for index in range(REPLICAS):
            replica = self._replica(index)
            if replica.dark or replica.cut_from_store or replica.state != "ready":
                await self.apply(Restart(index))
        await asyncio.sleep(SETTLE_S)

    def _replica(self, index):
        return self.fleet.replicas_by_id[
            f"i-d{index // DOMAIN_SIZE}-{index % DOMAIN_SIZE}"
        ]

    def _lapse_later(self, replica):
        def lapse():
            if replica.dark or replica.cut_from_store:
                self.fleet.store.remove("servers", replica.id)

        loop = asyncio.get_running_loop()
        self._lapses.append(loop.call_later(LAPSE_S, lapse))

    def _set_store(self, state):
        faults = self.fleet.store.faults
        faults.down = state == "down"
        faults.silent = state == "silent"
        faults.lose_answers = 0.3 if state == "lossy" else 0.0
        faults.late_writes_s = 6.0 if state == "lossy" else 0.0
        if state == "forgetful":
            self.fleet.store.drop_history()

    def _check_versions(self):
        for daemon, kernel in self.fleet.kernels_by_name.items():
            current = kernel.get("serving_configuration").current
            if current is None:
                continue
            before = self.seen_versions.get(daemon, 0)
            assert current.version >= before, f"{daemon} went back to {current.version}"
            self.seen_versions[daemon] = current.version


def name(daemon):
    """Return the name of the daemon with that number."""
    return f"front-{daemon}"


async def check(steps):
    """Run one history and check every promise."""
    fleet = EmulatedFleet()
    await fleet.start(daemons=DAEMONS, domains=DOMAINS, domain_size=DOMAIN_SIZE)
    await asyncio.sleep(START_S)
    history = History(fleet)
    try:
        for step in steps:
            await history.apply(step)
        await history.mend()
        check_promises(history)
        check_repaired(history)
    finally:
        await fleet.close()


def check_promises(history):
    """Check groups, streams and bookings against the platform's own records."""
    records = history.fleet.records
    assert not records.two, f"in two groups: {records.two}"
    assert not records.partial, f"served while incomplete: {records.partial}"
    for stream in history.streams:
        events = stream.events()
        assert events == list(range(1, len(events) + 1)), (stream.id, events)
        if stream.response.ended and stream.response.status == 200:
            assert len(events) == EVENTS, (stream.id, len(events))
    for booking in history.bookings:
        runs = records.runs_of(booking.id)
        assert len(runs) <= 1, f"{booking.id} ran {len(runs)} times"
        if booking.response.status in (408, 421, 429, 503):
            assert not runs, f"{booking.id} was called not run"


def check_repaired(history):
    """Check that both models are served, and the newest version is in force."""
    fleet = history.fleet
    for model in ("large", "small"):
        assert fleet.open_groups(model), f"no group of {model} after the faults"
    for daemon, kernel in fleet.kernels_by_name.items():
        version = kernel.get("serving_configuration").current.version
        assert version == history.version, f"{daemon} has {version}"


DAEMON = st.integers(0, DAEMONS - 1)
REPLICA = st.integers(0, REPLICAS - 1)
SHARE = st.sampled_from([0.0, 0.3])
STEPS = mixed(
    [
        (st.builds(Stream, DAEMON, st.sampled_from(["large", "small"])), 8),
        (st.builds(Book, DAEMON), 5),
        (st.builds(Lose, REPLICA), 3),
        (st.builds(CutOff, REPLICA), 2),
        (st.builds(Restart, REPLICA), 3),
        (st.builds(Drain, REPLICA), 1),
        (st.builds(LateOrders, SHARE), 2),
        (
            st.builds(
                Store,
                st.sampled_from(["up", "up", "down", "silent", "lossy", "forgetful"]),
            ),
            3,
        ),
        (st.builds(RestartDaemon, DAEMON), 2),
        (st.builds(Configure), 2),
        (st.builds(BadAnswers, SHARE, SHARE), 1),
        (st.builds(Wait, st.sampled_from([0.2, 0.5, 1.0, 3.0, 6.0])), 10),
    ]
)
SUITE = Suite("front", STEPS, check)
