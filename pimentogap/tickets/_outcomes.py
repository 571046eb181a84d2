"""Outcomes of a submission besides those that `decide` returns."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Accepted:
    """The ticket was accepted under ``number``."""

    number: int


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """The ticket was not accepted, for the reason in ``detail``.

    The store does not answer, or no majority of the fleet is in reach.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The ticket may have been accepted under ``number``; submit it again to learn."""

    number: int
