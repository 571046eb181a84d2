"""Burn rates of an objective's error budget over several windows."""

from dataclasses import dataclass

FAST_WINDOWS_MIN = (5, 60)
SLOW_WINDOWS_MIN = (30, 360)
FAST_BURN_RATE = 14.4
SLOW_BURN_RATE = 6.0


@dataclass(frozen=True, slots=True)
class Window:
    """Good and bad counts of the last ``minutes``, and their burn rate.

    At a burn rate of 1 the error budget is used up exactly.
    """

    minutes: int
    good: float
    bad: float
    burn: float


@dataclass(frozen=True, slots=True)
class Burning:
    """The budget burns so fast that it needs attention.

    ``speed`` is ``fast`` or ``slow``, by the pair of windows that shows it.
    """

    speed: str
    windows: tuple


@dataclass(frozen=True, slots=True)
class WithinBudget:
    """No pair of windows reaches its burn rate."""

    windows: tuple


def evaluate_burn_rate(sums_by_minute, target, now_minute):
    """Return `Burning` or `WithinBudget` from the burn rates of all windows.

    Both windows of a pair must reach its burn rate: the long window shows that
    the loss matters, the short one that it still goes on.

    :param sums_by_minute: pairs of good and bad counts, by minute since the epoch.
    :param target: the share of good that the objective asks for.
    :param now_minute: the minute since the epoch at which the windows end.
    """
    minutes = sorted({*FAST_WINDOWS_MIN, *SLOW_WINDOWS_MIN})
    windows = tuple(_window(sums_by_minute, target, now_minute, m) for m in minutes)
    burn_by_minutes = {window.minutes: window.burn for window in windows}
    if all(burn_by_minutes[m] >= FAST_BURN_RATE for m in FAST_WINDOWS_MIN):
        return Burning("fast", windows)
    if all(burn_by_minutes[m] >= SLOW_BURN_RATE for m in SLOW_WINDOWS_MIN):
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
