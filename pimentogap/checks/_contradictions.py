"""Finds limits of a configuration that contradict each other."""

from pimentogap.checks._findings import Contradiction, Entry, EntryKind
from pimentogap.types import RouteKind

# Rounding of shares that were written with two or three digits.
SHARE_TOLERANCE = 0.02
BYTES_PER_MB = 2**20


def find_contradictions(configuration, *, memory_mb):
    """Return a `Contradiction` for each limit that another one makes void.

    :param configuration: the `ServingConfiguration`.
    :param memory_mb: the memory of the smallest VM that a daemon runs on.
    """
    return [
        *_route_contradictions(configuration),
        *_priority_contradictions(configuration),
        *_service_contradictions(configuration),
        *_limit_contradictions(configuration.limits, memory_mb),
    ]


def _route_contradictions(configuration):
    for index, route in enumerate(configuration.routes):
        entry = Entry(EntryKind.ROUTE, route.name, index)
        for reason in _route_reasons(route):
            yield Contradiction(entry, reason)


def _route_reasons(route):
    is_stream = route.kind is RouteKind.STREAMING
    if route.timeout_s < route.first_byte_s:
        yield (
            f"its timeout of {route.timeout_s:g} s ends requests before their"
            f" latency objective of {route.first_byte_s:g} s"
        )
    elif route.repeatable and route.max_attempts * route.first_byte_s > route.timeout_s:
        yield (
            f"{route.max_attempts} attempts of {route.first_byte_s:g} s each do not fit"
            f" its timeout of {route.timeout_s:g} s"
        )
    if route.max_attempts > 1 and not route.repeatable:
        yield f"only a request that did not run gets its {route.max_attempts} attempts"
    if route.resumable and not is_stream:
        yield "only a stream can be resumed"
    if route.max_gap_s and not is_stream:
        yield "only a stream has gaps between events"


def _priority_contradictions(configuration):
    ranked = configuration.priorities_by_workspace
    named = set((configuration.workspaces_by_key or {}).values())
    if not named or not named <= ranked.keys():
        return
    for index, route in enumerate(configuration.routes):
        if route.priority and route.needs_key:
            entry = Entry(EntryKind.ROUTE, route.name, index)
            reason = "every workspace has a priority, which goes before the route's"
            yield Contradiction(entry, reason)


def _service_contradictions(configuration):
    for index, service in enumerate(configuration.services_by_name.values()):
        entry = Entry(EntryKind.SERVICE, service.name, index)
        if bool(service.cold_s) != bool(service.cold_per_s):
            reason = "a cold start needs both a time and a rate above 0"
            yield Contradiction(entry, reason)
        if service.engine is None:
            continue
        shares = sum(model.share for model in service.engine.models)
        if shares > 1 + SHARE_TOLERANCE:
            reason = f"the shares of its models add up to {shares:g}"
            yield Contradiction(entry, reason)


def _limit_contradictions(limits, memory_mb):
    entry = Entry(EntryKind.LIMITS)
    sizes_by_part = {
        "a body": limits.max_body_bytes,
        "the headers": limits.max_header_bytes,
    }
    for part, size in sizes_by_part.items():
        if size > memory_mb * BYTES_PER_MB:
            reason = f"{part} of {size} B may not fit the {memory_mb:g} MB of a daemon"
            yield Contradiction(entry, reason)
