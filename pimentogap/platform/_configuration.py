"""Decodes the operator's configuration document."""

import math
from fractions import Fraction

from pimentogap.errors import InvalidDocument
from pimentogap.platform._fields import Fields
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

MS_PER_S = 1000.0
TOKENS_PER_K = 1000.0
PAIRS_PER_M = 1e6
DEFAULT_TIMEOUT_MS = 60000
DEFAULT_CHUNK_TOKENS = 2048
DEFAULT_HEADER_TIMEOUT_MS = 15000
DEFAULT_IDLE_TIMEOUT_MS = 15000
KINDS_BY_NAME = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
}


def decode_configuration(data):
    """Return the `ServingConfiguration` that the document ``data`` describes.

    :raises InvalidDocument: with each field that is missing or has a wrong type.
    """
    if not isinstance(data, dict):
        found = type(data).__name__
        raise InvalidDocument([Problem("", None, f"found {found}", "an object")])
    problems = []
    configuration = _decode(Fields("", data, problems))
    if problems:
        raise InvalidDocument(problems)
    return configuration


def _decode(document):
    routes = tuple(
        _route(item) for item in document.children("routes", is_required=True)
    )
    services = [
        _service(item) for item in document.children("services", is_required=True)
    ]
    by_host = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    for host_routes in by_host.values():
        host_routes.sort(key=lambda route: -len(route.path_prefix))
    workspaces = [_workspace(item) for item in document.children("tenants")]
    return ServingConfiguration(
        version=document.exact_number("version"),
        routes=routes,
        services_by_name={service.name: service for service in services},
        limits=_limits(document.child("limits") or Fields("limits", {}, [])),
        workspaces_by_key=(
            {key: name for name, keys, _ in workspaces for key in keys}
            if workspaces
            else None
        ),
        routes_by_host=by_host,
        priorities_by_workspace={
            name: priority for name, _, priority in workspaces if priority is not None
        },
        workspaces=tuple(name for name, _, _ in workspaces),
    )


def _route(item):
    timeout_ms = item.number_above_0("timeoutMs", DEFAULT_TIMEOUT_MS)
    return Route(
        name=item.text("name"),
        host=item.text("host"),
        path_prefix=item.text("pathPrefix"),
        kind=item.one_of("routeKind", KINDS_BY_NAME, RouteKind.NON_IDEMPOTENT),
        splits=_splits(item),
        timeout_s=timeout_ms / MS_PER_S,
        first_byte_s=item.number_above_0("targetLatencyMs", timeout_ms) / MS_PER_S,
        max_gap_s=item.number_above_0("targetGapMs", 0) / MS_PER_S,
        max_attempts=max(1, int(item.number("maxAttempts", 1))),
        needs_key=not item.flag("authExempt"),
        # A sticky route in the platform's terms: its requests name a model.
        carries_model=item.flag("sticky"),
        resumable=item.flag("streamResume"),
        priority=int(item.figure("priority")),
    )


def _splits(item):
    parts = item.children("trafficSplit")
    if not parts:
        return (Split(item.text("service"), 1.0),)
    weights = [max(0, part.exact_number("weight", 1)) for part in parts]
    largest = Fraction(max(weights)) or 1
    return tuple(
        Split(part.text("service"), float(Fraction(weight) / largest))
        for part, weight in zip(parts, weights, strict=True)
    )


def _service(item):
    engine = item.child("engine")
    return ServiceSpec(
        name=item.text("name"),
        engine=_engine(engine) if engine else None,
        health_path=item.text("healthPath", "/health"),
        cold_s=item.figure("coldStartS"),
        cold_per_s=item.figure("coldPerS"),
    )


def _engine(item):
    models = tuple(
        ModelSpec(
            name=model.text("name"),
            size=max(1, int(model.number("size", 1))),
            share=float(model.number_above_0("share", 0)),
            pace=float(model.number_above_0("pace", 1)),
            load_s=float(model.number_above_0("loadS", 15)),
        )
        for model in item.children("models")
    )
    return EngineSpec(
        models=models,
        loads_per_s=float(item.number_above_0("loadsPerS", 4)),
        loads_at_once=max(1, int(item.number_above_0("loads_at_once", 6))),
        slots=int(item.figure("slots")),
        memory_tokens=int(item.figure("kvCapacity")),
        timings=_timings(item),
    )


def _timings(item):
    """Return the `EngineTimings` of an engine, ``None`` if it names no step."""
    step_s = item.figure("step_ms") / MS_PER_S
    if not step_s:
        return None
    usual = item.child("usual") or Fields("usual", {}, [])
    return EngineTimings(
        step_s=step_s,
        per_sequence_s=item.figure("per_seq_ms") / MS_PER_S,
        per_context_token_s=item.figure("context_per_k") / MS_PER_S / TOKENS_PER_K,
        prompt_tokens_per_s=item.figure("read_per_s"),
        attention_pair_s=item.figure("pairs_per_m") / MS_PER_S / PAIRS_PER_M,
        chunk_tokens=int(item.figure("chunk")) or DEFAULT_CHUNK_TOKENS,
        stride=max(1, int(item.figure("stride"))),
        usual_prompt_tokens=usual.figure("prompt"),
        usual_answer_tokens=usual.figure("answer"),
    )


def _limits(item):
    header_timeout_ms = item.number_above_0(
        "headerTimeoutMs", DEFAULT_HEADER_TIMEOUT_MS
    )
    idle_timeout_ms = item.number_above_0("idleTimeoutMs", DEFAULT_IDLE_TIMEOUT_MS)
    return CallerLimits(
        max_header_bytes=math.ceil(item.number_above_0("maxHeaderBytes", 16384)),
        max_body_bytes=math.ceil(item.number_above_0("maxBodyBytes", 4 * 2**20)),
        header_timeout_s=header_timeout_ms / MS_PER_S,
        idle_timeout_s=idle_timeout_ms / MS_PER_S,
    )


def _workspace(item):
    """Return the name, the keys and the rank of a workspace, ``None`` without one."""
    has_rank = item.item.get("priority") is not None
    rank = int(item.figure("priority")) if has_rank else None
    return item.text("name"), item.texts("apiKeys"), rank
