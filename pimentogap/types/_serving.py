"""What the platform says of routes, workspaces, backend servers and model groups."""

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """What may be repeated of the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class Split:
    """A share of a route's requests that goes to one service."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where the requests of one host and path prefix go, and on which terms.

    ``first_byte_s`` is the objective for an answer or the first event of a
    stream, ``max_gap_s`` the one between two events.
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

    @property
    def repeatable(self):
        """Tell whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.resumable
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelSpec:
    """A model of a service, and what its groups need; times are for a whole group.

    ``load_s`` is the time to load from the weight store; ``pace`` is a factor on
    every time of the group.
    """

    name: str
    size: int
    share: float
    pace: float = 1.0
    load_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineSpec:
    """The models of a service, and the bounds on loads from the weight store.

    ``loads_at_once`` is how many loads the store carries at full speed.
    """

    models: tuple
    loads_per_s: float = 4.0
    loads_at_once: int = 6


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """A service that routes name; ``engine`` is ``None`` for a plain one."""

    name: str
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send, and on how long it may stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 2**20
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ServingConfiguration:
    """One version of everything that decides where requests go."""

    version: int
    routes: tuple
    services_by_name: dict
    limits: CallerLimits
    workspaces_by_key: dict | None = None
    routes_by_host: dict = field(default_factory=dict)


class BackendState(StrEnum):
    """What a backend server says of itself in the platform's list."""

    READY = "ready"
    DRAINING = "draining"


class MemberState(StrEnum):
    """Where a member stands in its model group; ``open`` is said by heads alone."""

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
    """A backend server as the platform's list shows it.

    ``born_ms`` tells one life under an id from the next.
    """

    id: str
    service: str
    address: str
    availability_zone: str
    state: BackendState
    slots: int = 1
    born_ms: int = 0
    domain: str = ""
    models: tuple = ()
    staged: tuple = ()
    membership: Membership | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestNeeds:
    """What a request says about the work that it asks for."""

    attempt_id: str
    deadline_s: float | None = None
    key: str | None = None
    model: str = ""
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Requests that a backend server runs and queues, against its slots."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendAnswer:
    """What the head of a backend server's answer says."""

    status: int
    attempt_id: str | None
    sealed: bool
    not_run: bool
    load: EngineLoad | None
    retry_after_s: float | None = None
    culprit: str | None = None
