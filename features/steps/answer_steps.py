"""Steps for answers of faulty backend servers, over sockets and through a daemon."""

import asyncio

import logbook
from behave import given, then, when

from features.steps.platform_steps import start_request
from pimentogap.errors import ResponseLost
from pimentogap.forwarding._events import EventFilter
from pimentogap.forwarding._outcomes import Lost
from pimentogap.forwarding._receiver import AnswerReceiver
from pimentogap.kernel import Clock
from pimentogap.placement import BackendLoad, ModelLatency
from pimentogap.platform import PlatformHeaders
from pimentogap.types import RequestNeeds
from pimentogap.web import BackendPool
from standins._network import AbandonConnection

SEAL = "X-Pimentogap-Replica-Seal: s\r\n"
NOT_RUN = "X-Pimentogap-Not-Executed: 1\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
EVENT_INTERVAL_S = 0.3
LONG_BODY_BYTES = 2 * 2**20
CHUNK_BYTES = 2**16
COPY_DELAY_S = 0.02
IDLE_S = 0.1


def id_line(attempt_id):
    return f"X-Pimentogap-Attempt-Id: {attempt_id}\r\n"


def success(attempt_id):
    """Return a complete answer to an attempt."""
    head = f"HTTP/1.1 200 OK\r\n{id_line(attempt_id)}{SEAL}"
    return f"{head}Content-Length: 2\r\n\r\nok"


def refusal(attempt_id):
    """Return a complete refusal of an attempt; without an id if it is empty."""
    line = id_line(attempt_id) if attempt_id else ""
    return f"HTTP/1.1 503 Busy\r\n{line}{NOT_RUN}Content-Length: 0\r\n\r\n"


def failure(attempt_id):
    """Return a complete failure of an attempt that ran."""
    return f"HTTP/1.1 500 -\r\n{id_line(attempt_id)}{SEAL}Content-Length: 3\r\n\r\nbad"


SURPLUS_BY_NAME = {
    "a copy of the answer": success,
    "a copy of it without an id": lambda id_: success(id_).replace(id_line(id_), ""),
    "half of a copy": lambda id_: success(id_)[:40],
    "bytes that are no answer": lambda id_: "no answer",
}
OWN_HEAD = f"HTTP/1.1 200 OK\r\n{id_line('a1')}{SEAL}"
SECOND_BY_FAULT = {
    "repeats an earlier refusal before the answer": refusal("a0") + success("a2"),
    "repeats an earlier refusal and closes": refusal("a0"),
    "repeats an earlier refusal without an id": refusal(""),
    "repeats an earlier refusal before its own refusal": refusal("a0") + refusal("a2"),
}
BEGIN_BY_PLACE = {
    "the status line": "HTTP/1.1 20",
    "a header's name": OWN_HEAD + "Content-Le",
    "a header's value": OWN_HEAD + "Content-Length: 1",
    "the line end after the last header": OWN_HEAD + "Content-Length: 2\r\n\r",
    "a body with a length": OWN_HEAD + "Content-Length: 9\r\n\r\nid: 1",
    "a chunk": OWN_HEAD + CHUNKED + "\r\n20\r\nid: 1\n",
    "the line before the last chunk": OWN_HEAD + CHUNKED + "\r\n2\r\nok\r\n",
    "an event of a stream without a length": OWN_HEAD + "\r\nid: 1\ndata: x",
    "a stream without a length or any event": OWN_HEAD + "\r\n",
}


class RecordedCall:
    """A caller's request, which records the answer that it gets and when."""

    __slots__ = ("needs", "response", "begun", "body", "times")

    def __init__(self, attempt_id):
        self.needs = RequestNeeds(attempt_id=attempt_id)
        self.response = self
        self.begun = False
        self.body = b""
        self.times = []

    def begin(self, status, headers):
        self.begun = True

    def send(self, chunk):
        self.body += chunk

    async def write(self, chunk):
        self.times.append(asyncio.get_running_loop().time())
        self.body += chunk

    def finish(self):
        """Accept the end of the answer."""


@given("a server that {does} on a kept connection")
def given_repeating(context, does):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(success("a1").encode())
        await reader.readuntil(b"\r\n\r\n")
        writer.write(SECOND_BY_FAULT[does].encode())
        await writer.drain()
        writer.close()

    context.serve = serve


@given(
    "a server that succeeds once, writes that success once more {when}, and fails then"
)
def given_repeating_success(context, when):
    context.idle_s = IDLE_S
    served = []

    async def serve(reader, writer):
        is_reused = False
        while await read_head(reader):
            served.append(writer)
            if len(served) > 1:
                if when == "before the next answer" and is_reused:
                    writer.write(success("a1").encode())
                writer.write(failure("a1").encode())
                continue
            is_reused = True
            writer.write(success("a1").encode())
            if when != "before the next answer":
                await asyncio.sleep(COPY_DELAY_S if when == "soon after" else 0)
                writer.write(success("a1").encode())
        writer.close()

    context.serve = serve


@given("a server that answers each request once")
def given_sound(context):
    context.serve = serve_each(lambda attempt_id: "")


@given("a server that answers each request and then sends {what}")
def given_adding(context, what):
    context.idle_s = IDLE_S
    context.serve = serve_each(SURPLUS_BY_NAME[what])


async def read_head(reader):
    """Return the head of the next request, empty when the connection has ended."""
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return b""


def serve_each(surplus):
    """Return a handler that answers every request and adds ``surplus(attempt_id)``."""

    async def serve(reader, writer):
        while head := await read_head(reader):
            attempt_id = head.decode().partition(" /")[2].partition(" ")[0]
            writer.write(success(attempt_id).encode())
            await asyncio.sleep(0)
            writer.write(surplus(attempt_id).encode())
        writer.close()

    return serve


@given("a server that refuses without an id on a new connection")
def given_refusing(context):
    context.serve = serve_once(refusal(""))


@given('a server whose answer has the header "{header}"')
def given_odd_header(context, header):
    line = header.replace("4,400 digits", "1" * 4400)
    head = f"HTTP/1.1 200 OK\r\n{id_line('a1')}{SEAL}{line}\r\n"
    context.serve = serve_once(f"{head}Content-Length: 2\r\n\r\nok")


@given("a server that closes the connection in {place}")
def given_breaking(context, place):
    context.is_stream = "stream" in place
    context.serve = serve_once(BEGIN_BY_PLACE[place])


@given(
    "a server that sends a stream of {count:d} events without a length,"
    " one each {interval:g} seconds"
)
def given_unframed(context, count, interval):
    context.is_stream = True
    context.sent_times = []

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"{OWN_HEAD}\r\n".encode())
        for number in range(1, count + 1):
            await asyncio.sleep(interval)
            context.sent_times.append(asyncio.get_running_loop().time())
            writer.write(f"id: {number}\ndata: x\n\n".encode())
        await writer.drain()
        writer.close()

    context.serve = serve


def serve_once(text):
    """Return a handler that answers one request with ``text`` and closes."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(text.encode("latin-1"))
        await writer.drain()
        writer.close()

    return serve


@when("one attempt is made")
def when_attempted(context):
    asyncio.run(make_attempts(context, ["a1"]))


@when("two attempts are made, the second on the kept connection")
def when_two_attempted(context):
    asyncio.run(make_attempts(context, ["a1", "a2"]))


@when("two attempts with the same id are made, one after the other")
def when_same_id(context):
    asyncio.run(make_attempts(context, ["a1", "a1"]))


@when("{count:d} attempts with different ids are made, one after the other")
def when_many(context, count):
    asyncio.run(make_attempts(context, [f"a{n}" for n in range(count)]))


@when("two attempts with different ids are made, one after the other")
def when_different(context):
    asyncio.run(make_attempts(context, ["a1", "a2"]))


async def make_attempts(context, ids):
    server = await asyncio.start_server(context.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    pool = BackendPool()
    context.calls = [RecordedCall(attempt_id) for attempt_id in ids]
    context.outcomes = []
    with logbook.TestHandler().contextbound() as logged:
        for call in context.calls:
            context.outcomes.append(
                await attempt(context, pool, f"{host}:{port}", call)
            )
            await asyncio.sleep(getattr(context, "idle_s", 0))
    context.events = [record.message for record in logged.records]
    context.connections_opened = pool.connections_opened
    context.idle_count = pool.idle_count
    pool.close()
    server.close()
    # Lets the server close its connections before the loop ends.
    await asyncio.sleep(COPY_DELAY_S)


async def attempt(context, pool, address, call):
    event_filter = EventFilter() if getattr(context, "is_stream", False) else None
    receiver = AnswerReceiver(
        call,
        BackendLoad("b", 1),
        ModelLatency(),
        PlatformHeaders(),
        Clock(),
        event_filter,
        lambda answer: None,
    )
    try:
        async with asyncio.timeout(3.0):
            await pool.exchange(
                address,
                "POST",
                f"/{call.needs.attempt_id}",
                [("Host", "x")],
                b"",
                receiver,
                fresh=False,
                connect_s=1.0,
            )
        return receiver.conclude()
    except ResponseLost as error:
        return Lost(str(error))


@then("the first outcome is {first} and the second is {second}")
def then_outcomes(context, first, second):
    names = [type(outcome).__name__ for outcome in context.outcomes]
    assert names == [first, second], context.outcomes
    assert context.connections_opened == 1, context.connections_opened


@then("the outcomes are {first} and {second}, each on a connection of its own")
def then_own_connections(context, first, second):
    names = [type(outcome).__name__ for outcome in context.outcomes]
    assert names == [first, second], context.outcomes
    assert context.connections_opened == 2, context.connections_opened


@then("the surplus bytes of each are logged at most once, and those of the first are")
def then_logged(context):
    count = context.events.count("surplus bytes on connection")
    # The connection of the second is not looked at again after its answer.
    assert 1 <= count <= 2, context.events


@then("all were delivered on {count:d} connections")
def then_all_delivered(context, count):
    names = {type(outcome).__name__ for outcome in context.outcomes}
    assert names == {"Delivered"}, context.outcomes
    assert context.connections_opened == count, context.connections_opened


@then("the outcome is {name}")
def then_outcome(context, name):
    (outcome,) = context.outcomes
    assert type(outcome).__name__ == name, outcome


@then("the caller got nothing")
def then_nothing(context):
    (call,) = context.calls
    assert not call.begun and not call.body, call.body


@then("the caller got each event within {seconds:g} seconds after it was sent")
def then_prompt(context, seconds):
    (call,) = context.calls
    delays = [b - a for a, b in zip(context.sent_times, call.times, strict=True)]
    assert max(delays) <= seconds, delays


@then("no connection is kept")
def then_none_kept(context):
    assert context.idle_count == 0, context.idle_count


class ScriptedServer:
    """Answers the first request that any server of the script gets, and the others."""

    __slots__ = ("server", "script")
    is_silent = False
    is_down = False

    def __init__(self, server, script):
        self.server = server
        self.script = script

    async def handle(self, request, reply, source=""):
        """Answer reports and orders as the server does, requests by the script."""
        if request.path.startswith("/api/"):
            await self.server.handle(request, reply, source)
            return
        self.script.requests.append(request)
        attempt_id = dict(request.headers)["X-Pimentogap-Attempt-Id"]
        if len(self.script.requests) == 1:
            await self.script.begin(reply, attempt_id)
        else:
            await self.script.go_on(reply, attempt_id)


class Script:
    """What the first server of a request does, and what the next one does."""

    __slots__ = ("begin", "go_on", "requests")

    def __init__(self, begin, go_on):
        self.begin = begin
        self.go_on = go_on
        self.requests = []


def follow_script(context, servers, begin, go_on):
    context.script = Script(begin, go_on)
    network = context.simulation.fleet.network
    for server in servers:
        network.handlers_by_address[server.address] = ScriptedServer(
            server, context.script
        )


def headers_of(attempt_id, **more):
    return {
        "X-Pimentogap-Attempt-Id": attempt_id,
        "X-Pimentogap-Replica-Seal": "s",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }


@given(
    "a stream that breaks off after {count:d} events,"
    " and a next server that answers {what}"
)
def given_broken_stream(context, count, what):
    context.execute_steps(
        """
        Given a platform with 3 fabric domains of 8 replicas and 1 daemons
        And its groups are open
        """
    )

    async def begin(reply, attempt_id):
        reply.start(200, headers_of(attempt_id))
        for number in range(1, count + 1):
            await reply.data(f"id: {number}\ndata: x\n\n".encode())
        await reply.data(b"id: 3\nda")
        raise AbandonConnection

    heads = context.simulation.fleet.open_group_heads("large")
    follow_script(context, heads, begin, NEXT_BY_NAME[what])


async def fail_sealed(reply, attempt_id):
    reply.start(500, headers_of(attempt_id, Content_Length="5"))
    await reply.data(b"error")


async def fail_unsealed(reply, attempt_id):
    reply.start(500, {"X-Pimentogap-Attempt-Id": attempt_id})
    await reply.data(b"error")


async def refuse(reply, attempt_id):
    not_run = headers_of(attempt_id, X_Pimentogap_Not_Executed="1")
    reply.start(503, not_run)
    await reply.data(b"busy")


async def succeed_plainly(reply, attempt_id):
    reply.start(200, headers_of(attempt_id))
    await reply.data(b"plain text")


async def fail_endlessly(reply, attempt_id):
    reply.start(500, headers_of(attempt_id))
    while True:
        await reply.data(b"x" * CHUNK_BYTES)
        await asyncio.sleep(0.001)


NEXT_BY_NAME = {
    "an error with a seal": fail_sealed,
    "an error without a seal": fail_unsealed,
    "a refusal": refuse,
    "a plain success without events": succeed_plainly,
    "an error with a body without end": fail_endlessly,
}


@given("an answer of 2 MB that breaks off halfway, and a next server that is sound")
def given_long_answer(context):
    context.execute_steps(
        """
        Given a platform with 1 fabric domains of 8 replicas and 1 daemons
        And its groups are open
        """
    )

    async def write_long(reply, attempt_id, size):
        reply.start(200, headers_of(attempt_id, Content_Length=str(LONG_BODY_BYTES)))
        for _ in range(size // CHUNK_BYTES):
            await reply.data(b"x" * CHUNK_BYTES)

    async def begin(reply, attempt_id):
        await write_long(reply, attempt_id, LONG_BODY_BYTES * 3 // 4)
        raise AbandonConnection

    async def go_on(reply, attempt_id):
        await write_long(reply, attempt_id, LONG_BODY_BYTES)

    servers = context.simulation.fleet.plain_replicas_by_id.values()
    follow_script(context, servers, begin, go_on)


@when("the stream is requested through a daemon")
def when_stream(context):
    context.request = start_request(context, "POST", "/draft/x")
    context.simulation.wait(8.5)


@when("the look-up is requested through a daemon")
def when_lookup(context):
    context.request = start_request(context, "GET", "/look/x")
    context.simulation.wait(3.0)


@then(
    "the caller got {count:d} events and then the end of the connection,"
    " and nothing else"
)
def then_broken(context, count):
    response = context.request.response
    assert len(context.script.requests) > 1, "the stream was not sent again"
    assert response.aborted and not response.is_finished
    expected = "".join(f"id: {n}\ndata: x\n\n" for n in range(1, count + 1))
    assert response.body == expected.encode(), response.body


@then("the caller got one head, less than 2 MB and then the end of the connection")
def then_long_broken(context):
    response = context.request.response
    assert response.heads == 1, response.heads
    assert len(response.body) < LONG_BODY_BYTES, len(response.body)
    assert response.aborted and not response.is_finished
