"""Steps for the burn rates of error budgets and the report on them."""

from behave import given, then, when

from pimentogap.objectives import (
    Burning,
    MinuteCounts,
    WithinBudget,
    evaluate_burn_rate,
)
from pimentogap.report import merge, render_page, render_text

NOW_MINUTE = 30_000_000
MINUTE_S = 60
REQUESTS_PER_MINUTE = 100


@given("an objective of {percent:g} % for {count:d} requests a minute")
def given_objective(context, percent, count):
    assert count == REQUESTS_PER_MINUTE
    context.target = percent / 100
    context.bad_by_age = dict.fromkeys(range(361), 0)


@when("{bad:d} of 100 requests are bad from {first:d} to {last:d} minutes ago")
def when_requests_bad(context, bad, first, last):
    for age in range(last, first + 1):
        context.bad_by_age[age] = bad


@when(
    "{count:d} daemons report the same counts,"
    " and a decision was made {age:d} minutes ago"
)
def when_reported(context, count, age):
    answer = {
        "objectives": [
            {
                "name": "answers",
                "workspace": "w",
                "service": "m",
                "measure": "availability",
                "threshold_s": 0.0,
                "target": context.target,
                "minutes": requests_by_minute(context, 60).dump(),
            }
        ],
        "downtime_group_s": [[NOW_MINUTE, 0, 3.0]],
        "stranded_accelerator_s": [[NOW_MINUTE, 0, 48.0]],
    }
    decision = {
        "id": "r-1-7",
        "at": (NOW_MINUTE - age) * MINUTE_S,
        "action": "repair",
        "group": "g-1",
        "seen": "generation 1 lost vm-<3>",
        "chosen": "generation 2 in d-1",
    }
    now_s = NOW_MINUTE * MINUTE_S
    context.report = merge([answer] * count, [decision], now_s)


@then("the objective {verdict}")
def then_verdict(context, verdict):
    sums = requests_by_minute(context, 360).sums_by_minute
    judgement = evaluate_burn_rate(sums, context.target, NOW_MINUTE)
    match judgement:
        case Burning(speed, _):
            found = f"burns {speed}"
        case WithinBudget():
            found = "is within budget"
    assert found == verdict, judgement


@then("the report counts {count:d} requests")
def then_counted(context, count):
    sums = context.report.objectives[0].sums_by_minute.values()
    assert sum(good + bad for good, bad in sums) == count


@then("the report names that decision, in the text and in the HTML page")
def then_decision_named(context):
    text, page = render_text(context.report), render_page(context.report)
    assert "r-1-7: repair g-1: generation 1 lost vm-<3>" in text, text
    assert "burns fast" in text and "group downtime: 6.0 group-s" in text
    assert "vm-&lt;3&gt;" in page and "<rect" in page and "burns fast" in page


@then("between {low:d} and {high:d} group-s of downtime were counted")
def then_downtime(context, low, high):
    total = total_of_daemons(context, "downtime_group_s")
    assert low <= total <= high, total


@then("stranded accelerators were counted")
def then_stranded(context):
    assert total_of_daemons(context, "stranded_accelerator_s") > 0


def total_of_daemons(context, name):
    """Return the sum over all daemons of the objectives' series ``name``."""
    daemons = context.simulation.fleet.daemons_by_index.values()
    return sum(
        bad
        for daemon in daemons
        for _, bad in getattr(daemon.get("objectives"), name).sums_by_minute.values()
    )


def requests_by_minute(context, oldest):
    """Return the scenario's requests since ``oldest`` minutes ago as `MinuteCounts`."""
    minutes = MinuteCounts()
    for age in range(oldest, -1, -1):
        bad = context.bad_by_age[age]
        at_s = (NOW_MINUTE - age) * MINUTE_S
        minutes.add(at_s, REQUESTS_PER_MINUTE - bad, bad)
    return minutes
