"""Orders to engines, and what an engine says that it holds."""

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
    """Load the model and take place ``rank`` in a generation of a group."""

    assignment: object
    rank: int


@dataclass(frozen=True, slots=True)
class Release:
    """Drop whatever the engine holds."""


@dataclass(frozen=True, slots=True)
class Holding:
    """What one engine says of itself.

    ``cached`` names the weights that it need not load again, as MODEL/VERSION.
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
    """Carries orders to engines and reads back what they hold."""

    __slots__ = ("_http",)

    def __init__(self, http):
        self._http = http

    async def send(self, address, order, *, fence):
        """Send ``order`` under the fencing number ``fence``; return the `Holding`.

        :raises OrderRefused: if the engine refuses the order.
        :raises ConnectionFailed: if the engine was not reached.
        :raises ResponseLost: if the order may or may not have been carried out.
        """
        request = HttpRequest(
            "POST", ORDER_PATH, {}, json.dumps(encode_order(order, fence)).encode()
        )
        response = await self._http.fetch(address, request, timeout_s=ORDER_TIMEOUT_S)
        if response.status != 200:
            raise OrderRefused(f"{address}: {response.body[:200]!r}")
        return decode_holding(response.json())

    async def read(self, address):
        """Return the `Holding` of the engine at ``address``, or ``None``."""
        request = HttpRequest("GET", HOLDING_PATH)
        try:
            response = await self._http.fetch(
                address, request, timeout_s=ORDER_TIMEOUT_S
            )
            return decode_holding(response.json()) if response.status == 200 else None
        except (ConnectionFailed, ResponseLost):
            return None


def encode_order(order, fence):
    """Return ``order`` as plain data."""
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
