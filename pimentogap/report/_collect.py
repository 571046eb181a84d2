"""Merges the counts of several daemons into one report."""

from dataclasses import dataclass

from pimentogap.objectives import MINUTE_S, evaluate_burn_rate

# A decision up to this many minutes before a bad minute is listed as a cause.
CAUSE_MARGIN_MIN = 1


@dataclass(frozen=True, slots=True)
class ObjectiveReport:
    """One objective over the whole fleet, with the likely causes of bad minutes.

    ``sums_by_minute`` maps minutes since the epoch to good and bad counts.
    ``burn_state`` is a `Burning` or `WithinBudget` of `pimentogap.objectives`.
    ``causes`` are the decisions on model groups in a bad minute or up to
    `CAUSE_MARGIN_MIN` minutes before one, as text.
    """

    name: str
    workspace: str
    service: str
    measure: str
    threshold_s: float
    target: float
    sums_by_minute: dict
    burn_state: object
    causes: tuple


@dataclass(frozen=True, slots=True)
class FleetReport:
    """The objectives, group downtime and stranded accelerators of a fleet.

    Downtime is in group-seconds and stranded accelerators are in accelerator-seconds,
    by minute since the epoch; the report ends at ``at_minute``.
    """

    at_minute: int
    objectives: tuple
    downtime_by_minute: dict
    stranded_by_minute: dict


def merge(answers, decisions, now_s):
    """Return the `FleetReport` from the answers of several daemons.

    :param answers: each daemon's answer to ``/objectives``, as plain data.
    :param decisions: recent decisions on model groups, as plain data.
    :param now_s: seconds since the epoch.
    """
    now_minute = int(now_s // MINUTE_S)
    merged = {}
    for answer in answers:
        for objective in answer["objectives"]:
            entry = merged.setdefault(objective["name"], (objective, {}))
            _add_minutes(entry[1], objective["minutes"])
    downtime, stranded = {}, {}
    for answer in answers:
        _add_minutes(downtime, answer["downtime_group_s"])
        _add_minutes(stranded, answer["stranded_accelerator_s"])
    return FleetReport(
        now_minute,
        tuple(
            _report_objective(*merged[name], decisions, now_minute)
            for name in sorted(merged)
        ),
        {minute: bad for minute, (_, bad) in downtime.items()},
        {minute: bad for minute, (_, bad) in stranded.items()},
    )


def _report_objective(objective, sums_by_minute, decisions, now_minute):
    bad_minutes = {minute for minute, (_, bad) in sums_by_minute.items() if bad}
    causes = tuple(
        f"{decision['id']}: {decision['action']} {decision['group']}: "
        f"{decision['seen']} -> {decision['chosen']}"
        for decision in decisions
        if _may_have_caused(int(decision["at"] // MINUTE_S), bad_minutes)
    )
    return ObjectiveReport(
        objective["name"],
        objective["workspace"],
        objective["service"],
        objective["measure"],
        objective["threshold_s"],
        objective["target"],
        sums_by_minute,
        evaluate_burn_rate(sums_by_minute, objective["target"], now_minute),
        causes,
    )


def _add_minutes(sums_by_minute, minutes):
    for minute, good, bad in minutes:
        old_good, old_bad = sums_by_minute.get(minute, (0, 0))
        sums_by_minute[minute] = (old_good + good, old_bad + bad)


def _may_have_caused(minute, bad_minutes):
    margin = range(minute, minute + CAUSE_MARGIN_MIN + 1)
    return any(candidate in bad_minutes for candidate in margin)
