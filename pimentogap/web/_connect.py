"""Opens TCP connections by IP address, without a name look-up."""

import socket

from tornado.iostream import IOStream

# Timeout for unacknowledged data, for peers that vanish without a reset.
USER_TIMEOUT_MS = 3000
# TCP keep-alive detects such a peer on an idle connection within three seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_BUFFER_BYTES = 16 * 2**20


class ClientStream(IOStream):
    """The stream of a client, which can tell if the server sent more than asked."""

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


async def connect(address):
    """Return a `ClientStream` that is connected to ``address``, ``HOST:PORT``.

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
    stream = ClientStream(sock, max_buffer_size=MAX_BUFFER_BYTES)
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
