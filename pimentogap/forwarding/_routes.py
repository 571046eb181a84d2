"""Checks a request against the configuration and finds its route and service."""

from dataclasses import dataclass
from enum import StrEnum

from pimentogap.types import Route, RouteKind


class RejectReason(StrEnum):
    """Why the configuration does not allow a request."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    NO_ATTEMPT_ID = "no_attempt_id"


STATUS_BY_REASON = {
    RejectReason.NO_CONFIGURATION: 503,
    RejectReason.NO_ROUTE: 404,
    RejectReason.UNKNOWN_KEY: 401,
    RejectReason.NO_ATTEMPT_ID: 400,
}


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may go to ``service``, for ``workspace`` if it has one."""

    route: Route
    service: str
    workspace: str | None


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request is not allowed by the configuration that is in force."""

    reason: RejectReason


def admit(configuration, request, rng):
    """Return `Admitted` or `Rejected` for ``request``.

    :param configuration: the `ServingConfiguration` in force, or ``None``.
    :param request: the `CallerRequest`.
    :param rng: the random generator that picks among the services of a split route.
    """
    if configuration is None:
        return Rejected(RejectReason.NO_CONFIGURATION)
    route = find_route(configuration, request.host, request.path)
    if route is None:
        return Rejected(RejectReason.NO_ROUTE)
    workspace = None
    if configuration.workspaces_by_key is not None:
        workspace = configuration.workspaces_by_key.get(request.needs.key)
        if workspace is None and route.needs_key:
            return Rejected(RejectReason.UNKNOWN_KEY)
    if not request.needs.attempt_id:
        return Rejected(RejectReason.NO_ATTEMPT_ID)
    return Admitted(route, _pick_service(route.splits, rng), workspace)


def find_route(configuration, host, path):
    """Return the route of ``host`` with the longest prefix of ``path``, if any."""
    name = host.lower()
    routes = configuration.routes_by_host.get(name)
    if routes is None:
        routes = configuration.routes_by_host.get(name.partition(":")[0], ())
    bare_path = path.partition("?")[0]
    for route in routes:
        if bare_path.startswith(route.path_prefix):
            return route
    return None


def is_stream(route):
    """Tell whether ``route`` answers with event streams."""
    return route.kind is RouteKind.STREAMING


def _pick_service(splits, rng):
    if len(splits) == 1:
        return splits[0].service
    weights = [split.weight for split in splits]
    if sum(weights) <= 0:
        return splits[0].service
    return rng.choices(splits, weights)[0].service
