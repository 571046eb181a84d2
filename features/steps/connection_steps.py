"""Steps for the connection pool to backend servers, over loopback sockets."""

import asyncio
import socket
import struct

from behave import given, then, when

from pimentogap.errors import (
    ConnectionFailed,
    ResponseLost,
    ReusedConnectionClosed,
    SendWithheld,
)
from pimentogap.web import BackendPool

LINGER_RESET = struct.pack("ii", 1, 0)
RESET_DELAY_S = 0.05


class AnswerReceiver:
    """Receives the body of the answer to one attempt."""

    __slots__ = ("attempt_id", "body")

    def __init__(self, attempt_id):
        self.attempt_id = attempt_id
        self.body = b""

    def is_own_answer(self, status, headers, *, is_first):
        return headers.get("Attempt") in (None, self.attempt_id)

    async def headers_received(self, status, headers):
        return None

    async def data_received(self, chunk):
        self.body += chunk


def answer(attempt_id, body):
    """Return the bytes of a complete answer."""
    head = f"HTTP/1.1 200 OK\r\nAttempt: {attempt_id}\r\nContent-Length: {len(body)}"
    return f"{head}\r\n\r\n{body}".encode()


async def read_request(reader):
    """Read one request without a body."""
    return await reader.readuntil(b"\r\n\r\n")


async def answer_twice(reader, writer):
    """Answer the first request twice, the second time just before the second answer."""
    await read_request(reader)
    writer.write(answer("a1", "one"))
    await read_request(reader)
    writer.write(answer("a1", "again") + answer("a2", "two"))
    await writer.drain()


async def reset_unframed(reader, writer):
    """Reset the connection during an answer that has no length."""
    await read_request(reader)
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nunfra")
    await writer.drain()
    await asyncio.sleep(RESET_DELAY_S)
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


async def end_unframed(reader, writer):
    """Close the connection without a reset after an answer that has no length."""
    await read_request(reader)
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nunframed")
    await writer.drain()
    writer.close()


async def close_after_second(reader, writer):
    """Close the connection when the second request has arrived, unanswered."""
    await read_request(reader)
    writer.write(answer("a1", "one"))
    await read_request(reader)
    writer.close()


@given("a server that answers the first request twice")
def given_twice(context):
    context.serve = answer_twice


@given("a server that resets the connection during an answer without a length")
def given_reset(context):
    context.serve = reset_unframed


@given("a server that closes the connection after an answer without a length")
def given_ended(context):
    context.serve = end_unframed


@given("a server that closes the connection when the second request arrives")
def given_closing(context):
    context.serve = close_after_second


@given("an address on which no server listens")
def given_no_server(context):
    context.serve = None


@when("a request is sent")
def when_sent(context):
    context.results = asyncio.run(exchange(context.serve, ["a1"]))


@when("two requests are sent on one connection")
def when_two_sent(context):
    context.results = asyncio.run(exchange(context.serve, ["a1", "a2"]))


async def exchange(serve, ids, permissions=None):
    """Send a request for each of ``ids``; return a body or an error for each.

    :param serve: handles a connection at the server; None if no server listens.
    :param permissions: for each request whether it may be sent; all may by default.
    """
    server = await asyncio.start_server(serve or answer_twice, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    if serve is None:
        server.close()
        await server.wait_closed()
    pool = BackendPool()
    results = []
    for attempt_id, may_send in zip(ids, permissions or [True] * len(ids), strict=True):
        receiver = AnswerReceiver(attempt_id)
        try:
            await pool.exchange(
                f"{host}:{port}",
                "GET",
                "/",
                [("Host", "x")],
                b"",
                receiver,
                fresh=False,
                connect_s=1.0,
                may_send=lambda may_send=may_send: may_send,
            )
            results.append(receiver.body)
        except (ConnectionFailed, ResponseLost, SendWithheld) as error:
            results.append(error)
    pool.close()
    server.close()
    return results


@then("each request got its own answer")
def then_own_answers(context):
    assert context.results == [b"one", b"two"], context.results


@then("the answer is lost")
def then_lost(context):
    assert isinstance(context.results[0], ResponseLost), context.results


@then('the answer is "{text}"')
def then_answer(context, text):
    assert context.results == [text.encode()], context.results


@then("the second request is reported as lost on a kept-alive connection")
def then_kept_connection_closed(context):
    assert context.results[0] == b"one", context.results
    assert isinstance(context.results[1], ReusedConnectionClosed), context.results


@then("nothing was sent")
def then_nothing_sent(context):
    assert isinstance(context.results[0], ConnectionFailed), context.results


@given("a server that counts the requests it gets")
def given_counting_server(context):
    context.received = []

    async def serve(reader, writer):
        try:
            while True:
                context.received.append(await read_request(reader))
                attempt_id = f"a{len(context.received)}"
                writer.write(answer(attempt_id, "counted"))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    context.serve = serve


@when("{count:d} requests are sent and one more is withheld")
def when_withheld(context, count):
    permissions = [True] * count + [False]
    ids = [f"a{number}" for number in range(1, len(permissions) + 1)]
    context.results = asyncio.run(exchange(context.serve, ids, permissions))


@then("the last request was withheld, and the server got {count:d}")
def then_withheld(context, count):
    assert isinstance(context.results[-1], SendWithheld), context.results
    assert len(context.received) == count, context.received
