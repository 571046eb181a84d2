"""The service that listens for callers."""

from logbook import Logger
from tornado.httpserver import HTTPServer
from tornado.web import Application

from pimentogap.entry._completions import CompletionHandler, ModelsHandler
from pimentogap.entry._plain import (
    HealthHandler,
    NotFoundHandler,
    PlainServiceHandler,
)
from pimentogap.tickets import may_serve

log = Logger("entry")

# Above the limits of the settings, which the handlers check to answer with refusals.
SERVER_MAX_HEADER_BYTES = 2**20
SERVER_MAX_BODY_BYTES = 2**40
IDLE_TIMEOUT_S = 75.0
DRAIN_CHECK_INTERVAL_S = 0.05


class EntryService:
    """Serves callers over HTTP; when stopped, lets open requests finish."""

    name = "entry"
    requires = (
        "configuration",
        "routing",
        "limits",
        "streams",
        "actions",
        "lookups",
        "metrics",
        "traces",
        "objectives",
        "peers",
    )
    __slots__ = (
        "is_stopping",
        "refuses_requests",
        "_kernel",
        "_daemon",
        "_callers",
        "_server",
        "open_handlers",
    )

    def __init__(self, daemon, callers):
        """Prepare to listen.

        :param daemon: the `pimentogap.settings.DaemonSettings`.
        :param callers: the `pimentogap.settings.CallerSettings`.
        """
        self.is_stopping = False
        self.refuses_requests = False
        self._kernel = None
        self._daemon = daemon
        self._callers = callers
        self._server = None
        self.open_handlers = set()

    async def start(self, kernel):
        """Listen on the callers' address."""
        self._kernel = kernel
        context = {"kernel": kernel, "settings": self._callers}
        application = Application(
            [
                (r"/v1/(?:chat/)?completions", CompletionHandler, context),
                (r"/v1/models", ModelsHandler, context),
                (r"/services/([^/]+)(/.*)", PlainServiceHandler, context),
                (r"/(healthz|readyz)", HealthHandler, context),
            ],
            default_handler_class=NotFoundHandler,
            default_handler_args=context,
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(
            application,
            max_header_size=SERVER_MAX_HEADER_BYTES,
            max_body_size=SERVER_MAX_BODY_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )
        host, _, port = self._daemon.caller_address.rpartition(":")
        self._server.listen(int(port), host.strip("[]"))
        log.notice("listening for callers on {}", self._daemon.caller_address)

    async def stop(self):
        """Announce the stop, then stop accepting, and wait for open requests.

        The readiness check fails at once, and the load balancer has
        ``balancer_notice`` seconds to see it. Requests then have ``stop_grace``
        seconds to finish before their connections are closed.
        """
        clock = self._kernel.clock
        self.is_stopping = True
        self._kernel.get("peers").announce_stopping()
        await clock.sleep(self._daemon.balancer_notice)
        self.refuses_requests = True
        self._server.stop()
        deadline = clock.time() + self._daemon.stop_grace
        while self.open_handlers and clock.time() < deadline:
            await clock.sleep(DRAIN_CHECK_INTERVAL_S)
        if self.open_handlers:
            log.warning(
                "closing the connections of {} unfinished requests",
                len(self.open_handlers),
            )
        await self._server.close_all_connections()

    def is_ready(self):
        """Return whether the load balancer should send callers to this daemon."""
        freshness = self._kernel.get("configuration").freshness()
        return not self.is_stopping and may_serve(freshness)
