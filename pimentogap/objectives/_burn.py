"""How fast the error budget of an objective burns."""

from dataclasses import dataclass

FAST_WINDOWS_MIN = (5, 60)
SLOW_WINDOWS_MIN = (30, 360)
FAST_BURN = 14.4
SLOW_BURN = 6.0


@dataclass(frozen=True, slots=True)
class Window:
    """What was counted in the last ``minutes``; a burn of 1 uses the budget up."""

    minutes: int
    good: float
    bad: float
    burn: float


@dataclass(frozen=True, slots=True)
class Burning:
    """The budget burns so fast that a person should look: ``speed`` is fast or slow."""

    speed: str
    windows: tuple


@dataclass(frozen=True, slots=True)
class WithinBudget:
    """The budget lasts."""

    windows: tuple


def judge_burn(sums_by_minute, target, now_minute):
    """Return `Burning` or `WithinBudget`.

    Both windows of a pair must burn: the long one shows that it matters, the
    short one that it still goes on.

    :param sums_by_minute: good and bad counts of minutes since the epoch.
    :param target: the share that is to be good.
    """
    minutes = sorted({*FAST_WINDOWS_MIN, *SLOW_WINDOWS_MIN})
    windows = tuple(_window(sums_by_minute, target, now_minute, m) for m in minutes)
    burn_by_minutes = {window.minutes: window.burn for window in windows}
    if all(burn_by_minutes[m] >= FAST_BURN for m in FAST_WINDOWS_MIN):
        return Burning("fast", windows)
    if all(burn_by_minutes[m] >= SLOW_BURN for m in SLOW_WINDOWS_MIN):
        return Burning("slow", windows)
    return WithinBudget(windows)


def _window(sums_by_minute, target, now_minute, minutes):
    good = bad = 0
    for minute, (minute_good, minute_bad) in sums_by_minute.items():
        if now_minute - minutes < minute <= now_minute:
            good += minute_good
            bad += minute_bad
    total = good + bad
    burn = bad / total / (1 - target) if total else 0.0
    return Window(minutes, good, bad, burn)
