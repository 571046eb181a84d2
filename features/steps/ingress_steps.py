"""Steps for the front end for callers, over loopback sockets."""

import asyncio
import socket
from dataclasses import replace

from behave import given, then, when

from features.steps.connection_steps import AnswerReceiver
from pimentogap.ingress import IngressService
from pimentogap.intake import IntakeService
from pimentogap.kernel import Kernel
from pimentogap.metrics import MetricService
from pimentogap.platform import PlatformHeaders
from pimentogap.settings import FrontSettings
from pimentogap.types import CallerLimits, ServingConfiguration
from pimentogap.web import BackendPool

HOST = "127.0.0.1"
PAUSE_S = 0.1
HEAD = "POST /look/a%20b?x=1 HTTP/1.1\r\nHost: x\r\nX-Pimentogap-Attempt-Id: a1\r\n"
REQUESTS_BY_NAME = {
    "headers that are too large": HEAD + "Big: " + "x" * 3000 + "\r\n\r\n",
    "a body that is too large": HEAD + "Content-Length: 2000\r\n\r\n" + "x" * 2000,
    "a body far over the limit": HEAD
    + "Content-Length: 3000000\r\n\r\n"
    + "x" * 3_000_000,
    "chunks far over the limit": HEAD
    + "Transfer-Encoding: chunked\r\n\r\n"
    + ("800\r\n" + "x" * 2048 + "\r\n") * 1500,
    "a chunk far over the limit": HEAD
    + "Transfer-Encoding: chunked\r\n\r\n40000000\r\n"
    + "x" * 3_000_000,
    "a length of 30 digits": HEAD + f"Content-Length: {'9' * 30}\r\n\r\nx",
    "a length that is repeated": HEAD
    + "Content-Length: 3000000, 3000000\r\n\r\n"
    + "x" * 3_000_000,
    "two different lengths": HEAD + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
    "a length and chunks": HEAD
    + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a length of superscript digits": HEAD + "Content-Length: \u00b2\r\n\r\nxx",
    "a path that is not UTF-8": "GET /look/\u00e9 HTTP/1.1\r\nHost: x\r\n\r\n",
    "no Host header": "GET / HTTP/1.1\r\n\r\n",
    "a chunked body": HEAD
    + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
}


class Stub:
    """Stands in for any service of the kernel that the front end uses."""

    __slots__ = (
        "name",
        "current",
        "loaded",
        "in_flight",
        "requests",
        "may_answer",
        "ended",
        "error",
    )
    requires = ()

    def __init__(self, name, limits=None):
        self.name = name
        self.current = ServingConfiguration(
            version=1,
            routes=(),
            services_by_name={},
            limits=limits or CallerLimits(),
        )
        self.loaded = True
        self.in_flight = 0
        self.requests = []
        self.may_answer = asyncio.Event()
        self.ended = []
        self.error = None

    async def start(self, kernel):
        self.may_answer.set()

    async def stop(self):
        return None

    def prepare_stop(self, ends_at, *, refuse_long_at):
        """Do nothing; the scenario decides when requests are answered."""

    async def serve(self, request):
        """Answer once ``may_answer`` is set, and record if the request is cancelled."""
        if self.error is not None:
            raise self.error
        self.requests.append(request)
        try:
            await self.may_answer.wait()
        except asyncio.CancelledError:
            self.ended.append("cancelled")
            raise
        request.response.begin(200, [("Content-Length", "2")])
        request.response.send(b"ok")
        request.response.finish()


class FrontEnd:
    """An ingress on free ports, with stubs for the services that it uses."""

    __slots__ = ("settings", "ingress", "forwarding", "kernel", "limits")

    def __init__(self):
        self.limits = CallerLimits(max_header_bytes=2000, max_body_bytes=1000)

    async def start(self):
        """Start the ingress and its stubs."""
        ports = [free_port() for _ in range(3)]
        self.settings = FrontSettings(
            id="f",
            availability_zone="z",
            ip=HOST,
            caller_address=f"{HOST}:{ports[0]}",
            readiness_address=f"{HOST}:{ports[1]}",
            store_address="",
            metrics_port=ports[2],
            grace_s=1.5,
        )
        self.kernel = Kernel()
        self.forwarding = Stub("forwarding")
        self.ingress = IngressService(self.settings, PlatformHeaders())
        for service in (
            self.forwarding,
            Stub("serving_configuration", self.limits),
            Stub("directory"),
            Stub("quarantine"),
            Stub("evacuations"),
            MetricService(),
            IntakeService(self.settings),
            self.ingress,
        ):
            self.kernel.register(service)
        await self.kernel.start()

    def allow(self, **limits):
        """Replace some of the small limits."""
        serving = self.kernel.get("serving_configuration")
        newer = replace(serving.current.limits, **limits)
        serving.current = replace(serving.current, limits=newer)

    async def connect(self):
        """Connect as a caller and return the reader and the writer."""
        port = int(self.settings.caller_address.rpartition(":")[2])
        return await asyncio.open_connection(HOST, port)


def free_port():
    """Return a port on which no server listens now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


@given("a front end with small limits")
def given_front_end(context):
    context.front_end = FrontEnd()


@when("the front end receives {what}")
def when_request_received(context, what):
    async def exchange():
        await context.front_end.start()
        reader, writer = await context.front_end.connect()
        writer.write(REQUESTS_BY_NAME[what].encode("latin-1"))
        if what == "a chunked body":
            context.answer = await reader.readuntil(b"ok")
        else:
            async with asyncio.timeout(5):
                context.answer = await reader.read()
        writer.close()

    asyncio.run(exchange())


@when('a caller resumes a stream after the event "{id_}"')
def when_resuming_request_received(context, id_):
    async def exchange():
        front_end = context.front_end
        await front_end.start()
        reader, writer = await front_end.connect()
        count, _, unit = id_.partition(" ")
        text = "1" * int(count.replace(",", "")) if unit == "digits" else id_
        context.last_id = text
        head = f"GET /x HTTP/1.1\r\nHost: x\r\nLast-Event-Id: {text}\r\n\r\n"
        writer.write(head.encode("latin-1"))
        async with asyncio.timeout(5):
            context.answer = await reader.readuntil(b"ok")
        writer.close()

    context.front_end.limits = CallerLimits(max_header_bytes=8000)
    asyncio.run(exchange())


@when("a request comes in while forwarding raises an error")
def when_forwarding_fails(context):
    async def exchange():
        front_end = context.front_end
        await front_end.start()
        front_end.forwarding.error = RuntimeError("unforeseen")
        reader, writer = await front_end.connect()
        writer.write(HEAD.encode() + b"Content-Length: 0\r\n\r\n")
        async with asyncio.timeout(5):
            context.answer = await reader.read()
        writer.close()

    asyncio.run(exchange())


@when('"{text}" comes in as the {field} of a request')
def when_text_sent(context, text, field):
    fields = {"host": "x", "key": "k", "model": "m", field: text}
    lines = [
        "GET /x HTTP/1.1",
        f"Host: {fields['host']}",
        f"Authorization: Bearer {fields['key']}",
        f"X-Pimentogap-Model: {fields['model']}",
    ]

    async def exchange():
        await context.front_end.start()
        reader, writer = await context.front_end.connect()
        writer.write("\r\n".join([*lines, "", ""]).encode())
        async with asyncio.timeout(5):
            context.answer = await reader.readuntil(b"ok")
        writer.close()

    asyncio.run(exchange())


@then('the request is passed on with "{text}" as its {field}')
def then_text_read(context, text, field):
    (request,) = context.front_end.forwarding.requests
    holder = request if field == "host" else request.needs
    assert getattr(holder, field) == text, getattr(holder, field)


@when("HEAD comes in twice on one connection")
def when_head_sent(context):
    async def exchange():
        await context.front_end.start()
        reader, writer = await context.front_end.connect()
        context.heads = []
        async with asyncio.timeout(5):
            for _ in range(2):
                writer.write(b"HEAD /x HTTP/1.1\r\nHost: x\r\n\r\n")
                context.heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.close()
        context.rest = await reader.read()

    asyncio.run(exchange())


@then("each is answered with 200, a length of 2 and no body")
def then_heads(context):
    for head in context.heads:
        assert head.startswith(b"HTTP/1.1 200 ") and b"Content-Length: 2" in head, head
    assert context.rest == b"", context.rest


@when("a caller disconnects before it gets an answer")
def when_caller_disconnects(context):
    async def exchange():
        await context.front_end.start()
        context.front_end.forwarding.may_answer.clear()
        _, writer = await context.front_end.connect()
        writer.write(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(PAUSE_S)
        writer.close()
        await asyncio.sleep(PAUSE_S)
        context.ended = list(context.front_end.forwarding.ended)

    asyncio.run(exchange())


@when("the front end stops while a caller waits")
def when_front_end_stops(context):
    async def exchange():
        front_end = context.front_end
        await front_end.start()
        front_end.forwarding.may_answer.clear()
        reader, writer = await front_end.connect()
        writer.write(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(PAUSE_S)
        stopping = asyncio.ensure_future(front_end.ingress.stop())
        await asyncio.sleep(PAUSE_S)
        context.ready = front_end.ingress.is_ready()
        front_end.forwarding.may_answer.set()
        context.answer = await reader.readuntil(b"ok")
        writer.close()
        await stopping

    asyncio.run(exchange())


@then("the caller gets {status:d} and the connection is closed")
def then_refused(context, status):
    assert context.answer.startswith(f"HTTP/1.1 {status} ".encode()), context.answer
    assert not context.front_end.forwarding.requests


@then('the request has the path "{path}" and the body "{body}"')
def then_request(context, path, body):
    (request,) = context.front_end.forwarding.requests
    assert (request.path, request.body) == (path, body.encode()), request.path


@when('a request for "{path}" comes in and is sent to a server')
def when_passed_on(context, path):
    context.path = path.encode().decode("unicode_escape").encode("latin-1")
    context.received = []

    async def answer(reader, writer):
        context.received.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()

    async def exchange():
        await context.front_end.start()
        reader, writer = await context.front_end.connect()
        writer.write(b"GET " + context.path + b" HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readuntil(b"ok")
        writer.close()
        (request,) = context.front_end.forwarding.requests
        server = await asyncio.start_server(answer, HOST, 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        await BackendPool().exchange(
            address,
            request.method,
            request.path,
            [("Host", "x")],
            b"",
            AnswerReceiver("a1"),
            fresh=True,
            connect_s=1.0,
        )
        server.close()

    asyncio.run(exchange())


@then("the server gets the path as it came")
def then_same_path(context):
    (head,) = context.received
    assert head.startswith(b"GET " + context.path + b" HTTP/1.1\r\n"), head


@when("a connection is closed just after its request has been read")
def when_connection_closed(context):
    async def exchange():
        front_end = context.front_end
        await front_end.start()
        _, writer = await front_end.connect()
        await asyncio.sleep(PAUSE_S)
        writer.write(b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n")
        (stream,) = front_end.ingress._open_streams
        # Reads the bytes into the stream's buffer before the stream's reader runs.
        while not stream._read_buffer:
            stream._read_to_buffer()
        stream.close()
        await asyncio.sleep(PAUSE_S)
        writer.close()

    asyncio.run(exchange())


@then("the request is passed on as one that resumes after {known}")
def then_resumes(context, known):
    (request,) = context.front_end.forwarding.requests
    assert known == "itself"
    assert request.needs.last_event_id == context.last_id, request.needs.last_event_id


@then("the request was not passed on")
def then_not_passed_on(context):
    assert not context.front_end.forwarding.requests


@then("the request was cancelled")
def then_cancelled(context):
    assert context.ended == ["cancelled"], context.ended


@then(
    "the front end was not ready,"
    " and the answer asked the caller to close the connection"
)
def then_asked_to_close(context):
    assert context.ready is False
    assert b"Connection: close" in context.answer, context.answer
