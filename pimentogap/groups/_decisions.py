"""Records of the controller's decisions, which operators read."""

from dataclasses import asdict, dataclass
from enum import StrEnum


class DecisionKind(StrEnum):
    """The kind of a decision about a group."""

    FORM = "form"
    REPAIR = "repair"
    REPLACE = "replace"
    DRAIN = "drain"
    END = "end"
    WAIT = "wait"
    GIVE_UP_SURPLUS = "give up surplus"


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision: what was seen, what was chosen, what was rejected and why.

    ``at`` is in seconds since the epoch; ``vms`` holds the ids of the VMs concerned.
    """

    id: str
    at: float
    group: str
    action: str
    seen: str
    chosen: str
    rejected: tuple
    vms: tuple


def dump_decision(decision):
    """Return ``decision`` as data that JSON can hold."""
    return asdict(decision)


def load_decision(data):
    """Return the `Decision` that `dump_decision` turned into ``data``."""
    fields = {**data, "rejected": tuple(data["rejected"]), "vms": tuple(data["vms"])}
    return Decision(**fields)
