"""Steps for numbers of any size in what the platform and callers send."""

import json
import math
from fractions import Fraction

from behave import given, then, when
from hypothesis import given as given_any, settings, strategies as st
from tornado.httputil import HTTPHeaders

from features.steps.platform_steps import start_request
from pimentogap.errors import ResponseLost
from pimentogap.platform import PlatformHeaders, decode_backend, decode_configuration
from pimentogap.platform._objects import _read_answer
from pimentogap.store import Get, List
from standins.emulator import EmulatedFleet, configuration_document

EXAMPLES = 100
NUMBERS = st.one_of(
    st.integers(),
    st.integers(min_value=-(10**400), max_value=10**400),
    st.floats(allow_nan=False, allow_infinity=False),
)
NUMBER_KEYS = frozenset(
    (
        "timeoutMs",
        "targetLatencyMs",
        "targetGapMs",
        "maxAttempts",
        "priority",
        "coldStartS",
        "coldPerS",
        "size",
        "share",
        "pace",
        "loadS",
        "loadsPerS",
        "loads_at_once",
        "slots",
        "kvCapacity",
        "step_ms",
        "per_seq_ms",
        "read_per_s",
        "maxHeaderBytes",
        "maxBodyBytes",
        "headerTimeoutMs",
        "idleTimeoutMs",
        "version",
        "weight",
    )
)
FIRST_METADATA = {"name": "x", "revision": 5}
ANSWERS_BY_WHAT = {
    "a revision that is text": {"metadata": {**FIRST_METADATA, "revision": "5"}},
    "a revision of 2**200": {"metadata": {**FIRST_METADATA, "revision": 2**200}},
    "a revision of 1.5": {"metadata": {**FIRST_METADATA, "revision": 1.5}},
    "no revision": {"metadata": {"name": "x"}},
    "metadata that is a list": {"metadata": []},
    "items that are numbers": {"items": [1], "currentRev": 5, "truncated": False},
}


def number_of(text):
    """Return the number that ``text`` stands for, such as ``2**63 + 1``."""
    base, _, added = text.partition(" + ")
    factor, _, power = base.rpartition(" * ")
    mantissa, _, exponent = power.partition("**")
    number = int(mantissa) ** int(exponent) if exponent else json.loads(mantissa)
    return number * int(factor or 1) + int(added or 0)


@when("the version {version} takes the key away")
def when_key_taken(context, version):
    write_version(context, number_of(version), keys=())


@when("the version {version} gives the key back")
def when_key_given(context, version):
    write_version(context, number_of(version))


def write_version(context, version, **options):
    document = configuration_document(version, **options)
    context.simulation.fleet.store.put("config", "main", document)


@then("the daemons that are started now have {version} in force")
def then_started(context, version):
    fleet = context.simulation.fleet
    context.simulation.run(fleet.start_daemon("front-9", first_start=False))
    context.simulation.wait(4.0)
    current = fleet.kernels_by_name["front-9"].get("serving_configuration").current
    assert current.version == number_of(version), current.version
    request = start_request(context, "GET", "/look/x", daemon="front-9")
    context.simulation.wait(1.0)
    assert request.response.status == 200, request.response.status


def all_numbers(value):
    """Yield each number in a decoded value."""
    match value:
        case bool() | str() | None:
            return
        case int() | float():
            yield value
        case dict():
            for inner in value.values():
                yield from all_numbers(inner)
        case tuple() | list():
            for inner in value:
                yield from all_numbers(inner)
        case _ if hasattr(value, "__slots__"):
            for name in value.__slots__:
                yield from all_numbers(getattr(value, name))


def replace_numbers(value, numbers_by_key):
    match value:
        case dict():
            return {
                key: numbers_by_key.get(key, replace_numbers(inner, numbers_by_key))
                for key, inner in value.items()
            }
        case list():
            return [replace_numbers(inner, numbers_by_key) for inner in value]
    return value


@then("any numbers in a configuration are decoded as finite ones that are in order")
def then_configurations(context):
    @settings(max_examples=EXAMPLES, derandomize=True, database=None)
    @given_any(st.data())
    def check(data):
        numbers_by_key = {key: data.draw(NUMBERS) for key in sorted(NUMBER_KEYS)}
        document = replace_numbers(configuration_document(1), numbers_by_key)
        configuration = decode_configuration(document)
        assert configuration.version == document["version"]
        for number in all_numbers(configuration.routes):
            assert math.isfinite(float(number)) and number >= 0, number
        for route in configuration.routes:
            assert route.timeout_s > 0 and route.first_byte_s > 0, route
            assert route.max_attempts >= 1, route
        for service in configuration.services_by_name.values():
            for number in all_numbers(service):
                assert math.isfinite(float(number)) and number >= 0, number
        for number in all_numbers(configuration.limits):
            assert math.isfinite(float(number)) and number > 0, number

    check()


@then("weights of {first} and {second} split as {part:d} and {other:d} do")
def then_split(context, first, second, part, other):
    document = configuration_document(1)
    weights = [number_of(first), number_of(second)]
    document["routes"][1]["trafficSplit"] = [
        {"service": f"s{index}", "weight": weight}
        for index, weight in enumerate(weights)
    ]
    splits = decode_configuration(document).routes[1].splits
    read = [split.weight for split in splits]
    assert all(math.isfinite(weight) for weight in read), read
    crossed = [Fraction(read[0]) * other, Fraction(read[1]) * part]
    assert math.isclose(*map(float, crossed)), read


@given("a platform whose store counts from {revision} in the era {era}")
def given_counting(context, revision, era):
    async def start():
        fleet = EmulatedFleet()
        fleet.store.revision = number_of(revision)
        fleet.store.era = number_of(era)
        await fleet.start(daemons=3, domains=3, domain_size=8)
        return fleet

    context.simulation.fleet = context.simulation.run(start())


@then("an answer of the store with {what} is lost")
def then_answer_lost(context, what):
    data = ANSWERS_BY_WHAT[what]
    call = List("things") if "items" in data else Get("things", "x")
    try:
        answer = _read_answer(call, 200, data, 1)
    except ResponseLost:
        return
    raise AssertionError(f"read as {answer}")


@then("an entry with {slots} slots is read as {read:d}")
def then_slots(context, slots, read):
    entry = {"service": "app", "addr": "a:1", "zone": "z-a", "state": "ready"}
    backend = decode_backend("i-1", {**entry, "slots": number_of(slots)})
    assert backend.slots == read, backend.slots


@then("a load of {digits:d} digits is read as a full server")
def then_load(context, digits):
    number = "9" * digits
    headers = HTTPHeaders({"X-Pimentogap-Replica-Load": f"{number},{number},13"})
    load = PlatformHeaders().decode_answer(200, headers).load
    assert load.running >= 10**6 and load.waiting >= 10**6 and load.slots == 13, load


@then("a prompt of {digits:d} digits is read as the longest one")
def then_prompt(context, digits):
    headers = HTTPHeaders({"X-Pimentogap-Token-Count": f"{'9' * digits},80"})
    needs = PlatformHeaders().needs(headers)
    assert needs.prompt_tokens == 10**9 and needs.max_answer_tokens == 80, needs


@then("a deadline of any number never outlasts the route's timeout")
def then_deadline(context):
    @settings(max_examples=EXAMPLES, derandomize=True, database=None)
    @given_any(st.one_of(st.floats(), st.integers()))
    def check(number):
        headers = HTTPHeaders({"X-Pimentogap-Deadline-Ms": str(number)})
        deadline_s = PlatformHeaders().needs(headers).deadline_s
        is_finite = deadline_s is None or math.isfinite(deadline_s)
        assert is_finite and (deadline_s is None or deadline_s >= 0), deadline_s

    check()
