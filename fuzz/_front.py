"""Front daemons under faults, checked against the emulated platform's records."""

import asyncio
from dataclasses import dataclass

from hypothesis import strategies as st

from fuzz._driver import Suite, weighted_histories
from standins.emulator import EmulatedFleet, configuration_document

DAEMONS = 3
DOMAINS = 2
DOMAIN_SIZE = 8
REPLICAS = DOMAINS * DOMAIN_SIZE
PLAIN_REPLICAS = 3
STARTUP_S = 6.0
SETTLE_S = 45.0
ENTRY_EXPIRY_S = 3.6
EVENTS_PER_STREAM = 27
SOUND_PART = "sound"
DEADLY_PART = "deadly"
WRITE_AGAIN_S = 2.0
# Longer than the longest time to the trial of a quarantined part.
RELEASE_LIMIT_S = 65.0


@dataclass(frozen=True, slots=True)
class Stream:
    """A caller requests a streamed completion of ``model`` from one daemon."""

    daemon: int
    model: str


@dataclass(frozen=True, slots=True)
class DeadlyStream:
    """A caller requests a stream with a prompt part that crashes replicas."""

    daemon: int
    model: str


@dataclass(frozen=True, slots=True)
class Book:
    """A caller sends one daemon an action that may run at most once."""

    daemon: int


@dataclass(frozen=True, slots=True)
class Lose:
    """A replica stops answering, and its entry expires `ENTRY_EXPIRY_S` later."""

    replica: int


@dataclass(frozen=True, slots=True)
class Restart:
    """A replica restarts under the same id, without any state of its earlier run."""

    replica: int


@dataclass(frozen=True, slots=True)
class CutOff:
    """A replica loses the store, and its entry expires `ENTRY_EXPIRY_S` later."""

    replica: int


@dataclass(frozen=True, slots=True)
class Drain:
    """A replica publishes the state ``draining``."""

    replica: int


@dataclass(frozen=True, slots=True)
class LateOrders:
    """Replicas carry out this share of the orders late and never answer them."""

    share: float


@dataclass(frozen=True, slots=True)
class Store:
    """The store changes to ``state``.

    ``up``, ``down`` (refuses), ``silent`` (never answers), ``lossy`` (executes some
    writes late and never answers these) or ``forgetful`` (up, but it has discarded the
    history that watches resume from).
    """

    state: str


@dataclass(frozen=True, slots=True)
class RestartDaemon:
    """One daemon crashes and starts again."""

    daemon: int


@dataclass(frozen=True, slots=True)
class GoBack:
    """The store comes back from a copy of ``age_s`` seconds ago.

    What the operator and the replicas wrote since is written again within
    `WRITE_AGAIN_S`, each object at its own moment.
    """

    age_s: float


@dataclass(frozen=True, slots=True)
class NameLimit:
    """A replica names a limit in its answers from now on; ``None`` for no limit."""

    index: int
    text: str | None


@dataclass(frozen=True, slots=True)
class Configure:
    """The operator writes the next version of the configuration."""


@dataclass(frozen=True, slots=True)
class BadAnswers:
    """Plain replicas drop a share of their answers and refuse a share of requests."""

    lost: float
    refused: float


@dataclass(frozen=True, slots=True)
class Wait:
    """Let time pass."""

    seconds: float


class History:
    """The fleet of one history with the requests that its callers sent.

    :param fleet: an `EmulatedFleet` that has been started.
    """

    __slots__ = (
        "fleet",
        "streams",
        "deadly_streams",
        "bookings",
        "version",
        "seen_versions",
        "_expiry_timers",
    )

    def __init__(self, fleet):
        self.fleet = fleet
        self.streams = []
        self.deadly_streams = []
        self.bookings = []
        self.version = 1
        self.seen_versions = {}
        self._expiry_timers = []

    async def apply(self, step):
        """Apply one step, then check that no daemon went back to an older version."""
        fleet = self.fleet
        match step:
            case Stream(daemon, model):
                self.streams.append(self._request(daemon, model, SOUND_PART))
            case DeadlyStream(daemon, model):
                request = self._request(daemon, model, SOUND_PART, DEADLY_PART)
                self.deadly_streams.append(request)
            case Book(daemon):
                self.bookings.append(
                    fleet.send_request("POST", "/book/x", daemon=daemon_name(daemon))
                )
            case Lose(index):
                self._replica(index).is_silent = True
                self._expire_entry_later(self._replica(index))
            case CutOff(index):
                self._replica(index).cut_from_store = True
                self._expire_entry_later(self._replica(index))
            case Restart(index):
                replica = self._replica(index)
                replica.is_silent = replica.cut_from_store = False
                replica.restart()
            case Drain(index):
                self._replica(index).state = "draining"
                self._replica(index).publish()
            case LateOrders(share):
                for replica in fleet.replicas_by_id.values():
                    replica.late_order_share = share
            case Store(state):
                self._set_store(state)
            case RestartDaemon(daemon):
                await fleet.kill_daemon(daemon_name(daemon))
                await fleet.start_daemon(daemon_name(daemon))
                self.seen_versions.pop(daemon_name(daemon), None)
            case Configure():
                self.version += 1
                document = configuration_document(self.version)
                fleet.store.put("config", "main", document)
            case GoBack(age_s):
                fleet.store.go_back(age_s)
                fleet.store.write_again(spread_s=WRITE_AGAIN_S)
            case NameLimit(index, text):
                self._replica(index).limit_text = text
            case BadAnswers(lost, refused):
                for replica in fleet.plain_replicas_by_id.values():
                    replica.lose_answer_share, replica.refusal_share = lost, refused
            case Wait(seconds):
                await asyncio.sleep(seconds)
        self._check_versions()

    def _request(self, daemon, model, *parts):
        return self.fleet.send_request(
            "POST", "/draft/x", daemon=daemon_name(daemon), model=model, parts=parts
        )

    async def check_sound_part_served(self):
        """Check that each daemon serves the sound part, once it may be tried again."""
        limit = asyncio.get_running_loop().time() + RELEASE_LIMIT_S
        unserved = set(range(DAEMONS))
        while unserved and asyncio.get_running_loop().time() < limit:
            requests_by_daemon = {
                daemon: self._request(daemon, "large", SOUND_PART)
                for daemon in unserved
            }
            await asyncio.sleep(2.0)
            for daemon, request in requests_by_daemon.items():
                if request.response.status == 200:
                    unserved.discard(daemon)
        assert not unserved, f"daemons {unserved} do not serve a sound part"

    async def end_faults(self):
        """End every fault, then wait `SETTLE_S` for the fleet to recover."""
        await self.apply(Store("up"))
        await self.apply(LateOrders(0.0))
        await self.apply(BadAnswers(0.0, 0.0))
        for index in range(REPLICAS):
            await self.apply(NameLimit(index, None))
        for index in range(REPLICAS):
            replica = self._replica(index)
            if replica.is_silent or replica.cut_from_store or replica.state != "ready":
                await self.apply(Restart(index))
        await asyncio.sleep(SETTLE_S)

    def _replica(self, index):
        return self.fleet.replicas_by_id[
            f"i-d{index // DOMAIN_SIZE}-{index % DOMAIN_SIZE}"
        ]

    def _expire_entry_later(self, replica):
        def expire_entry():
            if replica.is_silent or replica.cut_from_store:
                self.fleet.store.remove("servers", replica.id)

        loop = asyncio.get_running_loop()
        self._expiry_timers.append(loop.call_later(ENTRY_EXPIRY_S, expire_entry))

    def _set_store(self, state):
        faults = self.fleet.store.faults
        faults.down = state == "down"
        faults.silent = state == "silent"
        faults.lose_answer_share = 0.3 if state == "lossy" else 0.0
        faults.late_writes_s = 6.0 if state == "lossy" else 0.0
        if state == "forgetful":
            self.fleet.store.drop_history()

    def _check_versions(self):
        for daemon, kernel in self.fleet.kernels_by_name.items():
            current = kernel.get("serving_configuration").current
            if current is None:
                continue
            newest_seen = self.seen_versions.get(daemon, 0)
            assert current.version >= newest_seen, (
                f"{daemon} went back to version {current.version}"
            )
            self.seen_versions[daemon] = current.version


def daemon_name(daemon):
    """Return the name of the daemon with index ``daemon``."""
    return f"front-{daemon}"


async def check(steps):
    """Run one history, then check the guarantees and the recovery."""
    fleet = EmulatedFleet()
    await fleet.start(daemons=DAEMONS, domains=DOMAINS, domain_size=DOMAIN_SIZE)
    await asyncio.sleep(STARTUP_S)
    for replica in fleet.replicas_by_id.values():
        replica.deadly_parts = (DEADLY_PART,)
    history = History(fleet)
    try:
        for step in steps:
            await history.apply(step)
        await history.end_faults()
        check_guarantees(history)
        check_recovered(history)
        await history.check_sound_part_served()
    finally:
        await fleet.close()


def check_guarantees(history):
    """Check groups, streams and actions against the platform's records.

    No replica is in two groups, no incomplete group serves, streams have no gap and
    no duplicate, actions run at most once, and refused actions don't run.
    """
    records = history.fleet.records
    assert not records.replicas_in_two_groups, (
        f"in two groups: {records.replicas_in_two_groups}"
    )
    assert not records.runs_in_incomplete_groups, (
        f"served while incomplete: {records.runs_in_incomplete_groups}"
    )
    for stream in history.streams:
        events = stream.events()
        assert events == list(range(1, len(events) + 1)), (stream.id, events)
        if stream.response.is_finished and stream.response.status == 200:
            assert len(events) == EVENTS_PER_STREAM, (stream.id, len(events))
    for stream in history.deadly_streams:
        assert stream.response.status != 200, f"{stream.id} was answered"
        if stream.response.status == 503:
            arrived = [a for a in records.arrivals if a.attempt_id == stream.id]
            assert not arrived, f"{stream.id} was refused as not run but was sent"
    for booking in history.bookings:
        runs = records.runs_of(booking.id)
        assert len(runs) <= 1, f"{booking.id} ran {len(runs)} times"
        if booking.response.status in (408, 421, 429, 503):
            assert not runs, f"{booking.id} was refused as not run but ran"


def check_recovered(history):
    """Check that each model has an open group and each daemon the newest version."""
    fleet = history.fleet
    for model in ("large", "small"):
        assert fleet.open_group_heads(model), f"no group of {model} after the faults"
    for daemon, kernel in fleet.kernels_by_name.items():
        version = kernel.get("serving_configuration").current.version
        assert version == history.version, f"{daemon} has version {version}"


DAEMON = st.integers(0, DAEMONS - 1)
REPLICA = st.integers(0, REPLICAS - 1)
SHARE = st.sampled_from([0.0, 0.3])
STEPS = weighted_histories(
    [
        (st.builds(Stream, DAEMON, st.sampled_from(["large", "small"])), 8),
        (st.builds(DeadlyStream, DAEMON, st.sampled_from(["large", "small"])), 4),
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
        (st.builds(GoBack, st.sampled_from([0.5, 2.0, 5.0, 9.0])), 2),
        (
            st.builds(
                NameLimit, REPLICA, st.sampled_from(["0.5", "2", "0", "-1", None])
            ),
            3,
        ),
        (st.builds(BadAnswers, SHARE, SHARE), 1),
        (st.builds(Wait, st.sampled_from([0.2, 0.5, 1.0, 3.0, 6.0])), 10),
    ]
)
SUITE = Suite("front", STEPS, check)
