"""Chooses the backend server for a request by estimated cost."""

from dataclasses import dataclass

from pimentogap.routing._replicas import Replica
from pimentogap.types import Refusal, RefusalCode, not_run

RANDOM_CANDIDATES = 2
PREFIX_CANDIDATES = 2
BLOCK_PREFILL_S = 0.0016
FULL_LOAD_COST_S = 0.04
OTHER_ZONE_COST_S = 0.002
STRAGGLER_RATIO = 2.5
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Forward:
    """Send the request to ``replica``, chosen among the `Considered` candidates."""

    replica: Replica
    considered: tuple


@dataclass(frozen=True, slots=True)
class Considered:
    """One candidate and what its estimated cost rests on."""

    server_id: str
    cost_s: float
    cached_blocks: int
    load: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request, which was not run."""

    refusal: Refusal


class PlacementPolicy:
    """Compares servers by cached prefix, load, zone, speed and slow start.

    Of many servers only a few are compared: those that have cached most of the
    prompt's prefix, and some at random. Daemons that base their choice on the
    same stale reports therefore do not all pick the same idle server.
    """

    __slots__ = ("_random", "_zone")

    def __init__(self, random, *, availability_zone):
        self._random = random
        self._zone = availability_zone

    def decide(self, replicas, *, blocks, now, excluded=(), daemons_per_server=1.0):
        """Return `Forward` or `Refuse`.

        :param replicas: the `Replica` objects of the service that the daemon uses.
        :param blocks: the prompt's prefix blocks, empty for a plain service.
        :param now: seconds of the runtime's clock.
        :param excluded: ids of servers at which this request has failed.
        :param daemons_per_server: how many daemons on average send requests to each
            server.
        """
        permitted = [r for r in replicas if r.is_permitted(now)]
        usable = [r for r in permitted if r.server.id not in excluded]
        healthy = [r for r in usable if now >= r.ejected_until]
        if not usable:
            detail = f"none of {len(replicas)} backend servers is complete and healthy"
            code = RefusalCode.NO_CAPACITY
            return Refuse(not_run(code, detail, retry_after_s=RETRY_AFTER_S))
        candidates = self._candidates(healthy or usable, blocks)
        step_s = self._median_step(usable)
        costs = [
            (self._cost(r, blocks, now, step_s, daemons_per_server), r)
            for r in candidates
        ]
        considered = tuple(
            Considered(
                replica.server.id,
                round(cost_s, 4),
                replica.cached_blocks(blocks),
                round(replica.load(now, daemons_per_server), 1),
            )
            for cost_s, replica in costs
        )
        _, best = min(costs, key=lambda pair: pair[0])
        return Forward(best, considered)

    def _candidates(self, replicas, blocks):
        count = min(RANDOM_CANDIDATES, len(replicas))
        chosen = self._random.sample(replicas, count)
        if blocks:
            holders = [r for r in replicas if blocks[0] in r.blocks]
            holders.sort(key=lambda r: (-r.cached_blocks(blocks), r.in_flight))
            chosen.extend(r for r in holders[:PREFIX_CANDIDATES] if r not in chosen)
        return chosen

    def _cost(self, replica, blocks, now, step_s, daemons_per_server):
        capacity = replica.capacity * replica.usable_share(now)
        load = (replica.load(now, daemons_per_server) + 1) / capacity
        cost_s = FULL_LOAD_COST_S * load + replica.request_time_s * max(0.0, load - 1)
        cost_s += BLOCK_PREFILL_S * (len(blocks) - replica.cached_blocks(blocks))
        if replica.server.availability_zone != self._zone:
            cost_s += OTHER_ZONE_COST_S
        if step_s and replica.step_s and replica.step_s > STRAGGLER_RATIO * step_s:
            cost_s *= replica.step_s / step_s
        return cost_s

    def _median_step(self, replicas):
        steps = sorted(r.step_s for r in replicas if r.step_s is not None)
        return steps[len(steps) // 2] if steps else None
