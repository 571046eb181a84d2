"""What became of a submission, besides what `decide` already says."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Accepted:
    """The ticket was accepted under ``number``."""

    number: int


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """The ticket was not accepted, because the store does not answer."""

    detail: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The ticket may have been accepted under ``number``; submit it again to learn."""

    number: int
