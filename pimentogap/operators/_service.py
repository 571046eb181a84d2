"""The service that serves operators over HTTP."""

from logbook import Logger
from tornado.httpserver import HTTPServer
from tornado.web import Application

from pimentogap.operators._handlers import (
    DecisionsHandler,
    ExplainHandler,
    InDoubtHandler,
    MetricsHandler,
    ObjectivesHandler,
    StatusHandler,
    TicketHandler,
    TicketsHandler,
)

log = Logger("operators")

MAX_TICKET_BYTES = 2**20


class OperatorService:
    """Serves the operators' interface and the metrics over HTTP."""

    name = "operators"
    requires = (
        "configuration",
        "peers",
        "fleet",
        "groups",
        "routing",
        "streams",
        "actions",
        "traces",
        "metrics",
        "objectives",
    )
    __slots__ = ("_address", "_server")

    def __init__(self, address):
        """Set the ``host:port`` to listen on."""
        self._address = address
        self._server = None

    async def start(self, kernel):
        """Listen on the operators' address.

        :raises OSError: if the address cannot be bound.
        """
        context = {"kernel": kernel}
        application = Application(
            [
                (r"/tickets", TicketsHandler, context),
                (r"/tickets/(\d+)", TicketHandler, context),
                (r"/status", StatusHandler, context),
                (r"/explain/(group|vm|request)/(.+)", ExplainHandler, context),
                (r"/objectives", ObjectivesHandler, context),
                (r"/decisions", DecisionsHandler, context),
                (r"/actions/in-doubt", InDoubtHandler, context),
                (r"/metrics", MetricsHandler, context),
            ],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(application, max_body_size=MAX_TICKET_BYTES)
        host, _, port = self._address.rpartition(":")
        self._server.listen(int(port), host.strip("[]"))
        log.notice("listening for operators on {}", self._address)

    async def stop(self):
        """Stop listening and close the open connections."""
        self._server.stop()
        await self._server.close_all_connections()
