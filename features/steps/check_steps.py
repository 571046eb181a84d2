"""Steps for the check of a configuration before it is sent."""

import contextlib
import copy
import io
import json
import os
import random
import tempfile

from behave import given, then, when
from hypothesis import HealthCheck, given as given_example, settings, strategies as st

from pimentogap.checks import EntryKind, NeverMatches, find_unmatched
from pimentogap.directory import ServingConfigurationService
from pimentogap.errors import InvalidDocument
from pimentogap.forwarding._routes import find_route
from pimentogap.platform import decode_configuration
from pimentogap.programs import run_check
from pimentogap.relay import CollectionUpdate
from pimentogap.relay._freshness import KnownAt
from pimentogap.store import Stored
from standins.emulator import configuration_document

PROPERTY_SETTINGS = settings(
    max_examples=300,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
HOSTS = ("a.example", "A.example", "b.example", "")
PREFIXES = ("/", "/a/", "/a/b/", "a/", "/a/?x/")
PATHS = ("/", "/a/", "/a/x", "/a/b/x", "/c", "/a/?x/", "a/x")


@given("a configuration that is sound")
def given_sound(context):
    context.document = copy.deepcopy(configuration_document(1))
    for service in context.document["services"]:
        service.setdefault("healthPath", "/health")
    for route in context.document["routes"]:
        route["priority"] = 0
        route["maxAttempts"] = 2 if route["routeKind"] == "streaming" else 1
    code, findings = _check(context.document)
    assert (code, findings) == (0, []), findings


def _set(*path, value):
    def change(document):
        holder = document
        for key in path[:-1]:
            holder = holder[key]
        if value is None:
            del holder[path[-1]]
        else:
            holder[path[-1]] = value

    return change


def _append(key, item):
    return lambda document: document[key].append(item)


def _route_twice(document):
    document["routes"].append({**document["routes"][0], "name": "twin"})


CHANGES_BY_CASE = {
    "a route without a name": _set("routes", 0, "name", value=None),
    "a timeout that is a string": _set("routes", 0, "timeoutMs", value="long"),
    "a service that is a number": _set("services", 1, value=7),
    "a route twice": _route_twice,
    "a prefix without a slash": _set("routes", 1, "pathPrefix", value="look/"),
    "a route to an unknown service": _set("routes", 1, "service", value="none"),
    "a model route to a plain service": _set("routes", 0, "service", value="app"),
    "a service without a route": _append("services", {"name": "idle"}),
    "a workspace without a key": _append("tenants", {"name": "w2", "apiKeys": []}),
    "a timeout below the objective": _set("routes", 0, "timeoutMs", value=10),
    "attempts beyond the timeout": _set("routes", 1, "maxAttempts", value=40),
    "attempts of a booking": _set("routes", 2, "maxAttempts", value=2),
    "shares above one": _set("services", 0, "engine", "models", 0, "share", value=0.9),
    "a cold rate without a time": _set("services", 0, "coldPerS", value=5),
    "bodies beyond the memory": _set("limits", "maxBodyBytes", value=10**9),
    "headers beyond the memory": _set("limits", "maxHeaderBytes", value=10**9),
    "ranks that workspaces replace": _set("routes", 1, "priority", value=3),
}


@when("it is changed: {case}")
def when_changed(context, case):
    CHANGES_BY_CASE[case](context.document)


@then("the check reports {kind} at {place} and exits with {code:d}")
def then_reports(context, kind, place, code):
    exit_code, findings = _check(context.document)
    assert exit_code == code, (exit_code, findings)
    places = [item["place"] for item in findings if item["kind"] == kind]
    assert any(_is_at(found, place) for found in places), findings


def _is_at(found, place):
    found = found.rpartition(": ")[2]
    return found == place or found.startswith(f'{place} "')


@then("the check reports {count:d} errors")
def then_error_count(context, count):
    _, findings = _check(context.document)
    assert [item["kind"] for item in findings] == ["error"] * count, findings


@when("it becomes version 2 with a key taken away, a route moved and a longer timeout")
def when_next_version(context):
    context.newer = copy.deepcopy(context.document)
    context.newer["version"] = 2
    context.newer["tenants"][0]["apiKeys"] = ["another-key"]
    context.newer["routes"][1]["timeoutMs"] += 1000
    context.newer["services"].append({"name": "app-2"})
    context.newer["routes"][2]["service"] = "app-2"


@then("the changes name the key, the service and the timeout in this order")
def then_changes(context):
    _, findings = _check(context.newer, in_force=context.document)
    reasons = [item["reason"] for item in findings if item["kind"] == "change"]
    ranks = [
        next(index for index, reason in enumerate(reasons) if word in reason)
        for word in ("is taken away", "app-2", "timeout_s: ")
    ]
    assert ranks == sorted(ranks), reasons


CONTENTS = {
    "nothing": b"",
    "random bytes": random.Random(1).randbytes(5000),
    "100 MB of blanks": b" " * 100_000_000,
    "100,000 nested lists": b"[" * 100_000 + b"]" * 100_000,
    "100 nested lists": b"[" * 100 + b"]" * 100,
    "a key twice": b'{"version": 1, "version": 2}',
    "YAML": b"version: 7\nroutes: []\n",
    "a list": b"[1, 2]",
}


@when("a file that holds {content} is checked")
def when_file_checked(context, content):
    context.result = _check_bytes(CONTENTS[content])


@then("the check reports one error about {what} and exits with 2")
def then_one_error(context, what):
    code, findings = context.result
    assert code == 2 and len(findings) == 1, (code, findings)
    assert what in findings[0]["reason"], findings


@then("300 random configurations without errors are put in force by a daemon")
def then_sound_is_followed(context):
    @PROPERTY_SETTINGS
    @given_example(_documents())
    def follow(document):
        code, _ = _check(document)
        service = ServingConfigurationService("config", "main", decode_configuration)
        stored = Stored("main", 5, document)
        update = CollectionUpdate(True, (), (stored,), 5, 0.0, KnownAt("config"))
        service._apply(update)
        assert (service.current is not None) == (code < 2), document

    follow()


@then("the router never chooses a route that the check says never matches")
def then_never_chosen(context):
    @PROPERTY_SETTINGS
    @given_example(_documents(), st.sampled_from(HOSTS), st.sampled_from(PATHS))
    def choose(document, host, path):
        try:
            configuration = decode_configuration(document)
        except InvalidDocument:
            return
        for finding in find_unmatched(configuration):
            entry = finding.entry
            assert isinstance(finding, NeverMatches)
            if entry.kind is EntryKind.ROUTE and "service" not in finding.reason:
                # Callers send a path that begins with a slash, and a host.
                route = configuration.routes[entry.index]
                if host and path.startswith("/"):
                    assert find_route(configuration, host, path) is not route

    choose()


def _documents():
    """Return a strategy of configurations, some of which have errors."""
    route = st.fixed_dictionaries(
        {
            "name": st.sampled_from(("r1", "r2", 3)),
            "host": st.sampled_from(HOSTS),
            "pathPrefix": st.sampled_from(PREFIXES),
            "service": st.sampled_from(("app", "none")),
            "timeoutMs": st.sampled_from((1000, None, "long", 0)),
        }
    )
    return st.fixed_dictionaries(
        {
            "version": st.sampled_from((1, 2, 2, None, "1")),
            "routes": st.lists(route, max_size=4),
            "services": st.sampled_from(([{"name": "app"}], [], [7])),
            "tenants": st.sampled_from((None, [], [{"name": "w", "apiKeys": ["k"]}])),
        }
    )


def _check(document, *, in_force=None):
    content = json.dumps(document).encode()
    older = None if in_force is None else json.dumps(in_force).encode()
    return _check_bytes(content, in_force=older)


def _check_bytes(content, *, in_force=None):
    """Return the exit code and the findings of `pimentogap-check`."""
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "next.json")
        arguments = [path, "--json"]
        for name, data in (("next.json", content), ("now.json", in_force)):
            if data is not None:
                with open(os.path.join(folder, name), "wb") as file:
                    file.write(data)
        if in_force is not None:
            arguments += ["--in-force", os.path.join(folder, "now.json")]
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = run_check(arguments)
    return code, json.loads(output.getvalue())["findings"]
