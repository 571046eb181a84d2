"""A model of many daemons that spread requests over backend servers, without a network.

Daemons know each other's requests by way of the product's `OccupancyBook`, and choose
by one of several policies.
"""

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass
from itertools import count

from pimentogap.occupancy import Counts, OccupancyBook
from pimentogap.placement import BackendLoad, ModelFlow, choose_by_room
from pimentogap.types import EngineLoad

INTERVAL_S = 0.2
JITTER = 0.2
HOP_S = 0.002
DAEMONS_PER_RELAY = 20
ANSWER_DELAY_S = 0.15
SAMPLE_INTERVAL_S = 0.1
WARM_UP_S = 2.0
EQUAL_LOAD_REQUESTS = 0.75
OTHERS_LIFETIME_S = 1.5
MODEL = "model"


@dataclass(frozen=True, slots=True)
class Figures:
    """What a run showed; ``busiest`` is the busiest server's part of the mean.

    ``rejected_share`` is the share of arrivals that a backend server rejected,
    ``refused_share`` that for which a daemon knew no server with room.
    """

    busiest: float
    rejected_share: float
    refused_share: float
    served: int


class Server:
    """A backend server that runs ``slots`` requests and queues as many."""

    __slots__ = ("slots", "at_work", "opens_at", "queue")

    def __init__(self, slots):
        self.slots = slots
        self.at_work = 0
        self.opens_at = 0.0
        self.queue = deque()

    @property
    def is_full(self):
        """Whether slots and queue are taken."""
        return self.at_work >= 2 * self.slots

    @property
    def has_free_slot(self):
        """Whether a request would run at once."""
        return self.at_work < self.slots


class Spreading:
    """Runs one policy on a load and measures how evenly it spreads."""

    __slots__ = (
        "now",
        "_policy",
        "_random",
        "_events",
        "_order",
        "_servers",
        "_loads_by_daemon",
        "_flows",
        "_heard",
        "_books",
        "_rate",
        "_service_s",
        "_counts",
        "_ratios",
    )

    def __init__(self, policy, *, daemons, servers, slots, load, service_s=0.9, seed=0):
        """Set the load, as the share of all slots that requests keep at work."""
        self.now = 0.0
        self._policy = policy
        self._random = random.Random(seed)
        self._events = []
        self._order = count()
        self._servers = [Server(slots) for _ in range(servers)]
        self._loads_by_daemon = [
            [BackendLoad(str(index), slots, limit=slots) for index in range(servers)]
            for _ in range(daemons)
        ]
        self._flows = [ModelFlow() for _ in range(daemons)]
        self._heard = [(-math.inf, 0.0)] * daemons
        self._books = [OccupancyBook() for _ in range(-(-daemons // DAEMONS_PER_RELAY))]
        self._rate = load * servers * slots / service_s
        self._service_s = service_s
        self._counts = {"arrived": 0, "rejected": 0, "refused": 0, "served": 0}
        self._ratios = []

    def open_late(self, servers, at_s):
        """Let the last ``servers`` servers open after ``at_s`` seconds."""
        for server in self._servers[-servers:]:
            server.opens_at = at_s

    def run(self, seconds):
        """Run for ``seconds`` seconds and return the `Figures`."""
        for daemon in range(len(self._loads_by_daemon)):
            self._at(self._random.random() * INTERVAL_S, self._tell, daemon)
        for index in range(len(self._books)):
            self._at(self._random.random() * INTERVAL_S, self._swap, index)
        self._at(0.0, self._arrive)
        self._at(WARM_UP_S, self._sample)
        while self._events[0][0] < seconds:
            self.now, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
        ratios = sorted(self._ratios)
        arrived = self._counts["arrived"]
        return Figures(
            ratios[int(0.95 * len(ratios))],
            self._counts["rejected"] / arrived,
            self._counts["refused"] / arrived,
            self._counts["served"],
        )

    def _at(self, delay_s, act, *arguments):
        event = (self.now + delay_s, next(self._order), act, arguments)
        heapq.heappush(self._events, event)

    def _arrive(self):
        self._at(self._random.expovariate(self._rate), self._arrive)
        self._counts["arrived"] += 1
        daemon = self._random.randrange(len(self._loads_by_daemon))
        loads = self._loads_by_daemon[daemon]
        listed = [
            index
            for index, server in enumerate(self._servers)
            if server.opens_at <= self.now
        ]
        chosen = self._choose(daemon, [loads[index] for index in listed], listed)
        if chosen is None:
            self._counts["refused"] += 1
            return
        server = self._servers[chosen]
        if server.is_full:
            self._counts["rejected"] += 1
            return
        loads[chosen].in_flight += 1
        if server.has_free_slot:
            self._run(daemon, chosen)
        else:
            server.queue.append(daemon)
        server.at_work += 1

    def _run(self, daemon, index):
        self._at(ANSWER_DELAY_S, self._report, daemon, index)
        duration_s = self._random.gammavariate(4, self._service_s / 4)
        self._at(max(ANSWER_DELAY_S, duration_s), self._end, daemon, index)

    def _choose(self, daemon, loads, listed):
        expected = [load.expected_requests(self.now) for load in loads]
        match self._policy:
            case "oracle":
                return min(listed, key=lambda index: self._servers[index].at_work)
            case "two random choices":
                pair = self._random.choices(range(len(listed)), k=2)
                return listed[min(pair, key=expected.__getitem__)]
            case "least known load":
                least = min(expected)
                equal = [
                    index
                    for index, each in zip(listed, expected, strict=True)
                    if each - least <= EQUAL_LOAD_REQUESTS
                ]
                return self._random.choice(equal)
            case "shared load":
                return self._choose_by_room(daemon, loads, listed)

    def _choose_by_room(self, daemon, loads, listed):
        flow = self._flows[daemon]
        flow.asked.record(self.now)
        heard_at, heard_age_s = self._heard[daemon]
        age_s = self.now - heard_at
        age_s = age_s + heard_age_s if age_s <= OTHERS_LIFETIME_S else None
        index = choose_by_room(loads, flow, age_s, self.now, self._random)
        if index is None:
            return None
        flow.sent.record(self.now)
        return listed[index]

    def _report(self, daemon, index):
        at_work = self._servers[index].at_work
        load = self._loads_by_daemon[daemon][index]
        load.record_report(EngineLoad(at_work, 0, load.slots), self.now)

    def _end(self, daemon, index):
        server = self._servers[index]
        server.at_work -= 1
        if server.queue:
            self._run(server.queue.popleft(), index)
        self._loads_by_daemon[daemon][index].in_flight -= 1
        self._counts["served"] += 1

    def _sample(self):
        self._at(SAMPLE_INTERVAL_S, self._sample)
        at_work = [
            server.at_work for server in self._servers if server.opens_at <= self.now
        ]
        self._ratios.append(max(at_work) / max(1.0, sum(at_work) / len(at_work)))

    def _tell(self, daemon):
        spread = self._random.uniform(1 - JITTER, 1 + JITTER)
        self._at(INTERVAL_S * spread, self._tell, daemon)
        if self._policy != "shared load":
            return
        loads = self._loads_by_daemon[daemon]
        at_work = {load.backend_id: load.in_flight for load in loads if load.in_flight}
        flows = {MODEL: self._flows[daemon].counts(self.now)}
        self._at(HOP_S, self._hear, daemon, Counts(at_work, flows, 1))

    def _hear(self, daemon, counts):
        book = self._books[daemon // DAEMONS_PER_RELAY]
        book.record_daemon(daemon, counts, self.now)
        others = book.others(daemon, self.now)
        for load in self._loads_by_daemon[daemon]:
            at_work = others.counts.at_work_by_key.get(load.backend_id, 0)
            load.record_others(at_work, self.now)
        self._heard[daemon] = (self.now, others.age_s)
        at_work = sum(
            load.expected_requests(self.now) for load in self._loads_by_daemon[daemon]
        )
        flows = others.counts.flows_by_model.get(MODEL, (0, 0))
        self._flows[daemon].record_others(flows, at_work, self.now)

    def _swap(self, index):
        """Swap sums with the relays of a higher number."""
        spread = self._random.uniform(1 - JITTER, 1 + JITTER)
        self._at(INTERVAL_S * spread, self._swap, index)
        book = self._books[index]
        for other_index in range(index + 1, len(self._books)):
            other = self._books[other_index]
            for source, source_index, target in (
                (book, index, other),
                (other, other_index, book),
            ):
                told = source.told(self.now)
                target.record_relay(
                    source_index, told.counts, self.now, age_s=told.age_s
                )
