"""Decodes the operator's configuration document."""

from logbook import Logger

from pimentogap.errors import InvalidDocument
from pimentogap.schema import Problem
from pimentogap.types import (
    CallerLimits,
    EngineSpec,
    EngineTimings,
    ModelSpec,
    Route,
    RouteKind,
    ServiceSpec,
    ServingConfiguration,
    Split,
)

log = Logger("platform.configuration")

MAX_LOGGED_CHARS = 40
MS_PER_S = 1000.0
TOKENS_PER_K = 1000.0
PAIRS_PER_M = 1e6
# No figure of an engine, rate or rank is larger than this.
MAX_FIGURE = 1e12
DEFAULT_CHUNK_TOKENS = 2048
KINDS_BY_NAME = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
}


def decode_configuration(data):
    """Return the `ServingConfiguration` that the document ``data`` describes.

    :raises InvalidDocument: if a field is missing or has a wrong type.
    """
    try:
        return _decode(data)
    except KeyError as error:
        raise InvalidDocument([Problem(str(error.args[0]), None, "missing", "a value")])
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise InvalidDocument([Problem("", None, str(error), "a configuration")])


def _decode(data):
    routes = tuple(_route(item) for item in data["routes"])
    services = [_service(item) for item in data["services"]]
    by_host = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    for host_routes in by_host.values():
        host_routes.sort(key=lambda route: -len(route.path_prefix))
    return ServingConfiguration(
        version=data["version"],
        routes=routes,
        services_by_name={service.name: service for service in services},
        limits=_limits(data.get("limits") or {}),
        workspaces_by_key=_workspaces(data.get("tenants")),
        routes_by_host=by_host,
        priorities_by_workspace=_priorities(data.get("tenants")),
    )


def _route(item):
    timeout_ms = item.get("timeoutMs") or 60000
    return Route(
        name=item["name"],
        host=item["host"],
        path_prefix=item["pathPrefix"],
        kind=KINDS_BY_NAME.get(item.get("routeKind"), RouteKind.NON_IDEMPOTENT),
        splits=_splits(item),
        timeout_s=timeout_ms / MS_PER_S,
        first_byte_s=(item.get("targetLatencyMs") or timeout_ms) / MS_PER_S,
        max_gap_s=(item.get("targetGapMs") or 0) / MS_PER_S,
        max_attempts=int(item.get("maxAttempts") or 1),
        needs_key=not item.get("authExempt", False),
        # A sticky route in the platform's terms: its requests name a model.
        carries_model=bool(item.get("sticky", False)),
        resumable=bool(item.get("streamResume", False)),
        priority=int(_figure(item, "priority")),
    )


def _splits(item):
    if item.get("trafficSplit"):
        return tuple(
            Split(part["service"], float(part.get("weight", 1)))
            for part in item["trafficSplit"]
        )
    return (Split(item["service"], 1.0),)


def _service(item):
    engine = item.get("engine")
    return ServiceSpec(
        name=item["name"],
        engine=_engine(engine) if engine else None,
        health_path=str(item.get("healthPath") or "/health"),
        cold_s=_figure(item, "coldStartS"),
        cold_per_s=_figure(item, "coldPerS"),
    )


def _engine(item):
    models = tuple(
        ModelSpec(
            name=model["name"],
            size=int(model.get("size") or 1),
            share=float(model.get("share") or 0),
            pace=float(model.get("pace") or 1),
            load_s=float(model.get("loadS") or 15),
        )
        for model in item.get("models") or ()
    )
    return EngineSpec(
        models=models,
        loads_per_s=float(item.get("loadsPerS") or 4),
        loads_at_once=int(item.get("loads_at_once") or 6),
        slots=int(_figure(item, "slots")),
        memory_tokens=int(_figure(item, "kvCapacity")),
        timings=_timings(item),
    )


def _timings(item):
    """Return the `EngineTimings` of an engine, ``None`` if it names no step."""
    step_s = _figure(item, "step_ms") / MS_PER_S
    if not step_s:
        return None
    usual = item.get("usual")
    usual = usual if isinstance(usual, dict) else {}
    return EngineTimings(
        step_s=step_s,
        per_sequence_s=_figure(item, "per_seq_ms") / MS_PER_S,
        per_context_token_s=_figure(item, "context_per_k") / MS_PER_S / TOKENS_PER_K,
        prompt_tokens_per_s=_figure(item, "read_per_s"),
        attention_pair_s=_figure(item, "pairs_per_m") / MS_PER_S / PAIRS_PER_M,
        chunk_tokens=int(_figure(item, "chunk")) or DEFAULT_CHUNK_TOKENS,
        stride=max(1, int(_figure(item, "stride"))),
        usual_prompt_tokens=_figure(usual, "prompt"),
        usual_answer_tokens=_figure(usual, "answer"),
    )


def _figure(item, key):
    """Return the number under ``key``, 0 if it is missing or of no use.

    A figure that cannot be used switches off what depends on it; it does not make the
    whole configuration unreadable.
    """
    value = item.get(key)
    if value is None:
        return 0.0
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if is_number and 0 <= value <= MAX_FIGURE:
        return float(value)
    log.warning("figure not usable", field=key, value=repr(value)[:MAX_LOGGED_CHARS])
    return 0.0


def _limits(item):
    return CallerLimits(
        max_header_bytes=int(item.get("maxHeaderBytes") or 16384),
        max_body_bytes=int(item.get("maxBodyBytes") or 4 * 2**20),
        header_timeout_s=(item.get("headerTimeoutMs") or 15000) / MS_PER_S,
        idle_timeout_s=(item.get("idleTimeoutMs") or 15000) / MS_PER_S,
    )


def _priorities(tenants):
    return {
        tenant["name"]: int(_figure(tenant, "priority"))
        for tenant in tenants or ()
        if tenant.get("priority") is not None
    }


def _workspaces(tenants):
    if not tenants:
        return None
    return {
        key: tenant["name"] for tenant in tenants for key in tenant.get("apiKeys") or ()
    }
