"""Orders to model engines and their outcomes."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class JoinGroup:
    """Become a member of a model group; the first of ``members`` is its head."""

    group: str
    epoch: int
    model: str
    members: tuple


@dataclass(frozen=True, slots=True)
class OpenGroup:
    """Start serving as the head of a group whose members are all ready."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class CloseGroup:
    """Stop serving as the head; ``preempt`` ends running requests at once."""

    group: str
    epoch: int
    preempt: bool


@dataclass(frozen=True, slots=True)
class LeaveGroup:
    """End the membership of a model group."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class StageWeights:
    """Load a model's weights onto the host without interrupting its other work."""

    model: str


@dataclass(frozen=True, slots=True)
class OrderStarted:
    """The engine accepted the order and is still carrying it out."""


@dataclass(frozen=True, slots=True)
class OrderDone:
    """The engine is in the state that the order asks for."""


@dataclass(frozen=True, slots=True)
class OrderConflict:
    """The order conflicts with the engine's state and was not carried out."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class OrderUnanswered:
    """No answer came; the order may take effect now, seconds later or never."""

    detail: str
