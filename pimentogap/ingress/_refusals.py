"""Refuses requests that are not complete, such that the answer arrives."""

import asyncio
import socket

from tornado.httputil import responses
from tornado.iostream import StreamClosedError

# For how long, and how much, is read of a request after its refusal. Closing a
# connection with unread bytes resets it, and a reset can overtake the answer.
LINGER_S = 2.0
LINGER_BYTES = 4 * 2**20
READ_BYTES = 16 * 1024


def send_refusal(stream, status, headers):
    """Write an answer without a body and close the connection's own direction.

    :param headers: pairs of name and value.
    """
    fields = [*headers, ("Connection", "close"), ("Content-Length", "0")]
    lines = [f"HTTP/1.1 {status} {responses.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    try:
        written = stream.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
    except StreamClosedError:
        return
    written.add_done_callback(lambda done: _end_writing(stream, done))
    asyncio.get_running_loop().call_later(LINGER_S, stream.close)


async def linger(stream, wait):
    """Read on after a refusal until the caller closes, within bounds.

    :param wait: a coroutine function that is awaited between reads.
    """
    left = LINGER_BYTES
    while left > 0 and not stream.closed():
        left -= len(await stream.read_bytes(READ_BYTES, partial=True))
        await wait()


def _end_writing(stream, written):
    if written.exception() is None and not stream.closed():
        try:
            stream.socket.shutdown(socket.SHUT_WR)
        except OSError:
            stream.close()
