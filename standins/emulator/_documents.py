"""Sample documents in the form in which the platform and its operator write them."""

MODEL_SERVICE = "llm"
PLAIN_SERVICE = "app"
LARGE_MODEL = "large"
SMALL_MODEL = "small"
HOST = "callers.example"
KEY = "key-of-w1"
WORKSPACE = "w1"

ENGINE = {
    "slots": 13,
    "step_ms": 6.0,
    "per_seq_ms": 0.5,
    "read_per_s": 46000.0,
    "loadsPerS": 4.0,
    "loads_at_once": 6,
    "formMs": 300.0,
    "stallMs": 4000,
    "models": [
        {
            "name": LARGE_MODEL,
            "size": 4,
            "share": 0.67,
            "pace": 1.0,
            "loadS": 16.0,
            "warmS": 1.6,
        },
        {
            "name": SMALL_MODEL,
            "size": 2,
            "share": 0.33,
            "pace": 0.6,
            "loadS": 12.0,
            "warmS": 1.1,
        },
    ],
}


def configuration_document(
    version,
    *,
    routes=None,
    keys=(KEY,),
    services=None,
    model_service=None,
    max_body_bytes=65536,
):
    """Return a complete configuration, as the operator writes it.

    :param routes: the routes, by default those of `default_routes`.
    :param keys: the API keys of the only workspace.
    :param services: the services, by default a model service and a plain one.
    :param model_service: further fields of that model service.
    """
    return {
        "version": version,
        "routes": default_routes() if routes is None else routes,
        "services": services
        or [
            {
                "name": MODEL_SERVICE,
                "maxConns": 400,
                "engine": ENGINE,
                **(model_service or {}),
            },
            {"name": PLAIN_SERVICE, "maxConns": 100},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": max_body_bytes,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": WORKSPACE, "apiKeys": list(keys), "priority": 1}],
    }


def default_routes():
    """Return a streaming, an idempotent and a non-idempotent route."""
    return [
        route("draft", "/draft/", "streaming", MODEL_SERVICE, 8000, 500, attempts=2),
        route("look", "/look/", "idempotent", PLAIN_SERVICE, 1200, 150, attempts=2),
        route("book", "/book/", "non_idempotent", PLAIN_SERVICE, 1200, 150),
    ]


def route(name, prefix, kind, service, timeout_ms, target_latency_ms, *, attempts=1):
    """Return one route of a configuration, for the only host."""
    is_streaming = kind == "streaming"
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeKind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_latency_ms,
        "targetGapMs": 300 if is_streaming else 0,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "authExempt": False,
        "sticky": is_streaming,
        "streamResume": is_streaming,
    }


def settings_document(
    name, *, zone="z-a", ip="127.0.0.1", first_port=27000, store="127.0.0.1:27000"
):
    """Return the settings of one daemon, ready to be dumped as YAML.

    The daemon serves callers on ``first_port``, the readiness check on the next port
    and other daemons on the third.
    """
    return {
        "nodeName": name,
        "zone": zone,
        "zones": {"z-a": "r", "z-b": "r", "z-c": "r"},
        "ip": ip,
        "listenAddrs": {
            "front": f"{ip}:{first_port}",
            "ready": f"{ip}:{first_port + 1}",
        },
        "innerPorts": [first_port + 2, first_port + 3],
        "bootstrap": True,
        "beatIntervalMs": 1200,
        "limits": {"maxFds": 1024},
        "bounds": {
            "drainMs": 2000,
            "graceS": 8,
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "retryBudgetSlack": 130,
            "stallMs": 4000,
            "ceilingWindowS": 5,
        },
        "platformInfo": {"addr": store},
    }
