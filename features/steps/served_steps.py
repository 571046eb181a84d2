"""Steps for the run that measures what real processes serve."""

import contextlib
import io
import math
import tempfile
from collections import Counter
from pathlib import Path
from unittest import mock

import yaml
from behave import given, then, when

from soak import served
from soak._served_callers import draw_arrivals
from soak._served_report import judge
from soak._shapes import SHAPES_FOLDER, read_shape

SHAPE_NAME = "eight-daemons"
RUN_S = 40
TROUBLE_ENDED_S = 10.0


@when("the measuring run is called with {what} {value}")
def when_run_called(context, what, value):
    with tempfile.TemporaryDirectory() as folder:
        arguments = [f"--{what}", value]
        if what == "shape":
            arguments = ["--shape", str(_write_shape(Path(folder), value))]
        output = io.StringIO()
        with (
            mock.patch.object(served, "ServedRun") as run,
            contextlib.redirect_stderr(output),
        ):
            try:
                context.exit_code = served.main(arguments)
            except SystemExit as error:
                context.exit_code = error.code
        context.run_count = run.call_count
        context.output = output.getvalue()


def _write_shape(folder, value):
    path = folder / "shape.yaml"
    document = yaml.safe_load((SHAPES_FOLDER / f"{SHAPE_NAME}.yaml").read_text())
    match value:
        case "of 0 daemons":
            document["daemons"] = 0
        case "without kinds":
            del document["kinds"]
        case "with an unknown field":
            document["colour"] = "blue"
        case "of a kind of 5 retires":
            document["kinds"][0]["retires"] = 5
        case "that is no YAML":
            path.write_text("daemons: [")
            return path
        case "that is not there":
            return path
    path.write_text(yaml.safe_dump(document))
    return path


@then("it ends with code 2, names {named} and starts nothing")
def then_refused(context, named):
    assert context.exit_code == 2, context.exit_code
    assert named in context.output, context.output
    assert context.run_count == 0, context.run_count


@then(
    "two draws of {seconds:d} seconds of seed {seed:d} are equal and differ from seed 4"
)
def then_draws_equal(context, seconds, seed):
    shape = read_shape(SHAPE_NAME)
    context.shape, context.seconds = shape, seconds
    first, second, other = (
        [
            (arrival.number, arrival.at_s, arrival.client, arrival.events)
            for arrival in draw_arrivals(shape, number, seconds)
        ]
        for number in (seed, seed, 4)
    )
    assert first == second
    assert first != other
    context.counts = Counter(
        arrival.kind.name for arrival in draw_arrivals(shape, seed, seconds)
    )


@then(
    "each kind of request comes as often as its shape says, within {count:d} deviations"
)
def then_rates_hold(context, count):
    for kind in context.shape.kinds:
        expected = kind.per_s * context.seconds
        difference = abs(context.counts[kind.name] - expected)
        assert difference <= count * math.sqrt(expected), (kind.name, difference)


@given("results of {total:d} requests, of which {count:d} are not served")
def given_refused(context, total, count):
    context.results = _results(total, ["refused"] * count)


@given("results of {total:d} requests, of which 1 is not answered")
def given_unanswered(context, total):
    context.results = _results(total, ["unanswered"])


@given(
    "results of {total:d} requests, of which 1 in 10 is late from second {second:d} on"
)
def given_late(context, total, second):
    context.results = _results(total, [])
    late = [result for result in context.results if result["second"] >= second]
    for result in late[::10]:
        result["outcome"] = "late"


def _results(total, outcomes):
    outcomes = outcomes + ["in_time"] * (total - len(outcomes))
    return [
        {
            "number": f"n{index}",
            "kind": "look",
            "second": index * RUN_S // total,
            "outcome": outcome,
            "attempts": [
                {"daemon": "front-0", "status": 200, "refusal": None, "error": None}
            ],
        }
        for index, outcome in enumerate(outcomes)
    ]


@when(
    "they are judged beside an undisturbed run of {total:d} requests, "
    "{count:d} not served"
)
def when_judged(context, total, count):
    undisturbed = _results(total, ["refused"] * count)
    context.problems = judge(
        context.results,
        undisturbed,
        trouble_ended_s=TROUBLE_ENDED_S,
        excused_numbers=set(),
    )


@then("the verdict has no problem")
def then_no_problem(context):
    assert not context.problems, context.problems


@then('the verdict has a problem that says "{text}"')
def then_problem(context, text):
    assert any(text in problem for problem in context.problems), context.problems
