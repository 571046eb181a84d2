"""Opens TCP connections by IP address, without a name look-up."""

import socket

from tornado.iostream import IOStream

# A peer that vanished without a reset is found this soon while data is unacknowledged.
USER_TIMEOUT_MS = 3000
# A connection that went silent without a reset is found within three seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_BUFFER_BYTES = 16 * 2**20


async def connect(address):
    """Return an `IOStream` that is connected to ``address``, ``HOST:PORT``.

    :raises OSError: if the address refuses or cannot be reached.
    :raises StreamClosedError: if the connection failed while it was made.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    raw = socket.socket(family, socket.SOCK_STREAM)
    raw.setblocking(False)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    _probe_when_idle(raw)
    stream = IOStream(raw, max_buffer_size=MAX_BUFFER_BYTES)
    try:
        await stream.connect((host, int(port)))
    except BaseException:
        stream.close()
        raise
    return stream


def _probe_when_idle(raw):
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
