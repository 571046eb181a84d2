"""The service that streams a completion from a replica to its caller."""

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
    has_finish_reason,
    token_offset,
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
    """A validated request for a completion.

    ``body`` is the parsed body for the replica; ``deadline`` is in seconds of
    the runtime's clock.
    """

    id: str
    service: str
    path: str
    body: dict
    priority: str
    deadline: float


@dataclass(frozen=True, slots=True)
class Finished:
    """The caller got the complete answer of ``tokens`` tokens."""

    tokens: int
    attempts: int


@dataclass(frozen=True, slots=True)
class Broken:
    """The answer is incomplete; ``started`` says if the caller may have part of it."""

    refusal: Refusal
    started: bool


class StreamService:
    """Streams completions and resumes them on another replica after a loss.

    The events of a replica carry token offsets. Each attempt asks for the
    answer from the next offset on, and an event whose offset was delivered
    before is dropped, so that the caller gets each token exactly once.

    ``open_count`` is the number of open streams, ``resumed_count`` the number of
    times that a stream lost its replica after its first token.
    """

    name = "streams"
    requires = ("routing",)
    __slots__ = (
        "_kernel",
        "_http",
        "_budgets_by_service",
        "open_count",
        "resumed_count",
    )

    def __init__(self, http):
        """Create the service.

        :param http: the HTTP client for replicas.
        """
        self._kernel = None
        self._http = http
        self._budgets_by_service = {}
        self.open_count = 0
        self.resumed_count = 0

    async def start(self, kernel):
        """Keep ``kernel`` for its clock and services."""
        self._kernel = kernel

    async def stop(self):
        """Leave open streams to the tasks of their requests, which end them."""

    async def relay(self, request, sink, trace):
        """Stream the answer to ``request`` into ``sink``.

        :param sink: an object whose ``write_events(data)`` is awaited with the bytes
            of one or more complete events.
        :param trace: the `pimentogap.traces.Trace` that records the attempts.
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
        budget.deposit()
        blocks = prefix_blocks(prompt_text(request.body))
        excluded = set()
        last_error = None
        for attempt in range(1, MAX_ATTEMPTS + 1):
            if attempt > 1 and not budget.try_withdraw():
                break
            routing = self._kernel.get("routing")
            match routing.decide(request.service, blocks=blocks, excluded=excluded):
                case Refuse(refusal):
                    trace.add_note("refused by routing", refusal.detail)
                    if excluded:
                        excluded.clear()
                    last_error = last_error or refusal
                    if not progress.may_have_run and attempt > 2:
                        return Broken(refusal, started=False)
                    await self._kernel.clock.sleep(RETRY_DELAY_S * attempt)
                case Forward(replica, considered):
                    trace.note_candidates(replica.server.id, considered)
                    try:
                        await self._attempt(request, replica, progress, attempt)
                        replica.add_cached_blocks(blocks)
                        return Finished(progress.next_offset, attempt)
                    except (BackendRefused, ConnectionFailed, ResponseLost) as error:
                        if isinstance(error, ResponseLost):
                            progress.may_have_run = True
                        trace.add_note("attempt lost", f"{replica.server.id}: {error}")
                        replica.record_failure(self._kernel.clock.time())
                        excluded.add(replica.server.id)
                        last_error = error
                        if progress.next_offset:
                            self.resumed_count += 1
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
        """Stream the remaining answer from one replica.

        :raises BackendRefused: if the replica answered with another status than 200.
        :raises ConnectionFailed: if the replica was not reached.
        :raises ResponseLost: if the answer stalled, ended early or was malformed.
        """
        receiver = _AttemptReceiver(self._kernel.clock, replica, progress)
        replica.request_started()
        sent_at = self._kernel.clock.time()
        exchange = asyncio.ensure_future(
            self._http.exchange(
                replica.server.address,
                _http_request(request, replica, progress, attempt),
                receiver,
            )
        )
        try:
            await self._wait_for_exchange(exchange, receiver)
        finally:
            replica.request_ended()
            if not exchange.done():
                exchange.cancel()
        if not progress.finished:
            raise ResponseLost("the stream ended before its last event")
        replica.record_success(self._kernel.clock.time() - sent_at)

    async def _wait_for_exchange(self, exchange, receiver):
        """Wait for the exchange to end.

        Time in which the caller is slow to read does not count as a stall.

        :raises ResponseLost: if the replica sends no event within the timeout.
        """
        while not exchange.done():
            timeout_s = FIRST_TOKEN_TIMEOUT_S
            if receiver.event_count:
                timeout_s = STALL_TIMEOUT_S
            seen_count, was_waiting = (
                receiver.event_count,
                receiver.is_waiting_for_caller,
            )
            await asyncio.wait([exchange], timeout=timeout_s)
            silent = receiver.event_count == seen_count and not (
                was_waiting or receiver.is_waiting_for_caller
            )
            if not exchange.done() and silent:
                raise ResponseLost(f"no event in {timeout_s:g} s")
        await exchange


class _Progress:
    """How much of the answer all attempts have delivered to the caller."""

    __slots__ = ("sink", "next_offset", "finished", "may_have_run")

    def __init__(self, sink):
        self.sink = sink
        self.next_offset = 0
        self.finished = False
        self.may_have_run = False


class _AttemptReceiver:
    """Delivers the events of one attempt, each token offset once and in order."""

    __slots__ = (
        "event_count",
        "is_waiting_for_caller",
        "_clock",
        "_replica",
        "_progress",
        "_splitter",
        "_sent_at",
        "_last_event_at",
    )

    def __init__(self, clock, replica, progress):
        self.event_count = 0
        self.is_waiting_for_caller = False
        self._clock = clock
        self._replica = replica
        self._progress = progress
        self._splitter = EventSplitter()
        self._sent_at = clock.time()
        self._last_event_at = None

    def headers_received(self, status, headers):
        if status != 200:
            raise BackendRefused(f"the backend server answered {status}")
        generation = headers.get(GENERATION_HEADER)
        if generation != self._replica.server.id:
            raise ResponseLost(f"the backend server holds {generation}")

    async def data_received(self, chunk):
        progress = self._progress
        out = []
        for event in self._splitter.feed(chunk):
            if event == DONE:
                continue
            if progress.finished:
                raise ResponseLost("an event after the last one")
            offset = token_offset(event)
            if offset < progress.next_offset:
                continue
            if offset > progress.next_offset:
                raise ResponseLost(f"token {progress.next_offset} is missing")
            out.append(event)
            if has_finish_reason(event):
                out.append(DONE)
                progress.finished = True
            else:
                progress.next_offset += 1
        if out:
            self._observe(len(out))
            self.is_waiting_for_caller = True
            try:
                await progress.sink.write_events(SEPARATOR.join(out) + SEPARATOR)
            finally:
                self.is_waiting_for_caller = False

    def _observe(self, count):
        now = self._clock.time()
        self.event_count += count
        if self._last_event_at is None:
            self._replica.observe_first_token(now - self._sent_at)
        else:
            self._replica.observe_step((now - self._last_event_at) / count)
        self._last_event_at = now


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
