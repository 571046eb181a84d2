"""The configured items, which operators put and remove by tickets."""

from dataclasses import dataclass

from pimentogap.schema import (
    Address,
    Choice,
    Duration,
    Flag,
    Integer,
    Listing,
    Number,
    Record,
    Size,
    Text,
    name_shape,
    shaped,
)

KEY_HASH_PATTERN = r"[0-9a-f]{32}:[0-9a-f]{64}"
KEY_HASH_SHAPE = Text(
    KEY_HASH_PATTERN, "SALT:DIGEST as `pimentogap-ctl key` prints", 97
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """A tenant: its callers' keys, the services it may call and its limits.

    ``key_hashes`` are salted hashes of the keys that its callers present; an
    empty list admits callers without a key. ``weight`` is its share relative to
    other workspaces when requests queue.
    """

    name: str = shaped(name_shape())
    services: tuple = shaped(Listing(name_shape()), default=())
    key_hashes: tuple = shaped(Listing(KEY_HASH_SHAPE, 8), default=())
    requests_per_s: float = shaped(Number("requests/s", 0.01, 1e6), default=100.0)
    burst_requests: float = shaped(Number("requests", 1, 1e6), default=200.0)
    weight: float = shaped(Number("share", 0.01, 1000), default=1.0)
    priority: str = shaped(Choice(("interactive", "batch")), default="interactive")


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelService:
    """A model that model groups serve.

    ``downtime_weight`` weighs group downtime (1.0) against stranded accelerators
    (0.0): the controller forms surplus groups only while ``downtime_weight`` times
    ``vms_per_group`` VMs, rounded up, stay free for repair in the fabric domain.
    """

    name: str = shaped(name_shape())
    model: str = shaped(name_shape())
    version: str = shaped(name_shape(), default="v1")
    adapters: tuple = shaped(Listing(name_shape()), default=())
    vms_per_group: int = shaped(Integer("VMs", 1, 64), default=2)
    max_concurrent: int = shaped(Integer("requests a group", 1, 4096), default=16)
    requests_per_s: float = shaped(Number("requests/s", 0.01, 1e6), default=1e6)
    downtime_weight: float = shaped(Number("share", 0, 1), default=0.5)


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainBackend:
    """One backend server of a plain service."""

    vm: str = shaped(name_shape())
    address: str = shaped(Address())
    availability_zone: str = shaped(name_shape())


@dataclass(frozen=True, slots=True, kw_only=True)
class PlainService:
    """A service that is not a model; some of its calls may not be repeated.

    Requests to paths under ``action_prefix`` are actions, which run at most once;
    all others are lookups. ``status_path`` is where a backend server reports the
    state of an action by its idempotency key; it is empty if there is none.
    """

    name: str = shaped(name_shape())
    backends: tuple = shaped(Listing(Record(PlainBackend), 1000))
    action_prefix: str = shaped(Text(r"/[^?#]*", "a path", 200), default="/actions/")
    status_path: str = shaped(Text(r"(/[^?#]*)?", "a path", 200), default="")
    retention: float = shaped(Duration(60, 7 * 86400), default=3600.0)
    timeout: float = shaped(Duration(0.05, 600), default=5.0)
    max_answer: int = shaped(Size(65536), default=16384)
    requests_per_s: float = shaped(Number("requests/s", 0.01, 1e6), default=1e6)


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelGroup:
    """One replica of a model service, spanning VMs of one fabric domain.

    ``vms`` pins the members. If it is empty, the controller chooses them, within
    ``fabric_domain`` if that is set.
    """

    name: str = shaped(name_shape())
    service: str = shaped(name_shape())
    region: str = shaped(name_shape())
    fabric_domain: str = shaped(
        Text(r"[a-z0-9._-]*", "a fabric domain", 63), default=""
    )
    vms: tuple = shaped(Listing(name_shape(), 64), default=())


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedStop:
    """A VM to drain: it gets no new work and finishes its running requests."""

    name: str = shaped(name_shape("the VM's name"))
    reason: str = shaped(Text(max_length=500), default="")


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineKind:
    """Whether the engines of a fabric domain check the fencing number of orders."""

    name: str = shaped(name_shape("the fabric domain's name"))
    checks_fencing_number: bool = shaped(Flag())


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightStore:
    """How many model groups of a region may load weights at once.

    Loads share the weight store's bandwidth, so a few at a time finish sooner
    than many.
    """

    name: str = shaped(name_shape("the region's name"))
    loads_at_once: int = shaped(Integer("model groups", 1, 1000))


@dataclass(frozen=True, slots=True, kw_only=True)
class Operator:
    """A person who may submit tickets."""

    name: str = shaped(name_shape())
    key_hashes: tuple = shaped(Listing(KEY_HASH_SHAPE, 8))


@dataclass(frozen=True, slots=True, kw_only=True)
class SettledAction:
    """An operator's statement whether an action in doubt ran.

    ``claimed_at`` must be the value from the list of actions in doubt.
    """

    name: str = shaped(name_shape())
    workspace: str = shaped(name_shape())
    service: str = shaped(name_shape())
    key: str = shaped(Text(r"[!-~]{1,200}", "an idempotency key", 200))
    claimed_at: float = shaped(Number("seconds since the epoch"))
    ran: bool = shaped(Flag())


@dataclass(frozen=True, slots=True, kw_only=True)
class Objective:
    """A service-level objective: the share of good requests or token gaps.

    For ``availability`` a request is good if it was answered completely; for the
    other measures, a request or gap is good if it took at most ``threshold``
    seconds.
    """

    name: str = shaped(name_shape())
    workspace: str = shaped(name_shape())
    service: str = shaped(name_shape())
    measure: str = shaped(
        Choice(("availability", "first_token", "between_tokens", "lookup", "action"))
    )
    threshold: float = shaped(Duration(0, 3600), default=0.0)
    target: float = shaped(Number("share", 0.5, 0.99999))


ITEM_CLASSES_BY_KIND = {
    "workspace": Workspace,
    "model_service": ModelService,
    "plain_service": PlainService,
    "model_group": ModelGroup,
    "planned_stop": PlannedStop,
    "engine_kind": EngineKind,
    "operator": Operator,
    "weight_store": WeightStore,
    "settled_action": SettledAction,
    "objective": Objective,
}
KINDS_BY_ITEM_CLASS = {cls: kind for kind, cls in ITEM_CLASSES_BY_KIND.items()}


@dataclass(frozen=True, slots=True, order=True)
class ItemKey:
    """Identifies a configured item by its kind and name."""

    kind: str
    name: str

    def __str__(self):
        return f"{self.kind} {self.name}"


def key_of(item):
    """Return the `ItemKey` of a configured item."""
    return ItemKey(KINDS_BY_ITEM_CLASS[type(item)], item.name)
