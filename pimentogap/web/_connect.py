"""Opens TCP connections by IP address, without a name look-up."""

import asyncio
import socket

from tornado.iostream import IOStream

# Timeout for unacknowledged data, for peers that vanish without a reset.
USER_TIMEOUT_MS = 3000
# TCP keep-alive detects such a peer on an idle connection within three seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_BUFFER_BYTES = 16 * 2**20
READ_BYTES = 64 * 1024


class ClientStream(IOStream):
    """The stream of a client, which can tell if the server sent more than asked."""

    _meter = None
    _turns = None

    def pace_chunks(self, meter, turns):
        """Let a body in costly chunks wait for its turns.

        :param meter: the `ChunkMeter` of the body.
        :param turns: the `ChunkTurns` of all bodies.
        """
        self._meter = meter
        self._turns = turns

    def read_from_fd(self, buf):
        """Read as `IOStream` does, and count the bytes of the body."""
        size = super().read_from_fd(buf)
        if size and self._meter is not None:
            self._meter.record_bytes(size)
        return size

    def read_until(self, delimiter, max_bytes=None):
        """Read the size of a chunk, once the body may go on."""
        if self._meter is None or not self._meter.needs_turn():
            return super().read_until(delimiter, max_bytes)
        return asyncio.ensure_future(self._read_in_turn(delimiter, max_bytes))

    async def _read_in_turn(self, delimiter, max_bytes):
        await self._turns.wait(self._meter.turns)
        return await super().read_until(delimiter, max_bytes)

    def is_quiet(self):
        """Return whether the server neither closed nor sent anything unread."""
        return not self.closed() and not self._read_buffer_size and self._peek() is None

    def has_unread(self):
        """Return whether the server sent more than has been read."""
        if self.closed():
            return False
        return bool(self._read_buffer_size or self._peek())

    def _peek(self):
        """Return the socket's next byte, empty at the end, ``None`` if none came."""
        try:
            return self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""


async def connect(address, *, read_bytes=READ_BYTES, unread_bytes=None):
    """Return a `ClientStream` that is connected to ``address``, ``HOST:PORT``.

    :param read_bytes: how much is read at once.
    :param unread_bytes: how much the kernel keeps that is not read yet; its own choice
        by default.
    :raises OSError: if no socket can be opened.
    :raises StreamClosedError: if the address refuses the connection or cannot be
        reached.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    _enable_keepalive(sock)
    if unread_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, unread_bytes)
    stream = ClientStream(
        sock, max_buffer_size=MAX_BUFFER_BYTES, read_chunk_size=read_bytes
    )
    try:
        await stream.connect((host, int(port)))
    except (OverflowError, ValueError) as error:
        stream.close()
        raise OSError(f"{address!r} is no address: {error}")
    except BaseException:
        stream.close()
        raise
    return stream


def _enable_keepalive(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
