"""Orders to model engines, and what can become of one."""

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
    """Start to serve, as the head of a group whose members are all ready."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class CloseGroup:
    """Stop serving, as a head; ``preempt`` ends running requests at once."""

    group: str
    epoch: int
    preempt: bool


@dataclass(frozen=True, slots=True)
class LeaveGroup:
    """Give up the membership."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class StageWeights:
    """Load a model's weights onto the host beside whatever else it does."""

    model: str


@dataclass(frozen=True, slots=True)
class OrderStarted:
    """The engine has begun to carry out the order."""


@dataclass(frozen=True, slots=True)
class OrderDone:
    """The state that the order asks for holds."""


@dataclass(frozen=True, slots=True)
class OrderConflict:
    """The order does not fit the engine's state, and was not begun."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class OrderUnanswered:
    """The order may be carried out, now or some seconds later, or not at all."""

    detail: str
