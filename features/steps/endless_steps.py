"""Steps for servers that send bytes without end, over loopback sockets."""

import asyncio
import time
import tracemalloc

from behave import given, then, when

from pimentogap.errors import ResponseLost
from pimentogap.forwarding._events import EventFilter
from pimentogap.forwarding._receiver import AnswerReceiver
from pimentogap.kernel import Clock
from pimentogap.placement import BackendLoad, ModelLatency
from pimentogap.platform import PlatformHeaders
from pimentogap.types import RequestNeeds
from pimentogap.web import BackendPool

ATTEMPT_ID = "a1"
LIMIT_S = 3.0
PART = b"x" * 4096
OK = b"HTTP/1.1 200 OK\r\n"
OWN = f"X-Pimentogap-Attempt-Id: {ATTEMPT_ID}\r\n".encode()
SEAL = b"X-Pimentogap-Replica-Seal: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
BEGIN_AND_PART_BY_PLACE = {
    "a status line": (b"HTTP/1.1 200 ", PART),
    "one header": (OK + b"Long: ", PART),
    "headers": (OK, b"Name: value\r\n" * 300),
    "informational answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    "a body without length": (OK + OWN + b"\r\n", PART),
    "a body of another request": (
        OK + b"X-Pimentogap-Attempt-Id: another\r\n" + SEAL + b"\r\n",
        PART,
    ),
    "a chunk size": (OK + OWN + SEAL + CHUNKED + b"\r\n", b"0" * 4096),
    "an event": (
        OK + OWN + SEAL + CHUNKED + b"\r\n",
        b"1000\r\n" + b"x" * 4096 + b"\r\n",
    ),
    "trailers": (OK + OWN + SEAL + CHUNKED + b"\r\n0\r\n", b"Name: value\r\n" * 300),
}


class StreamRequest:
    """The request of the attempt, with the part of a response that it needs."""

    __slots__ = ("needs", "response", "begun")

    def __init__(self):
        self.needs = RequestNeeds(attempt_id=ATTEMPT_ID)
        self.response = self
        self.begun = False

    def begin(self, status, headers):
        self.begun = True

    def send(self, chunk):
        """Discard a part of the answer."""

    async def write(self, chunk):
        """Discard a part of the answer."""

    def finish(self):
        """Accept the end of the answer."""


@given("a server that sends bytes without end in {place}")
def given_endless(context, place):
    context.begin, context.part = BEGIN_AND_PART_BY_PLACE[place]
    context.was_closed = False

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(context.begin)
        try:
            while True:
                writer.write(context.part)
                await writer.drain()
                # The client shares this event loop.
                await asyncio.sleep(0.0005)
        except ConnectionError:
            context.was_closed = True

    context.serve_endless = serve


@given("a sound server")
def given_sound(context):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        body = OK + OWN + SEAL + b"Content-Length: 2\r\nConnection: close\r\n\r\nok"
        writer.write(body)
        await writer.drain()
        writer.close()

    context.serve_sound = serve


@when("an attempt is made at the first server, and look-ups at the sound one meanwhile")
def when_attempted(context):
    asyncio.run(attempt_both(context))


async def attempt_both(context):
    endless, sound = [
        await asyncio.start_server(serve, "127.0.0.1", 0)
        for serve in (context.serve_endless, context.serve_sound)
    ]
    pool = BackendPool()
    context.lookup_times = []
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    began = time.monotonic()
    attempt = asyncio.ensure_future(exchange(pool, endless, EventFilter()))
    while not attempt.done() and time.monotonic() - began < LIMIT_S:
        lookup_began = time.monotonic()
        await exchange(pool, sound, None)
        context.lookup_times.append(time.monotonic() - lookup_began)
        await asyncio.sleep(0.01)
    context.took_s = time.monotonic() - began
    context.outcome = attempt.exception() if attempt.done() else "not ended"
    attempt.cancel()
    await asyncio.wait({attempt})
    context.grown_bytes = tracemalloc.get_traced_memory()[1] - before
    tracemalloc.stop()
    # The server notices the end of the connection at one of its next writes.
    await asyncio.sleep(0.2)
    pool.close()
    for server in (endless, sound):
        server.close()


async def exchange(pool, server, event_filter):
    host, port = server.sockets[0].getsockname()
    address = f"{host}:{port}"
    receiver = AnswerReceiver(
        StreamRequest(),
        BackendLoad("b", 1),
        ModelLatency(),
        PlatformHeaders(),
        Clock(),
        event_filter,
        lambda answer: None,
    )
    await pool.exchange(
        address, "GET", "/", [("Host", "x")], b"", receiver, fresh=False, connect_s=1.0
    )
    return receiver.conclude()


@then("the attempt is lost within {seconds:g} seconds")
def then_lost(context, seconds):
    assert isinstance(context.outcome, ResponseLost), repr(context.outcome)
    assert context.took_s <= seconds, context.took_s


@then("the process needed less than {megabytes:d} MB more for it")
def then_memory(context, megabytes):
    assert context.grown_bytes < megabytes * 2**20, context.grown_bytes


@then("no look-up took longer than {seconds:g} seconds")
def then_lookups(context, seconds):
    assert max(context.lookup_times) <= seconds, max(context.lookup_times)


@then("the connection to the first server is closed")
def then_closed(context):
    assert context.was_closed
