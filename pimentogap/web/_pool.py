"""A pool of connections to backend servers, on tornado's `HTTP1Connection`."""

import asyncio
from collections import deque

from logbook import Logger
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
)
from tornado.iostream import StreamClosedError

from pimentogap.errors import (
    ConnectionFailed,
    PimentogapError,
    RequestNotSendable,
    ResponseLost,
    ReusedConnectionClosed,
    SendWithheld,
)
from pimentogap.intake import ChunkMeter
from pimentogap.types import decimal_or_none
from pimentogap.web._connect import connect
from pimentogap.web._statuses import is_interim

log = Logger("web.pool")

MAX_HEADER_BYTES = 65536
MAX_BODY_BYTES = 2**40
# What a connection holds of an answer that arrives faster than it is passed on.
READ_BYTES = 16 * 1024
UNREAD_BYTES = 64 * 1024
# A body of up to this size is written together with its head.
MAX_JOINED_BYTES = 16 * 1024
MAX_IDLE_PER_BACKEND = 24
# Bounds the ids that are remembered for a connection.
MAX_ATTEMPTS_PER_CONNECTION = 100
# Answers to earlier requests that may precede the expected one on a connection.
MAX_STRAY_ANSWERS = 2
MAX_STRAY_BYTES = 2**20
KEEP_ALIVE_MARGIN_S = 1.0
DEFAULT_IDLE_LIMIT_S = 4.0
MAX_IDLE_S = 86_400
BODY_METHODS = ("POST", "PUT", "PATCH")


class _AnswerDelegate(HTTPMessageDelegate):
    """Passes an answer to a receiver, unless it belongs to another request."""

    __slots__ = (
        "receiver",
        "stream",
        "is_first",
        "began",
        "owned",
        "finished",
        "idle_limit_s",
        "error",
        "_stray_bytes",
    )

    def __init__(self, receiver, stream, *, is_first):
        """Pass on an answer.

        :param is_first: whether it is the first answer on its connection.
        """
        self.receiver = receiver
        self.stream = stream
        self.is_first = is_first
        self.began = False
        self.owned = True
        self.finished = False
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self.error = None
        self._stray_bytes = 0

    async def headers_received(self, start_line, headers):
        self.began = True
        try:
            if is_interim(start_line.code):
                return
            self.idle_limit_s = _idle_limit_s(headers)
            self.owned = self.receiver.is_own_answer(
                start_line.code, headers, is_first=self.is_first
            )
            if self.owned:
                await self.receiver.headers_received(start_line.code, headers)
        except Exception as error:
            self._fail(error)

    async def data_received(self, chunk):
        if self.error is not None:
            return
        if not self.owned:
            self._stray_bytes += len(chunk)
            if self._stray_bytes > MAX_STRAY_BYTES:
                self._fail(ResponseLost("the answer to another request has no end"))
            return
        try:
            await self.receiver.data_received(chunk)
        except (Exception, asyncio.CancelledError) as error:
            # tornado would log a cancellation here, and raise another error for it.
            self._fail(error)

    def finish(self):
        self.finished = self.error is None

    def on_connection_close(self):
        self.finished = False

    def _fail(self, error):
        if not isinstance(error, PimentogapError | asyncio.CancelledError):
            log.error("answer not usable", exc_info=error)
            error = ResponseLost(f"the answer is not usable: {error!r}")
        # The pool raises it once tornado has returned from `read_response`. The frames
        # that its traceback names hold what has been read.
        self.error = error.with_traceback(None)
        self.stream.close()

    def take_error(self):
        """Return the error, which is not kept, so that it refers to nothing in turn."""
        error, self.error = self.error, None
        return error


class _Connection:
    """A connection, and the ids of the attempts that it has carried.

    It is reusable until ``expires_at``, a time of the event loop.
    """

    __slots__ = ("stream", "attempt_ids", "expires_at")

    def __init__(self, stream):
        self.stream = stream
        self.attempt_ids = set()
        self.expires_at = 0.0

    def can_carry(self, attempt_id):
        """Tell whether an answer with ``attempt_id`` can only be that of a new send."""
        return bool(attempt_id) and attempt_id not in self.attempt_ids

    def may_be_kept(self):
        """Tell whether the connection can carry more attempts."""
        return len(self.attempt_ids) < MAX_ATTEMPTS_PER_CONNECTION


class BackendPool:
    """Sends requests to backend servers and keeps idle connections for later ones.

    A receiver is an object with ``attempt_id``, which its answer names;
    ``is_own_answer(status, headers, is_first)``, which returns whether an answer
    belongs to its request; and the coroutine functions
    ``headers_received(status, headers)`` and ``data_received(chunk)``. ``is_first``
    says that nothing was received on the connection before. A request without an id
    gets a connection of its own.

    A backend server may send a second copy of an answer at any time. A connection
    carries each attempt id only once, so that the id of an answer tells the send that
    it belongs to, and is closed once more has arrived on it than was asked for.
    """

    __slots__ = ("_idle_by_address", "_parameters", "_turns", "connections_opened")

    def __init__(self, turns=None):
        """Start without connections.

        :param turns: the `ChunkTurns` of answers in small chunks; without it, nothing
            bounds the time that they take.
        """
        self._idle_by_address = {}
        self._turns = turns
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            chunk_size=READ_BYTES,
        )
        self.connections_opened = 0

    async def exchange(
        self,
        address,
        method,
        path,
        headers,
        body,
        receiver,
        *,
        fresh,
        connect_s,
        may_send=lambda: True,
    ):
        """Send a request and pass its answer to ``receiver`` as it arrives.

        Cancelling the call closes the connection.

        :param headers: pairs of name and value.
        :param fresh: use a new connection, on which a failure to connect proves that
            nothing was sent.
        :param connect_s: timeout for opening a connection, in seconds.
        :param may_send: a function that is called once a connection is open, and
            returns whether to send the request.
        :raises RequestNotSendable: if HTTP has no form of the request; nothing was
            sent.
        :raises ConnectionFailed: if nothing was sent.
        :raises SendWithheld: if ``may_send`` returned false; nothing was sent.
        :raises ReusedConnectionClosed: if a reused connection ended before any answer.
        :raises ResponseLost: if the answer did not arrive completely.
        """
        fields = encode_fields(method, headers, body)
        attempt_id = receiver.attempt_id
        connection = None if fresh else self._pop_idle(address, attempt_id)
        reused = connection is not None
        if connection is None:
            connection = _Connection(await self._open(address, connect_s))
        stream = connection.stream
        if not may_send():
            stream.close()
            raise SendWithheld(f"{address} no longer takes requests")
        if self._turns is not None:
            stream.pace_chunks(ChunkMeter(), self._turns)
        connection.attempt_ids.add(attempt_id)
        idle_limit_s = 0.0
        try:
            line = RequestStartLine(method, path, "HTTP/1.1")
            idle_limit_s = await self._transfer(
                stream, line, fields, body, receiver, reused
            )
        finally:
            if idle_limit_s > 0 and attempt_id and _is_reusable(stream, address):
                self._store_idle(address, connection, idle_limit_s)
            else:
                stream.close()

    @property
    def idle_count(self):
        """Return how many idle connections are kept."""
        return sum(len(idle) for idle in self._idle_by_address.values())

    def close_idle(self, address):
        """Close the idle connections to ``address``."""
        for idle in self._idle_by_address.pop(address, ()):
            idle.stream.set_close_callback(None)
            idle.stream.close()

    def close(self):
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.close_idle(address)

    async def _transfer(self, stream, line, fields, body, receiver, reused):
        connection = HTTP1Connection(stream, True, self._parameters)
        delegate = _AnswerDelegate(receiver, stream, is_first=not reused)
        has_strays = False
        try:
            # Not awaited: an answer may come before the whole body is sent.
            _write_request(connection, line, fields, body)
            await connection.read_response(delegate)
            for _ in range(MAX_STRAY_ANSWERS):
                if delegate.owned or not delegate.finished:
                    break
                log.info("stray answer dropped", path=line.path)
                has_strays = True
                delegate = await self._read_next(stream, receiver)
        except StreamClosedError as error:
            if reused and not delegate.began:
                raise ReusedConnectionClosed(f"the kept connection ended: {error}")
            lost = ResponseLost(f"the connection ended: {error}")
            raise delegate.take_error() or lost from None
        if delegate.error is not None:
            raise delegate.take_error()
        if not delegate.finished or not delegate.owned or stream.error is not None:
            if reused and not delegate.began:
                raise ReusedConnectionClosed("the kept connection ended")
            raise ResponseLost(f"the answer is not whole: {stream.error}")
        return 0.0 if has_strays else delegate.idle_limit_s

    async def _read_next(self, stream, receiver):
        connection = HTTP1Connection(stream, True, self._parameters)
        connection.finish()
        delegate = _AnswerDelegate(receiver, stream, is_first=False)
        await connection.read_response(delegate)
        return delegate

    async def _open(self, address, connect_s):
        try:
            async with asyncio.timeout(connect_s):
                stream = await connect(
                    address, read_bytes=READ_BYTES, unread_bytes=UNREAD_BYTES
                )
        except (OSError, TimeoutError, StreamClosedError) as error:
            raise ConnectionFailed(f"no connection to {address}: {error!r}")
        self.connections_opened += 1
        return stream

    def _pop_idle(self, address, attempt_id):
        """Return the newest usable connection that has not carried ``attempt_id``."""
        idle = self._idle_by_address.get(address, ())
        now = asyncio.get_running_loop().time()
        for connection in list(reversed(idle)):
            stream = connection.stream
            is_usable = now < connection.expires_at and _is_reusable(stream, address)
            if is_usable and not connection.can_carry(attempt_id):
                continue
            idle.remove(connection)
            stream.set_close_callback(None)
            if is_usable:
                return connection
            stream.close()
        return None

    def _store_idle(self, address, connection, idle_limit_s):
        idle = self._idle_by_address.setdefault(address, deque())
        stream = connection.stream
        if len(idle) >= MAX_IDLE_PER_BACKEND or not connection.may_be_kept():
            stream.close()
            return
        connection.expires_at = asyncio.get_running_loop().time() + idle_limit_s
        idle.append(connection)

        def remove_idle():
            if connection in idle:
                idle.remove(connection)

        stream.set_close_callback(remove_idle)


def _is_reusable(stream, address):
    """Return whether ``stream`` is open and brought no more than was asked for."""
    if stream.has_unread():
        log.info("surplus bytes on connection", address=address)
    return stream.is_quiet()


def _write_request(connection, line, fields, body):
    """Write a request; a large body is not copied for that."""
    if len(body) <= MAX_JOINED_BYTES:
        connection.write_headers(line, fields, bytes(body) or None)
    else:
        connection.write_headers(line, fields)
        connection.write(body)
    connection.finish()


def encode_fields(method, headers, body):
    """Return the `HTTPHeaders` of a request.

    :param headers: pairs of name and value.
    :raises RequestNotSendable: if one of them is no header field.
    """
    fields = HTTPHeaders()
    try:
        for name, value in headers:
            fields.add(name, value)
            value.encode("latin-1")
    except (HTTPInputError, UnicodeEncodeError) as error:
        raise RequestNotSendable(f"{name} has no form in HTTP: {error}")
    if body or method in BODY_METHODS:
        fields["Content-Length"] = str(len(body))
    return fields


def _idle_limit_s(headers):
    """Return the seconds for which an idle connection can be reused, 0 if it cannot."""
    if headers.get("Connection", "").lower() == "close":
        return 0.0
    if "Content-Length" not in headers and "Transfer-Encoding" not in headers:
        return 0.0
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        seconds = decimal_or_none(value, most=MAX_IDLE_S)
        if name.lower() == "timeout" and seconds is not None:
            return max(0.0, seconds - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_IDLE_LIMIT_S
