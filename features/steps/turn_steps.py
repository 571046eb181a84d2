"""Steps for peers that send without pause, and for streams without progress."""

import asyncio
import itertools
import socket
import threading
import time

from behave import given, then, when
from tornado.httputil import HTTPHeaders

from features.steps.endless_steps import (
    ATTEMPT_ID,
    CHUNKED,
    OK,
    OWN,
    SEAL,
    StreamRequest,
)
from features.steps.ingress_steps import HOST, FrontEnd
from pimentogap.errors import ResponseLost
from pimentogap.forwarding._events import EventFilter
from pimentogap.forwarding._receiver import AnswerReceiver
from pimentogap.kernel import Clock
from pimentogap.metrics import LoopHolds, MetricService, measured_event_loop
from pimentogap.placement import BackendLoad, ModelLatency
from pimentogap.platform import PlatformHeaders
from pimentogap.types import HttpRequest
from pimentogap.web import BackendPool, HttpClient
from standins.paused import run_paused

OTHER = b"X-Pimentogap-Attempt-Id: another\r\n"
STREAM = OK + OWN + SEAL + CHUNKED + b"\r\n"
DELIVERED_ID = 7
MAX_BODY_BYTES = 2**22
BYTE_PARTS = b"1\r\nx\r\n" * 10_000


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def _new_events(first):
    events = (b"id: %d\ndata: x\n\n" % n for n in range(first, first + 5000))
    return _chunk(b"".join(events))


# The head, and a function that returns the part with a number.
SENT_BY_KIND = {
    "comments": (STREAM, lambda n: _chunk(b":\n\n" * 20_000)),
    "empty events": (STREAM, lambda n: _chunk(b"\n\n" * 20_000)),
    "events without data": (STREAM, lambda n: _chunk(b"event: a\n\n" * 6000)),
    "events that were delivered before": (
        STREAM,
        lambda n: _chunk(b"id: 5\ndata: x\n\n" * 5000),
    ),
    "new events": (STREAM, lambda n: _new_events(DELIVERED_ID + 1 + n * 5000)),
    "an event in parts of one byte": (STREAM, lambda n: BYTE_PARTS),
    "a plain answer in parts of one byte": (STREAM, lambda n: BYTE_PARTS),
    "another answer in parts of one byte": (
        OK + OTHER + SEAL + CHUNKED + b"\r\n",
        lambda n: BYTE_PARTS,
    ),
    "informational answers": (b"", lambda n: b"HTTP/1.1 103 Early\r\n\r\n" * 5000),
}


def _send_without_pause(connection, begin, part):
    """Send ``begin`` and then parts by number until the other side closes."""
    try:
        connection.sendall(begin)
        for number in itertools.count():
            connection.sendall(part(number))
    except ConnectionError:
        pass
    finally:
        connection.close()


class _SendingServer(threading.Thread):
    """A server in a thread of its own, which does not hold the caller's event loop."""

    def __init__(self, begin, part):
        super().__init__(daemon=True)
        self._sent = begin, part
        self._socket = socket.create_server((HOST, 0))
        self.address = "{}:{}".format(*self._socket.getsockname())

    def run(self):
        connection, _ = self._socket.accept()
        connection.recv(4096)
        _send_without_pause(connection, *self._sent)
        self._socket.close()


def run_measured(context, main):
    """Run ``main`` and keep the `LoopHolds` of its event loop, in processor time."""
    context.holds = LoopHolds()

    def new_loop():
        return measured_event_loop(context.holds, clock=time.thread_time)

    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(main)


def _receiver(event_filter, clock, request=None):
    return AnswerReceiver(
        request or StreamRequest(),
        BackendLoad("b", 1),
        ModelLatency(),
        PlatformHeaders(),
        clock,
        event_filter,
        lambda answer: None,
    )


@given("a backend server that sends {kind} as fast as it can")
def given_sender(context, kind):
    context.is_plain = kind.startswith("a plain answer")
    context.server = _SendingServer(*SENT_BY_KIND[kind])
    context.server.start()
    context.add_cleanup(context.server.join)


async def _ended_within(seconds, work):
    """Return what ``work`` raised within ``seconds``, or ``None`` if it goes on."""
    task = asyncio.ensure_future(work)
    await asyncio.wait({task}, timeout=seconds)
    if task.done():
        return task.exception()
    task.cancel()
    await asyncio.wait({task})
    assert task.cancelled(), repr(task.exception())
    return None


@when("an attempt is made there, for {seconds:g} second at most")
def when_attempted(context, seconds):
    event_filter = None if context.is_plain else EventFilter(str(DELIVERED_ID))

    async def attempt():
        pool = BackendPool()
        headers = [("Host", "x")]
        work = pool.exchange(
            context.server.address,
            "GET",
            "/",
            headers,
            b"",
            _receiver(event_filter, Clock()),
            fresh=True,
            connect_s=1.0,
        )
        return await _ended_within(seconds, work)

    context.error = run_measured(context, attempt())


@when("a document is read there, for {seconds:g} second at most")
def when_document_read(context, seconds):
    async def read():
        request = HttpRequest("GET", "/", {"Host": "x"}, b"")
        work = HttpClient().fetch(context.server.address, request, timeout_s=seconds)
        return await _ended_within(2 * seconds, work)

    run_measured(context, read())


@given("a listening daemon")
def given_listening(context):
    context.front_end = FrontEnd()


@when(
    "the body of a request arrives in parts of one byte, for {seconds:g} second at most"
)
def when_caller_sends(context, seconds):
    front_end = context.front_end

    begin = b"POST / HTTP/1.1\r\nHost: x\r\n" + CHUNKED + b"\r\n"

    async def listen():
        await front_end.start()
        front_end.allow(max_body_bytes=MAX_BODY_BYTES)
        host, _, port = front_end.settings.caller_address.rpartition(":")
        connection = socket.create_connection((host, int(port)))
        args = (connection, begin, lambda number: BYTE_PARTS)
        threading.Thread(target=_send_without_pause, args=args, daemon=True).start()
        await asyncio.sleep(seconds)
        await front_end.kernel.stop()

    run_measured(context, listen())


@then("the event loop was held for no more than {milliseconds:d} ms at a time")
def then_held(context, milliseconds):
    longest_s = context.holds.longest_s
    assert longest_s <= milliseconds / 1000, longest_s


@then("the attempt is lost")
def then_lost(context):
    assert isinstance(context.error, ResponseLost), repr(context.error)


@then("the attempt goes on")
def then_goes_on(context):
    assert context.error is None, repr(context.error)


class _KeepingRequest(StreamRequest):
    """The request of an attempt, with the parts of its answer as they came."""

    __slots__ = ("parts",)

    def __init__(self):
        super().__init__()
        self.parts = []

    async def write(self, chunk):
        """Keep a part of the answer."""
        self.parts.append(bytes(chunk))


HEADERS = HTTPHeaders(
    {
        "X-Pimentogap-Attempt-Id": ATTEMPT_ID,
        "X-Pimentogap-Replica-Seal": "s",
        "Transfer-Encoding": "chunked",
    }
)
ARRIVING_BY_KIND = {
    "comments": b": still here\n\n" * 150,
    "a comment without end": b":" + b"x" * 2000,
    "events that were delivered before": b"id: 1\ndata: x\n\n" * 140,
    "events without data": b"event: ping\n\n" * 160,
    "an event without end": b"id: 2\ndata: " + b"x" * 2000,
    "new events": b"id: 2\ndata: " + b"x" * 2000 + b"\n\n",
}


@given("a stream of which event 1 was delivered")
def given_delivered(context):
    context.first = b"id: 1\ndata: x\n\n"


@when("2000 bytes of {kind} arrive 1 second later")
def when_later(context, kind):
    async def receive():
        receiver = _receiver(EventFilter(), Clock(wall_origin_s=0.0))
        await receiver.headers_received(200, HEADERS)
        await receiver.data_received(context.first)
        before = receiver.progress_at
        await asyncio.sleep(1.0)
        await receiver.data_received(ARRIVING_BY_KIND[kind])
        return round(receiver.progress_at - before, 3)

    context.progress_after_s = run_paused(receive())


@then("the time of its last progress is {moment}")
def then_progress(context, moment):
    expected_s = {"that of before": 0.0, "now": 1.0}[moment]
    assert context.progress_after_s == expected_s, context.progress_after_s


@given("a stream of which nothing was delivered")
def given_nothing_delivered(context):
    context.request = _KeepingRequest()


@when("a comment, event 1, a comment and event 2 arrive")
def when_comments_between(context):
    async def receive():
        receiver = _receiver(EventFilter(), Clock(wall_origin_s=0.0), context.request)
        await receiver.headers_received(200, HEADERS)
        for part in (
            b":a\n\n",
            b"id: 1\ndata: x\n\n",
            b":b\n\n",
            b"id: 2\ndata: y\n\n",
        ):
            await receiver.data_received(part)

    run_paused(receive())


@then("the caller got nothing before event 1, and all four in the end")
def then_all_four(context):
    assert context.request.parts == [
        b":a\n\nid: 1\ndata: x\n\n",
        b":b\n\n",
        b"id: 2\ndata: y\n\n",
    ], context.request.parts


@then("the metrics of an event loop that was held for 30 ms show it")
def then_in_metrics(context):
    holds = LoopHolds()

    async def hold():
        await asyncio.sleep(0)
        time.sleep(0.03)
        await asyncio.sleep(0)

    with asyncio.Runner(loop_factory=lambda: measured_event_loop(holds)) as runner:
        runner.run(hold())
    lines = MetricService(holds).text().splitlines()
    name = "pimentogap_event_loop_held_seconds"
    values = dict(line.rsplit(" ", 1) for line in lines if line.startswith(name))
    total = int(values[f"{name}_count"])
    assert total > int(values[f'{name}_bucket{{le="0.02"}}']), values
    assert float(values[f"{name}_max"]) >= 0.03, values
