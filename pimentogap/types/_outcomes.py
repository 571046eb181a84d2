"""Refusals of requests, and whether a refused request ran."""

from dataclasses import dataclass
from enum import StrEnum


class RunState(StrEnum):
    """Whether a refused request ran on a backend server."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class RefusalCode(StrEnum):
    """The reason of a refusal, as a stable code for callers."""

    MALFORMED = "malformed_request"
    TOO_LARGE = "request_too_large"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    NOT_PERMITTED = "not_permitted"
    NO_CAPACITY = "no_healthy_backend_server"
    OVERLOADED = "overloaded"
    LIMIT = "workspace_limit"
    DEADLINE = "deadline_cannot_be_met"
    STALE = "configuration_not_current"
    STOPPING = "daemon_stopping"
    UPSTREAM_LOST = "backend_server_lost"
    STORE_UNAVAILABLE = "store_unavailable"
    KEY_REUSED = "idempotency_key_reused"
    IN_PROGRESS = "action_in_progress"
    IN_DOUBT = "action_in_doubt"


HTTP_STATUS_BY_CODE = {
    RefusalCode.MALFORMED: 400,
    RefusalCode.TOO_LARGE: 413,
    RefusalCode.UNKNOWN_MODEL: 404,
    RefusalCode.UNKNOWN_SERVICE: 404,
    RefusalCode.UNKNOWN_WORKSPACE: 401,
    RefusalCode.NOT_PERMITTED: 403,
    RefusalCode.NO_CAPACITY: 503,
    RefusalCode.OVERLOADED: 503,
    RefusalCode.LIMIT: 429,
    RefusalCode.DEADLINE: 503,
    RefusalCode.STALE: 503,
    RefusalCode.STOPPING: 503,
    RefusalCode.UPSTREAM_LOST: 502,
    RefusalCode.STORE_UNAVAILABLE: 503,
    RefusalCode.KEY_REUSED: 422,
    RefusalCode.IN_PROGRESS: 409,
    RefusalCode.IN_DOUBT: 409,
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was refused and whether it ran.

    ``retry_after_s`` is zero if a retry would not help.
    """

    code: RefusalCode
    run_state: RunState
    detail: str
    retry_after_s: float = 0.0


def not_run(code, detail, *, retry_after_s=0.0):
    """Return a `Refusal` of a request that certainly did not run."""
    return Refusal(code, RunState.NOT_RUN, detail, retry_after_s)
