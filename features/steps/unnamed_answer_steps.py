"""Steps for answers that carry no id: of engines to orders, and of the store."""

import asyncio
import json

from behave import given, then, when

from pimentogap.errors import StoreAnswerLost
from pimentogap.platform import HttpEngines, ObjectTransport
from pimentogap.store import Get
from pimentogap.types import (
    Backend,
    BackendState,
    LeaveGroup,
    OpenGroup,
    OrderConflict,
)
from pimentogap.web import HttpClient

SECOND_SEQ = 7
IDLE_S = 0.1
COPY_DELAY_S = 0.02


@given("a server that answers the first call twice, the second time {when}")
def given_server(context, when):
    context.server = RepeatingServer(answer_engine_call, when)


@given("a store that answers the first call twice, the second time {when}")
def given_store(context, when):
    context.server = RepeatingServer(answer_read, when)


@given("a store that answers each call once")
def given_sound_store(context):
    context.server = RepeatingServer(answer_read, None)


class RepeatingServer:
    """Answers each request, and the very first one once more at the time ``when``."""

    __slots__ = ("_answer", "_when", "_request_count")

    def __init__(self, answer, when):
        self._answer = answer
        self._when = when
        self._request_count = 0

    async def serve(self, reader, writer):
        """Serve one connection."""
        copy = b""
        while request := await read_request(reader):
            writer.write(copy)
            answer, copy = self._answer(*request), b""
            self._request_count += 1
            is_first = self._request_count == 1
            match self._when:
                case "at once" if is_first:
                    writer.write(answer * 2)
                case "soon after" if is_first:
                    writer.write(answer)
                    await asyncio.sleep(COPY_DELAY_S)
                    writer.write(answer)
                case "before the next answer" if is_first:
                    writer.write(answer)
                    copy = answer
                case _:
                    writer.write(answer)
        writer.close()


async def read_request(reader):
    """Return the path and body of the next request, or ``None`` at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        _, _, length = head.lower().partition("content-length: ")
        body = await reader.readexactly(int(length.split("\r\n")[0] or 0))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head.split(" ")[1], body


def encode(status, data):
    body = json.dumps(data).encode()
    return f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def answer_engine_call(path, body):
    """Answer an order to open a group with 202, one to leave it with 409."""
    if path == "/health":
        return encode(503, {})
    if path == "/api/report":
        return encode(200, {"seq": SECOND_SEQ, "born": 1, "slots": 4, "version": "v1"})
    return encode(202 if json.loads(body)["operation"] == "open" else 409, {})


def answer_read(path, body):
    """Answer a read with the object that the path names."""
    name = path.rpartition("/")[2]
    return encode(200, {"metadata": {"name": name, "revision": 5}, "specification": {}})


@when("{first} and then {second} are sent to it")
def when_calls(context, first, second):
    async def send(address, client):
        engines = HttpEngines(client)
        backend = Backend(
            id="i-1",
            service="llm",
            address=address,
            availability_zone="z-a",
            state=BackendState.READY,
        )
        await call_engine(engines, backend, first)
        await asyncio.sleep(IDLE_S)
        return await call_engine(engines, backend, second)

    context.second = second
    context.result = asyncio.run(run_against(context, send))


async def call_engine(engines, backend, call):
    match call:
        case "an order":
            return await engines.order(backend, OpenGroup("g", 1), fence=1)
        case "a second order":
            return await engines.order(backend, LeaveGroup("g", 1), fence=1)
        case "a report":
            return await engines.report(backend)
        case "a health check":
            return await engines.is_leaving(backend, "/health")
    raise ValueError(call)


@when("five objects are read from it")
def when_read(context):
    async def read(address, client):
        transport = ObjectTransport(client, address)
        results = []
        for number in range(5):
            try:
                stored = await transport.call(Get("things", f"n{number}"), timeout_s=1)
                results.append((f"n{number}", stored.name))
            except StoreAnswerLost:
                results.append((f"n{number}", None))
            await asyncio.sleep(IDLE_S)
        return results

    context.results = asyncio.run(run_against(context, read))


async def run_against(context, send):
    """Return the result of ``send(address, client)`` while the server runs."""
    server = await asyncio.start_server(context.server.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = HttpClient()
    try:
        return await send(f"{host}:{port}", client)
    finally:
        context.connections_opened = client.connections_opened
        client.close()
        server.close()
        # Lets the server close its connections before the loop ends.
        await asyncio.sleep(COPY_DELAY_S)


@then("the second call got its own answer")
def then_own(context):
    match context.second, context.result:
        case ("a second order", OrderConflict(409, _)) | ("a health check", True):
            return
        case "a report", Backend():
            return
    raise AssertionError(context.result)


@then("{count:d} or more reads got their own object, and none another one")
def then_objects(context, count):
    own = [name for name, got in context.results if got == name]
    others = [pair for pair in context.results if pair[1] not in (None, pair[0])]
    assert len(own) >= count and not others, context.results


@then("one connection was opened")
def then_one_connection(context):
    assert context.connections_opened == 1, context.connections_opened
