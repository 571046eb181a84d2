"""Steps for names that are not ASCII, or that HTTP cannot carry."""

import asyncio
import math
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as given_any, settings, strategies as st
from tornado.httputil import HTTPHeaders

from features.steps.connection_steps import AnswerReceiver
from features.steps.platform_steps import start_request
from pimentogap.directory import GroupView, group_name, model_of
from pimentogap.forwarding._events import EventFilter
from pimentogap.metrics import MetricService, Series
from pimentogap.platform import (
    HttpEngines,
    PlatformHeaders,
    decode_backend,
    decode_configuration,
)
from pimentogap.platform._text import decode_field
from pimentogap.types import Backend, BackendState, NamedLimit, StageWeights
from pimentogap.web import BackendPool, HttpClient, encode_fields
from standins.emulator import configuration_document

ADDED_KEY = "key-of-added"
NAMES_BY_WHAT = {
    "Latin-1": "Crêpes du Léon",
    "a ligature": "Œufs d'Armor",
    "other scripts": "東京 Αθήνα القاهرة",
    "an emoji": "fromage 🧀",
    "dots and slashes": "../a.b/c?d#e%20",
    "quotes": '"l\'Armor" \\ `x`',
    "blanks at both ends": "\t Armor  ",
    "10,000 letters": "é" * 10_000,
    "nothing in it": "",
    "a line end": "Armor\r\nX-Pimentogap-Tenant: w1",
    "a NUL": "Armor\0",
    "a lone surrogate": "Armor \ud800",
}
EXAMPLES = 200
# What a header field cannot hold.
CONTROLS = "".join(map(chr, (*range(9), *range(10, 32), 127)))
FIELD_TEXTS = st.text(
    st.characters(exclude_categories=("Cs",), exclude_characters=CONTROLS)
)


@when("version 2 adds a workspace whose name has {what}")
def when_workspace_added(context, what):
    context.workspace = NAMES_BY_WHAT[what]
    document = configuration_document(2)
    added = {"name": context.workspace, "apiKeys": [ADDED_KEY]}
    document["tenants"].append(added)
    context.simulation.fleet.store.put("config", "main", document)


@when("{count:d} bookings and {same:d} look-ups of it are requested")
def when_requested(context, count, same):
    context.first = send_requests(context, count, same, key=ADDED_KEY)


@when("{count:d} bookings and {same:d} look-ups of another workspace are requested")
def when_others_requested(context, count, same):
    context.others = send_requests(context, count, same)


def send_requests(context, bookings, lookups, **options):
    calls = [("POST", "/book/x")] * bookings + [("GET", "/look/x")] * lookups
    return [start_request(context, *call, **options) for call in calls]


@then("each of them gets {status:d}")
def then_answered(context, status):
    requests = getattr(context, "others", None) or context.first
    check_statuses(requests, status)


@then("each of the others gets {status:d}")
def then_others_answered(context, status):
    check_statuses(context.others, status)


def check_statuses(requests, status):
    statuses = [request.response.status for request in requests]
    assert set(statuses) == {status}, statuses
    assert all(request.response.is_finished for request in requests)


@then("the replicas got them under the name of the workspace")
def then_named(context):
    for request in context.first:
        (run,) = context.simulation.fleet.records.runs_of(request.id)
        assert run.workspace == context.workspace.strip(" \t"), run.workspace


@then("all of the first are refused as not run, within {seconds:g} seconds")
def then_refused(context, seconds):
    check_statuses(context.first, 503)
    ids = {request.id for request in context.first}
    assert not any(context.simulation.fleet.records.runs_of(id_) for id_ in ids)
    ends = [line for line in ended_lines(context) if line["id"] in ids]
    assert len(ends) == len(ids)
    assert all(line["ms"] <= seconds * 1000 for line in ends), ends


def ended_lines(context):
    records = context.log.records
    return [record.kwargs for record in records if record.msg == "request ended"]


@when("an error that nothing foresees is raised {where}")
def when_error(context, where):
    fleet = context.simulation.fleet
    match where:
        case "while a server is chosen":
            for kernel in fleet.kernels_by_name.values():
                forwarding = kernel.get("forwarding")
                forwarding._placement = FailingPlacement()
        case "by the connections":
            for replica in fleet.plain_replicas_by_id.values():
                handlers = fleet.network.handlers_by_address
                handlers[replica.address] = FailingHandler()


class FailingHandler:
    """Stands in for a replica; each request ends with an error of the library."""

    async def handle(self, request, reply, source=""):
        raise RuntimeError("unforeseen")


class FailingPlacement:
    """Stands in for the placement; no choice of a server succeeds."""

    def choose(self, *args, **options):
        raise RuntimeError("unforeseen")


@then("the log names each of them with the error")
def then_logged(context):
    logged = {
        record.kwargs.get("id") for record in context.log.records if record.exc_info
    }
    assert logged >= {request.id for request in context.others}, logged


@given("a replica over sockets whose id has {what}")
def given_replica(context, what):
    context.backend = sample_backend(NAMES_BY_WHAT[what])


def sample_backend(id_, address="127.0.0.1:1"):
    return Backend(
        id=id_,
        service="app",
        address=address,
        availability_zone="z-a",
        state=BackendState.READY,
    )


@when("it gets a request, an order, a report and a health check")
def when_called(context):
    context.heads = []

    async def serve(reader, writer):
        context.heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        await writer.drain()
        writer.close()

    async def call():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        backend = replace(context.backend, address=address)
        engines = HttpEngines(HttpClient())
        await engines.order(backend, StageWeights("m"), fence=1)
        await engines.report(backend)
        await engines.is_leaving(backend, "/santé ok\r\n")
        pairs = PlatformHeaders().attempt_headers(
            backend=backend, remaining_s=1.0, workspace=None, last_event_id=None
        )
        receiver = AnswerReceiver("a1")
        await BackendPool().exchange(
            address, "GET", "/", pairs, b"", receiver, fresh=True, connect_s=1.0
        )
        server.close()

    asyncio.run(call())


@then("it was named in each of them")
def then_expected(context):
    assert len(context.heads) == 4, context.heads
    for head in context.heads:
        line = f"X-Pimentogap-Expect-Replica: {context.backend.id}\r\n"
        assert line.encode() in head, head


@then("an entry whose name has {what} is left out")
def then_left_out(context, what):
    entry = {"service": "app", "addr": "a:1", "zone": "z-a", "state": "ready"}
    assert decode_backend("i-1", entry) is not None
    assert decode_backend(NAMES_BY_WHAT[what], entry) is None


@then("a metric of each of the names is written in one line, with its quotes escaped")
def then_metrics(context):
    metrics = MetricService()
    for name in NAMES_BY_WHAT.values():
        metrics.count(Series("requests", "app", name, "delivered"))
    lines = [line for line in metrics.text().split("\n") if "requests" in line]
    assert len(lines) == len(NAMES_BY_WHAT), lines
    quoted = NAMES_BY_WHAT["quotes"].replace("\\", "\\\\").replace('"', '\\"')
    assert any(f'workspace="{quoted}"' in line for line in lines), lines


@then("any text that a header field can hold is read as it was sent")
def then_same_text(context):
    codec = PlatformHeaders()

    @settings(max_examples=EXAMPLES, derandomize=True, database=None)
    @given_any(FIELD_TEXTS, FIELD_TEXTS)
    def check(workspace, id_):
        backend = sample_backend(id_)
        pairs = codec.attempt_headers(
            backend=backend, remaining_s=1.0, workspace=workspace, last_event_id=None
        )
        fields = encode_fields("GET", pairs, b"")
        read = [decode_field(fields[name]) for name, _ in pairs]
        assert read[0] == id_.strip(" \t"), read
        assert read[-1] == workspace.strip(" \t"), read

    check()


@then("the model of a group is that for which it was formed, for any name")
def then_model(context):
    @settings(max_examples=EXAMPLES, derandomize=True, database=None)
    @given_any(st.text(), st.integers(min_value=1))
    def check(model, epoch):
        name = group_name(model, epoch)
        assert model_of(name) == model == GroupView(name, epoch).model, name

    check()


# What a library reads of a field: any bytes but controls, as Latin-1.
FIELD_VALUES = st.one_of(
    st.text(st.characters(max_codepoint=255, exclude_characters=CONTROLS)),
    st.floats().map(str),
    st.integers().map(str),
    st.lists(st.integers(min_value=0)).map(lambda numbers: ",".join(map(str, numbers))),
)
REQUEST_FIELDS = (
    "Authorization",
    "Last-Event-Id",
    "X-Pimentogap-Attempt-Id",
    "X-Pimentogap-Deadline-Ms",
    "X-Pimentogap-Model",
    "X-Pimentogap-Prompt-Prefix",
    "X-Pimentogap-Token-Count",
)
ANSWER_FIELDS = (
    "At-Server",
    "Retry-After",
    "Server-Leaving",
    "Server-Limit",
    "X-Pimentogap-Attempt-Id",
    "X-Pimentogap-Cold-Ms",
    "X-Pimentogap-Replica-Load",
)


def head_of(names):
    """Return a strategy of heads, each of the fields ``names`` with any value."""
    fields = {name: FIELD_VALUES.map(str.strip) for name in names}
    return st.fixed_dictionaries({}, optional=fields).map(HTTPHeaders)


@then("any head of a request is decoded, and sent on or known not to be sendable")
def then_request_heads(context):
    codec = PlatformHeaders()

    @settings(max_examples=EXAMPLES, derandomize=True, database=None)
    @given_any(head_of(REQUEST_FIELDS))
    def check(headers):
        needs = codec.needs(headers)
        assert needs.deadline_s is None or 0 <= needs.deadline_s < math.inf
        pairs = codec.forwarded_headers(headers) + codec.attempt_headers(
            backend=sample_backend("i-1"),
            remaining_s=needs.deadline_s or 1.0,
            workspace="w",
            last_event_id=EventFilter(needs.last_event_id).last_id,
        )
        encode_fields("GET", pairs, b"")

    check()


@then("any head of an answer is decoded, with numbers that are finite")
def then_answer_heads(context):
    codec = PlatformHeaders()

    @settings(max_examples=EXAMPLES, derandomize=True, database=None)
    @given_any(st.integers(200, 599), head_of(ANSWER_FIELDS))
    def check(status, headers):
        answer = codec.decode_answer(status, headers)
        assert answer.cold_left_s is None or math.isfinite(answer.cold_left_s)
        match answer.limit:
            case NamedLimit(per_s):
                assert 0 <= per_s < math.inf

    check()


@then(
    "names, hosts, prefixes and keys of any text are those of the decoded configuration"
)
def then_configuration_texts(context):
    texts = st.text(min_size=1)

    @settings(max_examples=EXAMPLES, derandomize=True, database=None)
    @given_any(texts, texts, texts, texts, texts)
    def check(name, host, prefix, key, workspace):
        document = configuration_document(1, keys=(key,))
        document["routes"][0] |= {"name": name, "host": host, "pathPrefix": prefix}
        document["services"][1]["name"] = name
        document["tenants"][0]["name"] = workspace
        decoded = decode_configuration(document)
        route = decoded.routes[0]
        assert (route.name, route.host, route.path_prefix) == (name, host, prefix)
        assert name in decoded.services_by_name
        assert decoded.workspaces_by_key == {key: workspace}
        assert route in decoded.routes_by_host[host.lower()]

    check()
