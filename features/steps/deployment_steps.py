"""Steps for a deployment of separate processes."""

import asyncio
import contextlib
import http.client
import io
import json
import subprocess
import sys
import tempfile
import urllib.error
import urllib.request
from pathlib import Path

import yaml
from behave import then, when

from pimentogap.errors import PeerRefused, PeerUnreachable
from pimentogap.peers.grpc import GrpcTransport
from pimentogap.programs import run_check, run_ctl, run_daemon, run_report
from standins._tokens import answer
from standins.deployment import get_json, wait_until

TIMEOUT_S = 30.0
WORKSPACE = "tournees"
IO_LIBRARIES = {"tornado", "grpclib", "yaml", "google", "http"}
DECISION_PACKAGES = (
    "access",
    "actions",
    "checks",
    "fleet",
    "groups",
    "kernel",
    "limits",
    "lookups",
    "objectives",
    "peers",
    "report",
    "routing",
    "store",
    "streams",
    "tickets",
    "traces",
    "types",
)
BAD_SETTINGS = """\
daemon:
  id: d1
  availability_zon: z-a
  caller_address: entry.example:8080
  region: r
  operator_address: 127.0.0.1:8181
store: {address: "127.0.0.1:7000",
  timeout: 5}
peers:
  fleet_key: short
"""


@when("the operator submits {file}.yaml")
def when_submits(context, file):
    path = copy_with_ports(context, f"{file}.yaml")
    context.client_result = run_client(context, "submit", path)


@then("the report of all daemons shows {objective}")
def then_report(context, objective):
    layout = context.deployment.layout
    addresses = [layout.operator_address(index) for index in range(layout.daemons)]
    page = context.deployment.folder / "burn.html"
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        assert run_report([*addresses, "--page", str(page)]) == 0
    shown = [line for line in output.getvalue().splitlines() if objective in line]
    assert shown and "within budget" in shown[0], output.getvalue()
    assert objective in page.read_text(encoding="utf-8")


@then("every command of the operators' page succeeds")
def then_commands_succeed(context):
    status = get_json(context.deployment.layout.operator_address(0), "/status")
    group = status["groups"][0]
    for arguments in (
        ["status"],
        ["list"],
        ["show", "1"],
        ["explain", "ticket", "1"],
        ["explain", "group", group["group"]],
        ["explain", "vm", group["vms"][0]],
        ["actions"],
        ["key"],
    ):
        code, output = run_client(context, *arguments)
        assert code == 0 and output.startswith("{"), (arguments, code, output)


@when("the operator submits an outdated ticket")
def when_submits_outdated(context):
    ticket = {
        "submission": "outdated",
        "against": 0,
        "author": "maelle",
        "put": [{"kind": "workspace", "name": WORKSPACE, "requests_per_s": 1.0}],
    }
    path = context.deployment.folder / "outdated.yaml"
    path.write_text(yaml.safe_dump(ticket), encoding="utf-8")
    context.client_result = run_client(context, "submit", str(path))


@then("the operators' client exits with {code:d}")
def then_ctl_exits(context, code):
    assert context.client_result[0] == code, context.client_result


@then("its output says {text}")
def then_ctl_says(context, text):
    assert text in context.client_result[1], context.client_result


@then("every daemon serves {service}")
def then_service_served(context, service):
    """Wait for two groups at each daemon; the sample has only one model service."""
    layout = context.deployment.layout

    def is_served():
        for index in range(layout.daemons):
            status = get_json(layout.operator_address(index), "/status")
            groups = [g for g in status["groups"] if g["permitted_here"]]
            if len(groups) < 2 or status["freshness"]["state"] != "current":
                return False
        return True

    wait_until(is_served, TIMEOUT_S)


@when("a caller streams {tokens:d} tokens from {model} at daemon {index:d}")
def when_streams(context, tokens, model, index):
    start_stream(context, tokens, model, index)
    read_rest(context)


@when("a caller starts to stream {tokens:d} tokens from {model} at daemon {index:d}")
def when_stream_starts(context, tokens, model, index):
    start_stream(context, tokens, model, index)


@when(
    "a caller asks {model} for {tokens:d} tokens at daemon {index:d} without streaming"
)
def when_asks_unstreamed(context, tokens, model, index):
    body = {"model": model, "prompt": "whole", "max_tokens": tokens}
    response = send(context, index, "POST", "/v1/completions", body)
    context.daemon_index = index
    context.request_id = response.headers["Request-Id"]
    context.received = json.loads(response.body)["choices"][0]["text"]
    context.expected = answer("whole", tokens)


@then("the answer is complete")
def then_answer_complete(context):
    assert context.received == context.expected, (context.received, context.expected)


@then("the streamed answer is complete")
def then_stream_complete(context):
    read_rest(context)
    assert context.received == context.expected


@then("the trace of the request says which replica was chosen")
def then_replica_traced(context):
    address = context.deployment.layout.operator_address(context.daemon_index)
    trace = get_json(address, f"/explain/request/{context.request_id}")
    assert any(note["what"].startswith("chose ") for note in trace["notes"]), trace


@when("booking {key} is confirmed at daemon {index:d}")
def when_booked(context, key, index):
    headers = {"Idempotency-Key": key}
    path = "/services/reservations/actions/confirm"
    response = send(context, index, "POST", path, {"slot": 8}, headers=headers)
    assert response.status == 200, response.body


@then("the service ran booking {key} once")
def then_booked_once(context, key):
    runs = context.deployment.control("/record")["runs"]["reservations"]
    assert [run[0] for run in runs].count(key) == 1, runs


@then("a lookup of {name} at daemon {index:d} answers {status:d}")
def then_lookup(context, name, index, status):
    response = send(context, index, "GET", f"/services/reservations/{name}", None)
    assert response.status == status, response.body


@when("a caller sends {request}")
def when_sends(context, request):
    valid_body = {"model": "redacteur", "prompt": "p", "max_tokens": 2}
    path, headers, workspace, chunked = "/v1/completions", {}, WORKSPACE, False
    body = valid_body
    match request:
        case "a body that is not JSON":
            body = b"{not json"
        case "a body over the limit":
            body = {**valid_body, "prompt": "x" * 2_000_000}
        case "a chunked body over the limit":
            body, chunked = {**valid_body, "prompt": "x" * 2_000_000}, True
        case "headers over the limit":
            headers = {"X-Long": "x" * 30_000}
        case "an unknown model":
            body = {**valid_body, "model": "nobody"}
        case "an unknown workspace":
            workspace = "nobody"
        case "an unknown service":
            path = "/services/nobody/slots"
        case "an unknown path":
            path = "/nowhere"
        case "no prompt":
            body = {"model": "redacteur"}
        case "a deadline that is no number":
            headers = {"Request-Timeout-Ms": "soon"}
        case "an idempotency key with blanks":
            path, headers = (
                "/services/reservations/actions/x",
                {"Idempotency-Key": "a b"},
            )
        case _:
            raise AssertionError(request)
    context.response = send(
        context,
        0,
        "POST",
        path,
        body,
        headers=headers,
        workspace=workspace,
        chunked=chunked,
    )


@then("the answer is {status:d} with code {code} and run state {state}")
def then_refused(context, status, code, state):
    response = context.response
    assert response.status == status, (response.status, response.body)
    problem = json.loads(response.body)
    assert (problem["code"], problem["run_state"]) == (code, state), problem
    assert response.headers["Run-State"] == state


@then("an engine runs 1 request")
def then_engine_runs(context):
    wait_until(lambda: running_requests(context) == 1, TIMEOUT_S)


@then("no engine runs a request")
def then_no_engine_runs(context):
    wait_until(lambda: running_requests(context) == 0, TIMEOUT_S)


@when("the caller disconnects")
def when_caller_leaves(context):
    context.connection.close()
    context.stream.close()


@when("daemon {index:d} is told to stop")
def when_told_to_stop(context, index):
    context.stopping = context.deployment.processes_by_name[f"daemon-{index}"]
    context.stopping.terminate()


@then("daemon {index:d} exits with {code:d}")
def then_daemon_exits(context, index, code):
    assert context.stopping.wait(TIMEOUT_S) == code
    del context.deployment.processes_by_name[f"daemon-{index}"]


@when("daemon {index:d} is started again")
def when_daemon_restarted(context, index):
    context.deployment.start_daemon(index)


@when("a peer with a wrong fleet key opens a session with daemon {index:d}")
def when_wrong_key_session(context, index):
    address = context.deployment.layout.peer_address(index)

    async def open_session():
        transport = GrpcTransport("stranger", "not-the-key-of-the-fleet")
        async with transport.open_session(address) as session:
            await session.receive()

    try:
        asyncio.run(open_session())
        context.refused = False
    except (PeerRefused, PeerUnreachable):
        context.refused = True


@then("the peer is refused")
def then_peer_refused(context):
    assert context.refused


@when("the daemon checks settings with several errors")
def when_settings_checked(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "bad.yaml"
        path.write_text(BAD_SETTINGS, encoding="utf-8")
        output = io.StringIO()
        with contextlib.redirect_stderr(output):
            context.code = run_daemon(["--settings", str(path), "--check"])
        context.reported = output.getvalue().splitlines()


@then("it exits with {code:d}")
def then_exits(context, code):
    assert context.code == code


@then("it reports line {line:d} of {path} as unknown, with a hint")
def then_reports_unknown(context, line, path):
    expected = f"line {line}: {path}: unknown key; expected 'availability_zone'"
    assert any(expected in text for text in context.reported), context.reported


@then("it reports {path} as missing")
def then_reports_missing(context, path):
    expected = f"{path}: missing"
    assert any(expected in text for text in context.reported), context.reported


@then("it reports line {line:d} of {path}")
def then_reports(context, line, path):
    expected = f"line {line}: {path}: found"
    assert any(expected in text for text in context.reported), context.reported


@then("the packages that make decisions import neither tornado, grpclib nor yaml")
def then_no_io_libraries(context):
    names = ", ".join(f"pimentogap.{name}" for name in DECISION_PACKAGES)
    code = f"import sys, {names}; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert "pimentogap.actions._shard" in loaded
    assert not IO_LIBRARIES & {name.partition(".")[0] for name in loaded}


@then("--help of daemon, ctl, report and check shows examples and exit codes")
def then_help(context):
    for run in (run_daemon, run_ctl, run_report, run_check):
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.suppress(SystemExit):
            run(["--help"])
        assert "examples:" in output.getvalue() and "exit codes:" in output.getvalue()


class Response:
    """A response whose body has been read."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


def send(
    context,
    index,
    method,
    path,
    body,
    *,
    headers=None,
    workspace=WORKSPACE,
    chunked=False,
):
    """Send one request to a daemon and return the `Response`."""
    data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
    host, _, port = context.deployment.layout.caller_address(index).rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    payload = iter([data[:1000], data[1000:]]) if chunked else data
    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
        connection.request(
            method,
            path,
            payload,
            {"Workspace": workspace, **(headers or {})},
            encode_chunked=chunked,
        )
    response = connection.getresponse()
    result = Response(response.status, response.headers, response.read())
    connection.close()
    return result


def start_stream(context, tokens, model, index):
    """Request a streamed answer and read its first lines, up to the first text."""
    prompt = f"stream of {tokens}"
    body = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": True}
    host, _, port = context.deployment.layout.caller_address(index).rpartition(":")
    context.connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    context.connection.request(
        "POST", "/v1/completions", json.dumps(body), {"Workspace": WORKSPACE}
    )
    context.stream = context.connection.getresponse()
    assert context.stream.status == 200, context.stream.read()
    context.stream.readline()
    context.received = ""
    context.expected = answer(prompt, tokens)
    context.received += text_of(context.stream.readline())


def read_rest(context):
    """Read the remaining lines of a streamed answer."""
    done = False
    for line in context.stream:
        done = done or line.strip() == b"data: [DONE]"
        context.received += text_of(line)
    assert done, "the stream ended early"


def text_of(line):
    """Return the text in one line of a stream, empty if the line holds no event."""
    data = line.decode().strip().removeprefix("data: ")
    return json.loads(data)["choices"][0]["text"] if data.startswith("{") else ""


def run_client(context, *arguments):
    """Run the operators' client and return its exit code and output."""
    output = io.StringIO()
    address = context.deployment.layout.operator_address(0)
    with contextlib.redirect_stdout(output):
        code = run_ctl(["--daemon", address, *arguments])
    return code, output.getvalue()


def copy_with_ports(context, file):
    """Copy a sample ticket with the ports of this deployment; return the path."""
    text = Path(file).read_text(encoding="utf-8")
    first_port = context.deployment.layout.first_port
    text = text.replace("127.0.0.1:210", f"127.0.0.1:{first_port // 100}")
    path = context.deployment.folder / "ticket.yaml"
    path.write_text(text, encoding="utf-8")
    return str(path)


def running_requests(context):
    """Return how many requests run at the engines that can be reached."""
    layout = context.deployment.layout
    status = get_json(layout.operator_address(0), "/status")
    total = 0
    for group in status["groups"]:
        index = vm_index(layout, group["vms"][0])
        address = f"{layout.host}:{layout.first_port + 100 + index}"
        with contextlib.suppress(urllib.error.URLError):
            total += get_json(address, "/v1/holding")["running"]
    return total


def vm_index(layout, vm_id):
    """Return the position of a VM among all VMs of the layout."""
    zone, _, rest = vm_id.rpartition("-f")
    domain, _, index = rest.partition("-")
    position = layout.availability_zones.index(zone) * layout.domains_per_zone
    return (position + int(domain)) * layout.vms_per_domain + int(index)
