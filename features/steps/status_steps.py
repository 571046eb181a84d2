"""Steps for the statuses of answers, over loopback sockets."""

import asyncio
from functools import partial

from behave import given, then, when

from features.steps.name_steps import sample_backend
from pimentogap.errors import ResponseLost, StoreAnswerLost, StoreError
from pimentogap.forwarding._outcomes import Delivered, Failure, NotRun
from pimentogap.forwarding._receiver import AnswerReceiver
from pimentogap.kernel import Clock
from pimentogap.placement import BackendLoad, ModelLatency
from pimentogap.platform import HttpEngines, ObjectTransport, PlatformHeaders
from pimentogap.store import Get
from pimentogap.types import OpenGroup, OrderUnanswered, RequestNeeds
from pimentogap.web import BackendPool, HttpClient

STATUSES = range(1000)
ID_FIELD = "X-Pimentogap-Attempt-Id"
LIMIT_S = 2.0


class PlainRequest:
    """A request whose response keeps the statuses that its caller gets."""

    __slots__ = ("needs", "response", "begun", "statuses")

    def __init__(self, attempt_id):
        self.needs = RequestNeeds(attempt_id=attempt_id)
        self.response = self
        self.begun = False
        self.statuses = []

    def begin(self, status, headers):
        self.begun = True
        self.statuses.append(status)

    def send(self, chunk):
        """Discard a part of the answer."""

    def finish(self):
        """Accept the end of the answer."""


async def answer(line_of, reader, writer):
    """Answer each request with a status line, the id that it has and a seal."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            _, _, rest = head.partition(f"{ID_FIELD}: ")
            id_ = rest.partition("\r\n")[0]
            if "Content-Length: " in head:
                length = head.partition("Content-Length: ")[2].partition("\r\n")[0]
                await reader.readexactly(int(length))
            fields = f"{ID_FIELD}: {id_}\r\nX-Pimentogap-Replica-Seal: s\r\n"
            text = f"{line_of(head)}\r\n{fields}Content-Length: 2\r\n\r\n{{}}"
            writer.write(text.encode("latin-1"))
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def asked_status(head):
    return f"HTTP/1.1 {int(head.split('status-')[1][:3]):03d} Text"


@given("a server over sockets that answers with the status that it is asked for")
def given_asked(context):
    context.serve = partial(answer, asked_status)


@given('a server over sockets that answers with the line "{line}"')
def given_line(context, line):
    text = line.encode().decode("unicode_escape")
    context.serve = partial(answer, lambda head: text)


async def with_server(context, use):
    server = await asyncio.start_server(context.serve, "127.0.0.1", 0)
    address = "{}:{}".format(*server.sockets[0].getsockname())
    try:
        return await use(address)
    finally:
        server.close()


async def attempt(pool, address, name):
    """Return the outcome of an attempt, or its error, and the caller's statuses."""
    request = PlainRequest(name)
    receiver = AnswerReceiver(
        request,
        BackendLoad("b", 1),
        ModelLatency(),
        PlatformHeaders(),
        Clock(),
        None,
        lambda answer: None,
    )
    headers = [("Host", "x"), (ID_FIELD, name)]
    try:
        async with asyncio.timeout(LIMIT_S):
            await pool.exchange(
                address, "GET", "/", headers, b"", receiver, fresh=False, connect_s=1.0
            )
        return receiver.conclude(), request.statuses
    except (ResponseLost, TimeoutError) as error:
        return error, request.statuses


@when("each status from 0 to 999 is asked for")
def when_each(context):
    async def ask(address):
        pool = BackendPool()
        context.results = {
            status: await attempt(pool, address, f"status-{status:03d}")
            for status in STATUSES
        }
        context.last = await attempt(pool, address, "status-200")
        pool.close()

    asyncio.run(with_server(context, ask))


@then("those from 200 to 599 are the caller's, but for 421, which was not run")
def then_callers(context):
    for status in range(200, 600):
        outcome, statuses = context.results[status]
        match outcome:
            case Delivered(code):
                assert code == status < 300 and statuses == [status], outcome
            case Failure(code):
                assert code == status >= 300 and not statuses, outcome
            case NotRun(code):
                assert code == status == 421 and not statuses, outcome
            # These have no body, and the server sends one.
            case ResponseLost():
                assert status in (204, 304), (status, outcome)
            case _:
                raise AssertionError((status, outcome))


@then("all others are lost, and the server can be asked again")
def then_lost(context):
    for status in (*range(200), *range(600, 1000)):
        outcome, statuses = context.results[status]
        # Nothing follows an interim answer of this server.
        expected = TimeoutError if 100 <= status < 200 else ResponseLost
        is_expected = isinstance(outcome, expected | ResponseLost)
        assert is_expected and not statuses, (status, outcome, statuses)
    assert context.last == (Delivered(200), [200]), context.last


@when("it is asked once")
def when_once(context):
    async def ask(address):
        pool = BackendPool()
        context.results = await attempt(pool, address, "status-200")
        pool.close()

    asyncio.run(with_server(context, ask))


@then("the answer is lost, and nothing reached the caller")
def then_nothing(context):
    outcome, statuses = context.results
    assert isinstance(outcome, ResponseLost) and not statuses, context.results


@when("each status from 0 to 999 is the answer to an order and to a read of the store")
def when_ordered(context):
    async def ask(address):
        client = HttpClient()
        engines, store = HttpEngines(client), ObjectTransport(client, address)
        context.orders, context.reads = {}, {}
        for status in (*range(100), *range(200, 1000)):
            name = f"status-{status:03d}"
            backend = sample_backend(name, address)
            order = OpenGroup(name, 1)
            try:
                context.orders[status] = await engines.order(backend, order, fence=1)
            except Exception as error:
                context.orders[status] = error
            try:
                context.reads[status] = await store.call(
                    Get("things", name), timeout_s=1.0
                )
            except StoreError as error:
                context.reads[status] = error
        client.close()

    asyncio.run(with_server(context, ask))


@then("each order and each read with a status outside of 200 to 599 is unanswered")
def then_unanswered(context):
    for status, outcome in context.orders.items():
        is_unanswered = isinstance(outcome, OrderUnanswered)
        # The server sends a body with 204, which has none.
        is_lost = not 200 <= status < 600 or status == 204
        assert is_unanswered == is_lost, (status, outcome)
    for status, outcome in context.reads.items():
        if not 200 <= status < 600:
            assert isinstance(outcome, StoreAnswerLost), (status, outcome)
