"""The service that carries a completion from a replica to its caller."""

import asyncio
import json
from dataclasses import dataclass

from logbook import Logger

from pimentogap.errors import BackendRefused, ConnectionFailed, ResponseLost
from pimentogap.routing import Forward, Refuse, prefix_blocks, prompt_text
from pimentogap.streams._budget import RetryBudget
from pimentogap.streams._events import (
    DONE,
    SEPARATOR,
    EventSplitter,
    is_last,
    offset_of,
)
from pimentogap.types import HttpRequest, Refusal, RefusalCode, RunState, not_run

log = Logger("streams")

RETRY_DELAY_S = 0.05
MAX_ATTEMPTS = 6
FIRST_TOKEN_TIMEOUT_S = 30.0
STALL_TIMEOUT_S = 3.0
GENERATION_HEADER = "X-Generation"


@dataclass(frozen=True, slots=True, kw_only=True)
class CompletionRequest:
    """A request for a completion, checked and ready to be sent to a replica.

    ``body`` is what the replica gets; ``deadline`` is in seconds of the
    runtime's clock.
    """

    id: str
    service: str
    path: str
    body: dict
    priority: str
    deadline: float


@dataclass(frozen=True, slots=True)
class Finished:
    """The caller has the whole answer."""

    tokens: int
    attempts: int


@dataclass(frozen=True, slots=True)
class Broken:
    """The answer could not be completed; ``started`` says whether any was given."""

    refusal: Refusal
    started: bool


class StreamService:
    """Streams completions and resumes them on another replica after a loss.

    The events of a replica carry token offsets. Each attempt asks for the
    answer from the next offset on, and an event whose offset was delivered
    before is dropped, so that the caller gets each token once.
    """

    name = "streams"
    requires = ("routing",)
    __slots__ = ("_kernel", "_http", "_budgets_by_service", "open_count", "resumed")

    def __init__(self, http):
        """Prepare to reach replicas through ``http``."""
        self._kernel = None
        self._http = http
        self._budgets_by_service = {}
        self.open_count = 0
        self.resumed = 0

    async def start(self, kernel):
        """Take the clock and the other services of ``kernel``."""
        self._kernel = kernel

    async def stop(self):
        """Do nothing; streams end with the requests that they belong to."""

    async def relay(self, request, sink, trace):
        """Carry the answer to ``request`` to ``sink``.

        :param sink: an object whose ``event(event)`` is awaited for each event.
        :param trace: the `pimentogap.traces.Trace` that notes what is done.
        :return: `Finished` or `Broken`.
        """
        self.open_count += 1
        try:
            clock = self._kernel.clock
            async with clock.timeout(request.deadline - clock.time()):
                return await self._relay(request, _Progress(sink), trace)
        except TimeoutError:
            detail = "the deadline passed before the answer was complete"
            refusal = Refusal(RefusalCode.DEADLINE, RunState.MAY_HAVE_RUN, detail)
            return Broken(refusal, started=True)
        finally:
            self.open_count -= 1

    async def _relay(self, request, progress, trace):
        budget = self._budgets_by_service.setdefault(request.service, RetryBudget())
        budget.earn()
        blocks = prefix_blocks(prompt_text(request.body))
        excluded = set()
        last_error = None
        for attempt in range(1, MAX_ATTEMPTS + 1):
            if attempt > 1 and not budget.spend():
                break
            routing = self._kernel.get("routing")
            match routing.decide(request.service, blocks=blocks, excluded=excluded):
                case Refuse(refusal):
                    trace.note("refused by routing", refusal.detail)
                    if excluded:
                        excluded.clear()
                    last_error = last_error or refusal
                    if not progress.may_have_run and attempt > 2:
                        return Broken(refusal, started=False)
                    await self._kernel.clock.sleep(RETRY_DELAY_S * attempt)
                case Forward(replica, considered):
                    trace.considered(replica.server.id, considered)
                    try:
                        await self._attempt(request, replica, progress, attempt)
                        replica.remember(blocks)
                        return Finished(progress.next_offset, attempt)
                    except (BackendRefused, ConnectionFailed, ResponseLost) as error:
                        if isinstance(error, ResponseLost):
                            progress.may_have_run = True
                        trace.note("attempt lost", f"{replica.server.id}: {error}")
                        replica.failed(self._kernel.clock.time())
                        excluded.add(replica.server.id)
                        last_error = error
                        if progress.next_offset:
                            self.resumed += 1
                        await self._kernel.clock.sleep(RETRY_DELAY_S * (attempt - 1))
        return self._broken(progress, last_error)

    def _broken(self, progress, error):
        if not progress.may_have_run:
            if isinstance(error, Refusal):
                return Broken(error, started=False)
            code, detail = (
                RefusalCode.NO_CAPACITY,
                f"no backend server answered: {error}",
            )
            return Broken(not_run(code, detail, retry_after_s=1.0), started=False)
        detail = f"the backend server was lost: {error}"
        code = RefusalCode.UPSTREAM_LOST
        refusal = Refusal(code, RunState.MAY_HAVE_RUN, detail, 1.0)
        return Broken(refusal, started=progress.next_offset > 0)

    async def _attempt(self, request, replica, progress, attempt):
        """Carry as much of the answer as one replica gives.

        :raises ConnectionFailed: if the replica was not reached.
        :raises ResponseLost: if the answer ended early.
        """
        receiver = _AttemptReceiver(self._kernel.clock, replica, progress)
        replica.began()
        sent_at = self._kernel.clock.time()
        exchange = asyncio.ensure_future(
            self._http.exchange(
                replica.server.address,
                _http_request(request, replica, progress, attempt),
                receiver,
            )
        )
        try:
            await self._watch_progress(exchange, receiver)
        finally:
            replica.ended()
            if not exchange.done():
                exchange.cancel()
        if not progress.finished:
            raise ResponseLost("the stream ended before its last event")
        replica.succeeded(self._kernel.clock.time() - sent_at)

    async def _watch_progress(self, exchange, receiver):
        """Wait for the exchange to end; give it up when the replica falls silent."""
        while not exchange.done():
            limit_s = FIRST_TOKEN_TIMEOUT_S
            if receiver.events:
                limit_s = STALL_TIMEOUT_S
            seen, held_back = receiver.events, receiver.held_back
            await asyncio.wait([exchange], timeout=limit_s)
            silent = receiver.events == seen and not (held_back or receiver.held_back)
            if not exchange.done() and silent:
                raise ResponseLost(f"no event in {limit_s:g} s")
        await exchange


class _Progress:
    """How much of the answer the caller has, over all attempts."""

    __slots__ = ("sink", "next_offset", "finished", "may_have_run")

    def __init__(self, sink):
        self.sink = sink
        self.next_offset = 0
        self.finished = False
        self.may_have_run = False


class _AttemptReceiver:
    """Passes the events of one attempt on, each offset once and in order."""

    __slots__ = (
        "events",
        "held_back",
        "_clock",
        "_replica",
        "_progress",
        "_splitter",
        "_sent_at",
        "_last_at",
    )

    def __init__(self, clock, replica, progress):
        self.events = 0
        self.held_back = False
        self._clock = clock
        self._replica = replica
        self._progress = progress
        self._splitter = EventSplitter()
        self._sent_at = clock.time()
        self._last_at = None

    def headers_received(self, status, headers):
        if status != 200:
            raise BackendRefused(f"the backend server answered {status}")
        held = headers.get(GENERATION_HEADER)
        if held != self._replica.server.id:
            raise ResponseLost(f"the backend server holds {held}")

    async def data_received(self, chunk):
        progress = self._progress
        out = []
        for event in self._splitter.feed(chunk):
            if event == DONE:
                continue
            if progress.finished:
                raise ResponseLost("an event after the last one")
            offset = offset_of(event)
            if offset < progress.next_offset:
                continue
            if offset > progress.next_offset:
                raise ResponseLost(f"token {progress.next_offset} is missing")
            out.append(event)
            if is_last(event):
                out.append(DONE)
                progress.finished = True
            else:
                progress.next_offset += 1
        if out:
            self._observe(len(out))
            self.held_back = True
            try:
                await progress.sink.events(SEPARATOR.join(out) + SEPARATOR)
            finally:
                self.held_back = False

    def _observe(self, count):
        now = self._clock.time()
        self.events += count
        if self._last_at is None:
            self._replica.observe_first_token(now - self._sent_at)
        else:
            self._replica.observe_step((now - self._last_at) / count)
        self._last_at = now


def _http_request(request, replica, progress, attempt):
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": request.id,
        "X-Attempt": str(attempt),
        "X-Priority": request.priority,
        GENERATION_HEADER: replica.server.id,
    }
    if progress.next_offset:
        headers["X-Resume-From"] = str(progress.next_offset)
    body = json.dumps({**request.body, "stream": True}).encode()
    return HttpRequest("POST", request.path, headers, body)
