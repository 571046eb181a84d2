"""HTTP handlers of the operators' interface."""

import json
from dataclasses import asdict

from tornado.web import RequestHandler

from pimentogap.access import may_submit
from pimentogap.errors import (
    InvalidDocument,
    PeerUnreachable,
    ResponseLost,
    StoreError,
)
from pimentogap.operators._answers import (
    group_answer,
    status_answer,
    submission_answer,
    ticket_answer,
    trace_answer,
)
from pimentogap.tickets import parse_ticket

OPERATOR_HEADER = "Operator"
MAX_TICKETS_LISTED = 100


class OperatorHandler(RequestHandler):
    """Authenticates operators by their keys and answers in JSON."""

    def initialize(self, kernel):
        self.kernel = kernel

    def answer(self, status, data):
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(data, indent=2) + "\n")

    def prepare(self):
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        configuration = self.kernel.get("configuration").current
        name = self.request.headers.get(OPERATOR_HEADER, "")
        if not may_submit(
            configuration,
            operator_name=name,
            key=key if scheme.lower() == "bearer" else "",
        ):
            self.answer(401, {"detail": "no operator of that name has this key"})

    def write_error(self, status_code, **kwargs):
        self.answer(status_code, {"detail": self._reason})


class TicketsHandler(OperatorHandler):
    """Accepts tickets and lists the newest ones."""

    async def post(self):
        try:
            data = json.loads(self.request.body)
            ticket = parse_ticket(data)
        except ValueError:
            self.answer(400, {"outcome": "malformed", "problems": ["not JSON"]})
            return
        except InvalidDocument as error:
            problems = [str(problem) for problem in error.problems]
            self.answer(400, {"outcome": "malformed", "problems": problems})
            return
        operator = self.request.headers.get(OPERATOR_HEADER)
        if operator and operator != ticket.header.author:
            problems = [f"author: {ticket.header.author} is not {operator}"]
            self.answer(400, {"outcome": "malformed", "problems": problems})
            return
        outcome = await self.kernel.get("configuration").submit(ticket)
        self.answer(*submission_answer(outcome, ticket))

    async def get(self):
        configuration = self.kernel.get("configuration")
        newest = configuration.current.revision
        tickets = []
        for number in range(newest, max(0, newest - MAX_TICKETS_LISTED), -1):
            accepted = await configuration.read_ticket(number)
            if accepted is None:
                break
            header = accepted.ticket.header
            tickets.append(
                {
                    "number": number,
                    "accepted_at": accepted.accepted_at,
                    "author": header.author,
                    "submission": header.submission,
                    "reason": header.reason,
                    "touches": [str(key) for key in accepted.ticket.touched_keys()],
                }
            )
        self.answer(200, {"revision": newest, "tickets": tickets})


class TicketHandler(OperatorHandler):
    """Shows one ticket and the daemons that have applied it."""

    async def get(self, number):
        try:
            accepted = await self.kernel.get("configuration").read_ticket(int(number))
        except StoreError as error:
            self.answer(503, {"detail": str(error)})
            return
        if accepted is None:
            self.answer(404, {"detail": f"there is no ticket {number}"})
            return
        self.answer(200, ticket_answer(self.kernel, accepted))


class StatusHandler(OperatorHandler):
    """Shows the state of the daemon and of the fleet."""

    def get(self):
        self.answer(200, status_answer(self.kernel))


class ExplainHandler(OperatorHandler):
    """Shows the decisions about a group or VM, or the trace of a request."""

    async def get(self, subject, name):
        match subject:
            case "group":
                await self._explain_decisions(name, lambda d: d.group == name)
            case "vm":
                await self._explain_decisions(name, lambda d: name in d.vms)
            case "request":
                self._explain_request(name)

    async def _explain_decisions(self, name, is_wanted):
        try:
            decisions = await self.kernel.get("groups").decisions()
        except StoreError as error:
            self.answer(503, {"detail": str(error)})
            return
        assignments = self.kernel.get("fleet").assignments()
        present = [
            group_answer(self.kernel, assignment)
            for assignment in assignments
            if assignment.group == name or any(vm.id == name for vm in assignment.vms)
        ]
        found = [asdict(decision) for decision in decisions if is_wanted(decision)]
        status = 200 if present or found else 404
        self.answer(status, {"name": name, "present": present, "decisions": found})

    def _explain_request(self, request_id):
        trace = self.kernel.get("traces").get(request_id)
        if trace is None:
            self.answer(
                404, {"detail": f"{request_id} is not among the recent requests"}
            )
            return
        self.answer(200, trace_answer(trace))


class InDoubtHandler(OperatorHandler):
    """Lists the actions in doubt, of which it is unknown whether they ran."""

    async def get(self):
        try:
            actions = await self.kernel.get("actions").in_doubt()
        except (StoreError, PeerUnreachable, ResponseLost) as error:
            self.answer(503, {"detail": str(error)})
            return
        self.answer(200, {"actions": actions})


class ObjectivesHandler(OperatorHandler):
    """Shows the counts of good and bad for each objective."""

    def get(self):
        self.answer(200, self.kernel.get("objectives").dump())


class DecisionsHandler(OperatorHandler):
    """Shows the recent decisions on model groups."""

    async def get(self):
        try:
            decisions = await self.kernel.get("groups").decisions()
        except StoreError as error:
            self.answer(503, {"detail": str(error)})
            return
        self.answer(200, {"decisions": [asdict(decision) for decision in decisions]})


class MetricsHandler(RequestHandler):
    """Shows the metrics in the Prometheus text format."""

    def initialize(self, kernel):
        self.kernel = kernel

    def get(self):
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.kernel.get("metrics").text())
