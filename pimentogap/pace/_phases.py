"""The phases in which a backend server's pace is found."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Starting:
    """Nothing, or nothing but good answers, is known since the server came (back)."""


@dataclass(frozen=True, slots=True)
class Steady:
    """The limit moves around the number of requests with which answers turn slow.

    ``slow_at`` is the limit at which answers were slow the last time, and
    ``slow_seen_at`` when. ``falls`` is how often the limit fell in a row by then, and
    ``good_rounds`` the number of good rounds after that.
    """

    slow_at: float
    slow_seen_at: float
    falls: int = 0
    good_rounds: int = 0


@dataclass(frozen=True, slots=True)
class Failing:
    """Most requests failed; nothing is sent until ``until``, after ``pause_s``."""

    until: float
    pause_s: float


@dataclass(frozen=True, slots=True)
class Tried:
    """One request at a time is sent to see whether the server still fails.

    ``pause_s`` was the pause before; the next one is twice as long.
    """

    pause_s: float
