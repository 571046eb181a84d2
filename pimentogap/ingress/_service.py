"""Listens for callers, readiness checks of the platform and scrapes of metrics."""

import asyncio
import socket

from logbook import Logger
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import add_accept_handler, bind_sockets
from tornado.web import Application, RequestHandler

from pimentogap.ingress._exchange import Exchange
from pimentogap.ingress._refusals import linger
from pimentogap.ingress._stream import UNREAD_BYTES, CallerStream

log = Logger("ingress")

BACKLOG = 1024
# The platform checks readiness once a second and stops sending callers after two
# failed checks.
ROTATION_DELAY_S = 3.2
# Requests that arrive later than this after SIGTERM are refused if they may outlast
# the grace period less the margin below.
LATE_REQUEST_DELAY_S = 2.8
# The part of the grace period that is left for the process to exit.
EXIT_MARGIN_S = 0.7
DRAIN_CHECK_INTERVAL_S = 0.1
# Heads of up to twice the configured size are read, so that they can be refused.
HEADER_READ_FACTOR = 2
# Bodies are bounded by the configuration, as they are read.
UNBOUNDED_BYTES = 2**62
# How much of a body is passed on at once; each connection may hold twice of it.
BODY_READ_BYTES = 16 * 1024
# The platform's checks and scrapes need few connections.
MAX_SIDE_CONNECTIONS = 64
SIDE_TIMEOUT_S = 5.0
SIDE_MAX_BYTES = 16384


class ReadinessHandler(RequestHandler):
    """Answers 200 while the daemon should get new connections, else 503."""

    __slots__ = ()

    def initialize(self, ingress):
        """Take the readiness from ``ingress``."""
        self.ingress = ingress

    def get(self):
        """Answer without a body."""
        self.set_status(200 if self.ingress.is_ready() else 503)


class MetricsHandler(RequestHandler):
    """Serves the metrics as text."""

    __slots__ = ()

    def initialize(self, metrics):
        """Serve the text of ``metrics``, the `MetricService`."""
        self.metrics = metrics

    def get(self):
        """Answer with all metrics."""
        self.set_header("Content-Type", "text/plain")
        self.write(self.metrics.text())


class SideServer(HTTPServer):
    """Serves one handler on few connections; more are closed when they come."""

    __slots__ = ()

    def initialize(self, handler):
        """Serve ``handler``, a pattern, its class and its arguments."""
        super().initialize(
            Application([handler], log_function=lambda handler: None),
            idle_connection_timeout=SIDE_TIMEOUT_S,
            body_timeout=SIDE_TIMEOUT_S,
            max_header_size=SIDE_MAX_BYTES,
            max_body_size=SIDE_MAX_BYTES,
            max_buffer_size=4 * SIDE_MAX_BYTES,
            chunk_size=SIDE_MAX_BYTES,
        )
        self.open_connections = 0

    def handle_stream(self, stream, address):
        """Serve a connection unless there are too many."""
        if self.open_connections >= MAX_SIDE_CONNECTIONS:
            stream.close()
            return
        self.open_connections += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn):
        """Note the end of a connection."""
        self.open_connections -= 1
        super().on_close(server_conn)


class CallerServer:
    """Accepts callers' connections and serves each in a task of its own."""

    __slots__ = ("_ingress", "_sockets", "_removers", "_tasks")

    def __init__(self, ingress):
        self._ingress = ingress
        self._sockets = []
        self._removers = []
        self._tasks = set()

    def add_sockets(self, sockets):
        """Accept connections on ``sockets``."""
        for listening in sockets:
            # Accepted connections inherit it.
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
        self._sockets += sockets
        self._removers += [add_accept_handler(s, self._accept) for s in sockets]

    def stop(self):
        """Accept no more connections."""
        for remove in self._removers:
            remove()
        for listening in self._sockets:
            listening.close()
        self._removers, self._sockets = [], []

    def _accept(self, connection, address):
        stream = CallerStream(connection, self._ingress.intake)
        stream.caller = self._ingress.intake.admit(address[0], stream.close)
        if stream.caller is None:
            stream.close()
            return
        task = asyncio.ensure_future(self._ingress.serve_connection(stream))
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("connection failed", error=repr(task.exception()))


class IngressService:
    """Accepts requests of callers and reports whether the daemon is ready for them."""

    name = "ingress"
    requires = (
        "forwarding",
        "intake",
        "serving_configuration",
        "directory",
        "quarantine",
        "evacuations",
        "metrics",
    )
    __slots__ = (
        "codec",
        "forwarding",
        "intake",
        "closing",
        "_settings",
        "_configuration",
        "_directory",
        "_quarantine",
        "_evacuations",
        "_kernel",
        "_server",
        "_readiness",
        "_metrics_server",
        "_open_streams",
        "_exchanges",
        "_was_ready",
    )

    def __init__(self, settings, codec):
        """Prepare to listen on the addresses in ``settings``.

        :param settings: the `FrontSettings`.
        :param codec: decodes the headers of requests, such as `PlatformHeaders`.
        """
        self.codec = codec
        self.forwarding = None
        self.intake = None
        self.closing = False
        self._settings = settings
        self._configuration = None
        self._directory = None
        self._quarantine = None
        self._evacuations = None
        self._kernel = None
        self._server = None
        self._readiness = None
        self._metrics_server = None
        self._open_streams = set()
        self._exchanges = set()
        self._was_ready = None

    async def start(self, kernel):
        """Open the listening sockets."""
        self._kernel = kernel
        self.forwarding = kernel.get("forwarding")
        self.intake = kernel.get("intake")
        self._configuration = kernel.get("serving_configuration")
        self._directory = kernel.get("directory")
        self._quarantine = kernel.get("quarantine")
        self._evacuations = kernel.get("evacuations")
        metrics = kernel.get("metrics")
        self._server = CallerServer(self)
        self._server.add_sockets(_bind(self._settings.caller_address))
        self._readiness = _serve(
            self._settings.readiness_address,
            (r"/.*", ReadinessHandler, {"ingress": self}),
        )
        self._metrics_server = _serve(
            self._settings.metrics_address,
            (r"/metrics", MetricsHandler, {"metrics": metrics}),
        )

    async def stop(self):
        """Drain requests, and stop before the platform's grace period ends.

        The sockets keep listening for ``ROTATION_DELAY_S``, since the platform sends
        callers until its readiness checks have failed.
        """
        self.closing = True
        clock = self._kernel.clock
        began = clock.time()
        deadline = began + self._settings.grace_s - EXIT_MARGIN_S
        self.forwarding.prepare_stop(
            deadline, refuse_long_at=began + LATE_REQUEST_DELAY_S
        )
        log.notice("draining", in_flight=self.forwarding.in_flight)
        await clock.sleep(min(ROTATION_DELAY_S, deadline - began))
        await self._wait_for_exchanges(deadline)
        self._server.stop()
        # Connections accepted during the wait are served as well.
        await self._wait_for_exchanges(deadline)
        log.notice("drain ended", left=len(self._exchanges))
        self._readiness.stop()
        self._metrics_server.stop()

    async def _wait_for_exchanges(self, deadline):
        """Close idle connections until no request is open, or until ``deadline``."""
        self._close_idle_streams()
        while self._exchanges and self._kernel.clock.time() < deadline:
            await self._kernel.clock.sleep(DRAIN_CHECK_INTERVAL_S)
            self._close_idle_streams()

    def now(self):
        """Return the time of the runtime's clock, in seconds."""
        return self._kernel.clock.time()

    def is_ready(self):
        """Return whether the daemon can serve new callers, and log each change."""
        ready = (
            not self.closing
            and self._configuration.current is not None
            and self._directory.loaded
            and self._quarantine.loaded
            and self._evacuations.loaded
        )
        if ready is not self._was_ready:
            log.notice("readiness", ready=ready, closing=self.closing)
            self._was_ready = ready
        return ready

    def limits(self):
        """Return the current `CallerLimits`."""
        return self.intake.caller_limits()

    def add_exchange(self, exchange):
        """Register a request whose headers have been received."""
        self._exchanges.add(exchange)

    def remove_exchange(self, exchange):
        """Remove a request that has ended."""
        self._exchanges.discard(exchange)

    async def serve_connection(self, stream):
        """Answer the requests of one connection, one after the other."""
        stream.set_nodelay(True)
        try:
            while not stream.closed():
                if not await self._serve_request(stream):
                    break
        except StreamClosedError:
            log.debug("connection ended")
        finally:
            self._open_streams.discard(stream)
            stream.close()
            self.intake.leave(stream.caller)

    async def _serve_request(self, stream):
        """Answer one request; return whether the connection stays open for another."""
        limits = self.limits()
        connection = HTTP1Connection(
            stream,
            False,
            HTTP1ConnectionParameters(
                max_header_size=limits.max_header_bytes * HEADER_READ_FACTOR,
                max_body_size=UNBOUNDED_BYTES,
                chunk_size=BODY_READ_BYTES,
            ),
        )
        exchange = Exchange(self, connection, stream)
        connection.set_close_callback(exchange.cancel_answer)
        self._open_streams.add(stream)
        try:
            keep_alive = await connection.read_response(exchange)
            if exchange.refused:
                await linger(stream, self.intake.wait_to_drain)
        finally:
            exchange.end()
        if not keep_alive or exchange.close_after:
            return False
        self.intake.begin_idle(stream.caller)
        return True

    def _close_idle_streams(self):
        busy_streams = {exchange.stream for exchange in self._exchanges}
        for stream in list(self._open_streams):
            if stream not in busy_streams:
                stream.close()


def _serve(address, handler):
    server = SideServer(handler)
    server.add_sockets(_bind(address))
    return server


def _bind(address):
    host, _, port = address.rpartition(":")
    return bind_sockets(int(port), host.strip("[]"), backlog=BACKLOG)
