"""Steps for entries that other writers leave among those of the replicas."""

import copy
import json

from behave import then, when

from features.steps.platform_steps import start_request
from pimentogap.errors import InvalidDocument
from pimentogap.platform import decode_backend, decode_configuration
from standins.emulator import PLAIN_SERVICE, configuration_document

ODD_VALUES = (
    None,
    True,
    -1,
    0,
    10**400,
    1e308,
    float("inf"),
    float("nan"),
    "",
    "²",
    "x" * 100_000,
    "10.0.0.1:99999",
    [],
    [[]],
    {},
    {"name": []},
    [None, {"name": 7}],
)
ENTRY = {
    "service": PLAIN_SERVICE,
    "addr": "10.0.0.1:80",
    "zone": "z-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 1,
    "born": 1,
    "domain": "d0",
    "models": [{"name": "large", "version": 1, "adapters": []}],
    "staged": ["large"],
    "group": {"name": "large.7", "epoch": 7, "rank": 0, "state": "open"},
}
GROUP = ENTRY["group"]
# What is sent in place of the specification, and the name of the object.
RAW_ENTRIES_BY_NAME = {
    "100,000 nested lists": "[" * 100_000 + "]" * 100_000,
    "900 nested lists": "[" * 900 + "]" * 900,
    "a number of 10,000 digits": json.dumps(ENTRY).replace("6", "6" * 10_000, 1),
    "the number 1e999": json.dumps(ENTRY).replace("6", "1e999", 1),
    "bytes that are no text": '"\udcff\udcfe"',
}
FIELDS_BY_NAME = {
    "the port 99999": {"addr": "127.0.0.1:99999"},
    "the port 0": {"addr": "127.0.0.1:0"},
    "the port ²": {"addr": "127.0.0.1:²"},
    "no slots": {"slots": 0},
    "a slot number of 1e300": {"slots": 1e300},
    "-5 slots": {"slots": -5},
    "a service that is a list": {"service": [PLAIN_SERVICE]},
    "a name of 100,000 letters": {},
    "a group of another type": {"group": [1, 2]},
    "an epoch of 400 digits": {"service": "llm", "group": {**GROUP, "epoch": 10**400}},
}


@when("another writer leaves an entry that has {what}")
def when_odd_entry(context, what):
    store = context.simulation.fleet.store
    name = "n" * 100_000 if what == "a name of 100,000 letters" else "odd"

    def leave():
        if what in RAW_ENTRIES_BY_NAME:
            store.put_raw("servers", name, RAW_ENTRIES_BY_NAME[what])
        else:
            store.put("servers", name, {**ENTRY, **FIELDS_BY_NAME[what]})

    context.simulation.call_in_loop(leave)


@then("plain replica {index:d} got none of them, and all were answered")
def then_none(context, index):
    fleet = context.simulation.fleet
    ids = {request.id for request in context.lookups}
    runs = [run for run in fleet.records.runs if run.attempt_id in ids]
    assert all(run.replica != f"p-{index}" for run in runs)
    answered = [item for item in context.lookups if item.response.status == 200]
    assert len(answered) == len(context.lookups), len(answered)


@then("every daemon follows the list of backend servers, and no task has failed")
def then_followed(context):
    for name, kernel in context.simulation.fleet.kernels_by_name.items():
        backend = kernel.get("directory").backends_by_id["p-0"]
        assert backend.state == "draining", name
        assert kernel.get("serving_configuration").current.version == 2, name
    failed = [
        record for record in context.log.records if record.channel == "kernel.tasks"
    ]
    assert not failed, failed[0].msg


@then("the daemons that are started now follow it too")
def then_started_follow(context):
    fleet = context.simulation.fleet
    context.simulation.run(fleet.start_daemon("front-9"))
    context.simulation.wait(4.0)
    directory = fleet.kernels_by_name["front-9"].get("directory")
    assert len(directory.backends_by_id) >= len(fleet.replicas_by_id)
    request = start_request(context, "GET", "/look/last", daemon="front-9")
    context.simulation.wait(2.0)
    assert request.response.status == 200, request.response.status


@then(
    "an entry of a replica is decoded or left out whatever value each of its fields has"
)
def then_entry_decoded(context):
    for document in _variants(ENTRY):
        backend = decode_backend("i-1", document)
        if backend is not None:
            assert isinstance(backend.slots, int) and backend.slots > 0, document
            assert 0 < int(backend.address.rpartition(":")[2]) < 65536, document
    for document in ODD_VALUES:
        assert decode_backend("i-1", document) is None


@then("a configuration is decoded or rejected whatever value each of its fields has")
def then_configuration_decoded(context):
    for document in [*_variants(configuration_document(1)), *ODD_VALUES]:
        try:
            decode_configuration(document)
        except InvalidDocument:
            continue


def _variants(document):
    """Yield ``document`` with each odd value in place of each of its values."""
    for path in _paths(document):
        for value in ODD_VALUES:
            changed = copy.deepcopy(document)
            holder = changed
            for key in path[:-1]:
                holder = holder[key]
            holder[path[-1]] = value
            yield changed


def _paths(value, path=()):
    match value:
        case dict():
            items = value.items()
        case list():
            items = enumerate(value)
        case _:
            return
    for key, inner in items:
        yield (*path, key)
        yield from _paths(inner, (*path, key))


OWN_OBJECTS_BY_NAME = {
    "formation": {"holder": "front-9", "term": 3, "address": "front-9:1", "renewal": 1},
    "front-1": {"zone": "z-a", "address": "front-1:27002", "capacity": 1},
    "front-7": {"zone": "z-a", "address": "front-7:27002", "capacity": 1},
    "parts": {"term": 9, "serial": 9, "parts": {"llm/x": [3, 1.0, False]}},
    "reports.odd": {"strikes": [["llm/x", "i/1", "a1"]], "served": [["llm/y", 0.5]]},
    "named": {"term": 9, "serial": 9, "limits": {"i-d0-0": [0, 2.0]}},
}
ODD_INTERVAL_S = 0.4


@when(
    'the object "{name}" of kind {kind} gets each odd value in place of each of its'
    " values"
)
def when_odd_objects(context, name, kind):
    store = context.simulation.fleet.store
    document = OWN_OBJECTS_BY_NAME[name]
    for odd in [*_variants(document), *ODD_VALUES]:
        # No store holds what JSON does not have.
        text = json.dumps(odd, default=str)
        if "Infinity" in text or "NaN" in text:
            continue
        context.simulation.call_in_loop(lambda odd=odd: store.put(kind, name, odd))
        context.simulation.wait(ODD_INTERVAL_S)


@then("all look-ups were answered, and no task has failed")
def then_answered_without_failure(context):
    assert all(item.response.status == 200 for item in context.lookups)
    failed = [
        record for record in context.log.records if record.channel == "kernel.tasks"
    ]
    assert not failed, (len(failed), failed[0].msg, failed[0].formatted_exception)
