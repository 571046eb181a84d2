"""Orders to engines, and the report of what an engine holds."""

import json
from dataclasses import dataclass

from pimentogap.errors import ConnectionFailed, OrderRefused, ResponseLost
from pimentogap.schema import dump
from pimentogap.types import HttpRequest

ORDER_TIMEOUT_S = 2.0
ORDER_PATH = "/v1/orders"
HOLDING_PATH = "/v1/holding"


@dataclass(frozen=True, slots=True)
class Assume:
    """Load the model and join a generation of a group as the member ``rank``."""

    assignment: object
    rank: int


@dataclass(frozen=True, slots=True)
class Release:
    """Leave the current group; the engine holds no membership afterwards."""


@dataclass(frozen=True, slots=True)
class Holding:
    """What one engine reports of its membership and its requests.

    ``group`` is ``None`` without a membership; ``running`` counts requests;
    ``cached`` names the weights that need no load, as MODEL/VERSION.
    """

    vm: str
    incarnation: int
    group: str | None
    generation: int
    loaded: bool
    ready: bool
    running: int
    cached: tuple


class OrderClient:
    """Sends orders to engines and reads what they hold."""

    __slots__ = ("_http",)

    def __init__(self, http):
        self._http = http

    async def send(self, address, order, *, fence):
        """Send ``order`` with the fencing number ``fence``; return the new `Holding`.

        :raises OrderRefused: if the engine refuses the order.
        :raises ConnectionFailed: if the engine was not reached.
        :raises ResponseLost: if the order may or may not have been carried out.
        """
        request = HttpRequest(
            "POST", ORDER_PATH, {}, json.dumps(encode_order(order, fence)).encode()
        )
        response = await self._http.fetch(
            address, request, timeout_s=ORDER_TIMEOUT_S, fresh=True
        )
        if response.status != 200:
            raise OrderRefused(f"{address}: {response.body[:200]!r}")
        return decode_holding(response.json())

    async def read(self, address):
        """Return the `Holding` of the engine at ``address``, or ``None`` on failure."""
        request = HttpRequest("GET", HOLDING_PATH)
        try:
            response = await self._http.fetch(
                address, request, timeout_s=ORDER_TIMEOUT_S, fresh=True
            )
            return decode_holding(response.json()) if response.status == 200 else None
        except (ConnectionFailed, ResponseLost):
            return None


def encode_order(order, fence):
    """Return the body of the request that carries ``order``."""
    match order:
        case Assume(assignment, rank):
            return {
                "order": "assume",
                "fence": fence,
                "rank": rank,
                "group": assignment.group,
                "generation": assignment.generation,
                "model": assignment.model,
                "version": assignment.version,
                "members": [dump(vm) for vm in assignment.vms],
            }
        case Release():
            return {"order": "release", "fence": fence}


def decode_holding(data):
    """Return the `Holding` in an engine's report."""
    return Holding(
        vm=data["vm"],
        incarnation=data["incarnation"],
        group=data["group"],
        generation=data["generation"],
        loaded=data["loaded"],
        ready=data["ready"],
        running=data["running"],
        cached=tuple(data.get("cached", ())),
    )
