"""Routes, workspaces, backend servers and model groups, as the platform has them."""

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """The kind of a route's requests, which decides whether one may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class Split:
    """The relative ``weight`` of a service among those that a route splits over."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """The services, timeouts and attempts for requests of a host and path prefix.

    ``first_byte_s`` is the latency objective for the answer or for the first event
    of a stream, ``max_gap_s`` the one for the gap between two events.
    ``carries_model`` says whether its requests name a model, ``resumable`` whether
    a stream can go on after the last event that the caller got. ``priority`` is the
    rank among routes, 0 the highest.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    splits: tuple
    timeout_s: float
    first_byte_s: float
    max_gap_s: float = 0.0
    max_attempts: int = 1
    needs_key: bool = True
    carries_model: bool = False
    resumable: bool = False
    priority: int = 0

    @property
    def repeatable(self):
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.resumable
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelSpec:
    """A model of a service and what its model groups need.

    ``size`` is the number of backend servers of a group. ``share`` is the model's
    part of the work of the service's backend servers. ``load_s`` is the time in which
    a complete group loads from the weight store; ``pace`` is a factor on all times of
    the group.
    """

    name: str
    size: int
    share: float
    pace: float = 1.0
    load_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineTimings:
    """How long a group's work takes, before the factor `ModelSpec.pace`.

    A step in which each running request gets a token takes ``step_s``, and
    ``per_sequence_s`` and ``per_context_token_s`` times its context for each of them.
    Prompts are read at ``prompt_tokens_per_s``, at most ``chunk_tokens`` in a step,
    and ``attention_pair_s`` more for each pair of a token and an earlier one. A pass
    takes ``stride`` steps. ``usual_prompt_tokens`` and ``usual_answer_tokens`` are
    the means of all requests.
    """

    step_s: float
    per_sequence_s: float = 0.0
    per_context_token_s: float = 0.0
    prompt_tokens_per_s: float = 0.0
    attention_pair_s: float = 0.0
    chunk_tokens: int = 2048
    stride: int = 1
    usual_prompt_tokens: float = 0.0
    usual_answer_tokens: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSpec:
    """The models of a service and the limits on loads from the weight store.

    ``loads_at_once`` is the number of loads up to which each runs at full speed.
    ``slots`` requests run at once in a group, whose memory holds ``memory_tokens``;
    0 if the configuration does not say. ``timings`` is ``None`` if it has none.
    """

    models: tuple
    loads_per_s: float = 4.0
    loads_at_once: int = 6
    slots: int = 0
    memory_tokens: int = 0
    timings: EngineTimings | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """A service that routes lead to; ``engine`` is ``None`` for a plain service.

    ``health_path`` is where its backend servers answer health checks. One that has
    started less than ``cold_s`` seconds ago bears ``cold_per_s`` requests a second
    from all daemons together; 0 if the configuration names no such limit.
    """

    name: str
    engine: EngineSpec | None = None
    health_path: str = "/health"
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on a caller's request, its head's duration and idle connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 2**20
    header_timeout_s: float = 15.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServingConfiguration:
    """One version of the configuration by which requests are admitted and routed.

    ``workspaces_by_key`` maps callers' keys to workspaces; it is ``None`` if the
    platform configures no workspaces. ``priorities_by_workspace`` has the rank of
    each workspace that names one, which goes before that of the route. ``workspaces``
    has the names of all workspaces, in the order of the document.
    """

    version: int
    routes: tuple
    services_by_name: dict
    limits: CallerLimits
    workspaces_by_key: dict | None = None
    routes_by_host: dict = field(default_factory=dict)
    priorities_by_workspace: dict = field(default_factory=dict)
    workspaces: tuple = ()

    def priority(self, route, workspace):
        """Return the rank of requests of ``workspace`` on ``route``, 0 the highest."""
        return self.priorities_by_workspace.get(workspace, route.priority)


class BackendState(StrEnum):
    """The state that a backend server reports in the platform's list."""

    READY = "ready"
    DRAINING = "draining"


class MemberState(StrEnum):
    """The state of a model group's member; only a head reports ``open``."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class Membership:
    """A backend server's place in a model group; the head has rank 0."""

    group: str
    epoch: int
    rank: int
    state: MemberState


@dataclass(frozen=True, slots=True, kw_only=True)
class Backend:
    """A backend server's entry in the platform's list.

    ``incarnation`` distinguishes the starts of the server behind ``id``: it grows
    with each one. ``domain`` is the fabric domain, ``staged`` names the models whose
    weights are on the host. ``cold_left_s`` is how much longer the server was to be
    cold when it wrote the entry.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    state: BackendState
    slots: int = 1
    incarnation: int = 0
    domain: str = ""
    models: tuple = ()
    staged: tuple = ()
    membership: Membership | None = None
    cold_left_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestNeeds:
    """What a request's headers state.

    ``key`` is the caller's key. ``deadline_s`` is the time left for the request,
    and ``last_event_id`` the last event that the caller has of a stream, as text.
    ``shared_parts`` are the ids of the parts of its prompt that other requests may
    have as well, in order. ``prompt_tokens`` and ``max_answer_tokens`` are 0 if the
    request does not state them.
    """

    attempt_id: str
    deadline_s: float | None = None
    key: str | None = None
    model: str = ""
    last_event_id: str | None = None
    shared_parts: tuple = ()
    prompt_tokens: int = 0
    max_answer_tokens: int = 0


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Running and queued requests of a backend server, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class NoLimit:
    """The answer names no limit on requests."""


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """The backend server takes ``per_s`` requests a second from all daemons."""

    per_s: float


@dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """The answer names a limit, and ``text`` is no number of requests a second."""

    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendAnswer:
    """The status line and headers of a backend server's answer.

    ``sealed`` says that the answer has the engine's seal, ``not_run`` that the
    request did not run. ``culprit`` is the server that the answer names as the cause
    of its failure, if it names one. ``limit`` is a `NoLimit`, `NamedLimit` or
    `UnreadableLimit`. ``retry_after_s`` is NaN if it cannot be read. ``leaving`` says
    that the backend server is about to end. ``cold_left_s`` is how much longer it is
    cold, ``None`` if the answer does not say.
    """

    status: int
    attempt_id: str | None
    sealed: bool
    not_run: bool
    load: EngineLoad | None
    retry_after_s: float | None = None
    culprit: str | None = None
    limit: NoLimit | NamedLimit | UnreadableLimit = NoLimit()
    leaving: bool = False
    cold_left_s: float | None = None
