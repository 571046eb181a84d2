"""Steps for the evidence by which prompt parts are quarantined."""

import itertools
import json

from behave import given, then, when
from tornado.httputil import HTTPHeaders

from pimentogap.errors import InvalidDocument
from pimentogap.platform import PlatformHeaders
from pimentogap.quarantine import (
    EvidenceTable,
    PartMemory,
    QuarantineList,
    Strike,
    decode_list,
    decode_reports,
)

REACT_S = 3.0
PARTS = "X-Pimentogap-Prompt-Prefix"


def table_of(context):
    """Return the scenario's table; ``context.now`` is its time."""
    if not hasattr(context, "evidence"):
        context.evidence = EvidenceTable(1, REACT_S, QuarantineList(), 0.0)
        context.now = 10.0
        context.lives = itertools.count()
    return context.evidence


def end_servers(context, count, key, *, requests=2):
    """Let ``count`` more servers end under requests with the part."""
    table = table_of(context)
    for index in range(count):
        strike = Strike(key, f"life-{next(context.lives)}", f"{key}-{index % requests}")
        table.record_strikes([strike], context.now)


def quarantined_keys(context):
    return set(table_of(context).quarantined().parts_by_key)


@when(
    "{crashes:d} servers end under requests with one part,"
    " of {requests:d} different requests"
)
def when_servers_end(context, crashes, requests):
    end_servers(context, crashes, "part", requests=requests)


@then("the part is quarantined")
def then_quarantined(context):
    assert quarantined_keys(context) == {"part"}


@then("the part is not quarantined")
def then_not_quarantined(context):
    assert quarantined_keys(context) == set()


@when(
    '{count:d} servers end under the parts "{key}" and, at {fewer:d} of them, "{other}"'
)
def when_beside(context, count, key, fewer, other):
    table = table_of(context)
    for index in range(count):
        life = f"life-{next(context.lives)}"
        strikes = [Strike(key, life, f"request-{index}")]
        if index < fewer:
            strikes.insert(0, Strike(other, life, f"other-{index}"))
        table.record_strikes(strikes, context.now)


@when('{count:d} more server ends under the part "{key}" and another request')
@when('{count:d} more servers end under the part "{key}"')
def when_more(context, count, key):
    context.now += 1.0
    end_servers(context, count, key)


@then('only the parts "" are on the list')
def then_empty_list(context):
    assert quarantined_keys(context) == set(), quarantined_keys(context)


@then('only the parts "{key}" are on the list')
def then_only(context, key):
    assert quarantined_keys(context) == {key}, quarantined_keys(context)


@when('the part "{key}" is answered')
def when_answered(context, key):
    assert table_of(context).record_answer(key, context.now)


@given('the part "{key}" was quarantined and released')
def given_released(context, key):
    end_servers(context, 3, key)
    assert quarantined_keys(context) == {key}
    assert table_of(context).record_answer(key, context.now - 9.0)


@given('the part "{key}" was quarantined after {count:d} crashes')
def given_quarantined(context, key, count):
    end_servers(context, count, key)
    assert quarantined_keys(context) == {key}


@then("an answer from before these crashes does not release it, and a later one does")
def then_released_later(context):
    (key,) = quarantined_keys(context)
    assert not table_of(context).record_answer(key, context.now - 5.0)
    assert quarantined_keys(context) == {key}
    assert table_of(context).record_answer(key, context.now + 1.0)
    assert quarantined_keys(context) == set()


@then("a trial is granted after {seconds:g} s, and no other before its outcome")
def then_trial(context, seconds):
    (key,) = quarantined_keys(context)
    table = table_of(context)
    assert not table.grant_trial(key, context.now + seconds - 0.01)
    context.now += seconds
    assert table.grant_trial(key, context.now)
    assert not table.grant_trial(key, context.now + 1.0)


@then("after the next crash a trial is granted after {seconds:g} s")
def then_next_trial(context, seconds):
    (key,) = quarantined_keys(context)
    end_servers(context, 1, key)
    then_trial(context, seconds)


@given('the part "{key}" was quarantined after {count:d} crashes too')
def given_quarantined_too(context, key, count):
    end_servers(context, count, key)
    assert key in quarantined_keys(context)


@then("the trial of each part is due {seconds:g} s after its last strike")
def then_trials_due(context, seconds):
    parts_by_key = table_of(context).quarantined().parts_by_key
    due = {key: part.trial_after_s for key, part in parts_by_key.items()}
    assert set(due.values()) == {seconds}, due


@when('{count:d} servers end under "{key}", and "{other}" is reported first for each')
def when_reported_first(context, count, key, other):
    table = table_of(context)
    for index in range(count):
        life = f"life-{next(context.lives)}"
        table.record_strikes([Strike(other, life, f"other-{index}")], context.now)
        table.record_strikes([Strike(key, life, f"more-{index}")], context.now)


@when("another leader continues with the list")
def when_next_leader(context):
    known = table_of(context).quarantined()
    context.evidence = EvidenceTable(2, REACT_S, known, context.now)


@then('its list has the part "{key}" with {count:d} strikes')
def then_strikes(context, key, count):
    parts_by_key = table_of(context).quarantined().parts_by_key
    assert parts_by_key[key].strikes == count, parts_by_key


@when("servers end under {count:d} different parts, of {each:d} requests each")
def when_many_parts(context, count, each):
    table = table_of(context)
    context.memory = PartMemory()
    for first in range(0, count, each):
        life = f"life-{next(context.lives)}"
        strikes = [
            Strike(f"part-{index}", life, f"request-{index}")
            for index in range(first, first + each)
        ]
        table.record_strikes(strikes, context.now)
        for strike in strikes:
            context.memory.record_answer(strike.key, context.now)


@then("the leader knows at most {most:d} parts")
def then_bounded(context, most):
    assert len(table_of(context)) <= most, len(table_of(context))


@then("a daemon that has seen as many parts answered remembers at most {most:d}")
def then_memory_bounded(context, most):
    assert len(context.memory) <= most, len(context.memory)


@then("the {what} {text} is refused as malformed")
def then_malformed(context, what, text):
    decode = {"list": decode_list, "report": decode_reports}[what]
    try:
        decode(json.loads(text))
    except InvalidDocument:
        return
    raise AssertionError("it was decoded")


@then('the header "{header}" names the parts {parts}')
def then_parts(context, header, parts):
    expected = () if parts == "none" else tuple(parts.split(","))
    needs = PlatformHeaders().needs(HTTPHeaders({PARTS: header}))
    assert needs.shared_parts == expected, needs.shared_parts
