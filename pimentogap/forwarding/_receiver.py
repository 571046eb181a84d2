"""Receives the answer of one attempt and passes it on to the caller."""

import math
from dataclasses import dataclass

from pimentogap.buffers import AnswerAccount
from pimentogap.errors import ResponseLost
from pimentogap.forwarding._outcomes import Delivered, Failure, Lost, NotRun
from pimentogap.intake import ChunkMeter, ChunkTurns

# A plain answer up to this size is buffered until it is complete, as far as there is
# room, so that after a broken one the request can still be repeated or refused.
MAX_BUFFERED_BYTES = 2**20
# How much is read of a body that nobody gets, so that its connection can be kept.
MAX_UNUSED_BYTES = 64 * 1024
# Fewer bytes than this are no progress unless they complete an event: a backend server
# that sends a byte now and then has stalled.
MIN_PROGRESS_BYTES = 512
# Other tasks run after so much of a stream, since each event of it costs time.
BYTES_PER_TURN = 8192
# A caller that takes longer than this for some events may hold up the next ones.
SLOW_WRITE_S = 0.02
# Another backend server may have given the answer.
MISDIRECTED_STATUS = 421
# Callers do not wait longer than this.
MAX_RETURN_S = 60.0


@dataclass(frozen=True, slots=True)
class Objectives:
    """What a route wants of answers: the wait for them and between their events."""

    first_byte_s: float
    max_gap_s: float


NO_OBJECTIVES = Objectives(math.inf, math.inf)


class AnswerReceiver:
    """The receiver of one attempt's answer.

    A plain answer is buffered until it is complete, exceeds `MAX_BUFFERED_BYTES` or
    finds no room. The caller's answer to a stream begins with the first
    complete event, and later attempts continue the same answer. ``progress_at`` is
    when the head, an event or `MIN_PROGRESS_BYTES` last arrived; of a stream, only the
    bytes of an event count.
    """

    __slots__ = (
        "answer",
        "progress_at",
        "first_event_at",
        "_headers",
        "_body",
        "_unused_bytes",
        "_buffer",
        "_turns",
        "_meter",
        "_bytes_since_progress",
        "_partial_bytes",
        "_is_passing_through",
        "_codec",
        "_event_filter",
        "_load",
        "_latency",
        "_began_at",
        "_clock",
        "_request",
        "_record_wishes",
        "_objectives",
        "_is_caller_slow",
    )

    def __init__(
        self,
        request,
        load,
        latency,
        codec,
        clock,
        event_filter,
        record_wishes,
        objectives=NO_OBJECTIVES,
        buffer=None,
        turns=None,
    ):
        """Pass the answer on to the caller of ``request``.

        :param load: the `BackendLoad` of the backend server.
        :param latency: the `ModelLatency` of the model, for a stream.
        :param codec: reads and writes the platform's headers.
        :param event_filter: the stream's `EventFilter`, or ``None`` for a plain answer.
        :param record_wishes: called with the `BackendAnswer` once its head has arrived.
        :param objectives: the `Objectives` of the route.
        :param buffer: the `AnswerBuffer` that accounts for what is buffered; without
            one, the answers are not accounted for.
        :param turns: the `ChunkTurns` of streams, by default each has its own.
        """
        self.answer = None
        self.progress_at = clock.time()
        self.first_event_at = None
        self._headers = None
        self._body = bytearray()
        self._unused_bytes = 0
        self._buffer = buffer or AnswerAccount(math.inf).open()
        self._turns = turns or ChunkTurns(clock, only_under_load=True)
        self._meter = ChunkMeter()
        self._bytes_since_progress = 0
        self._partial_bytes = 0
        self._is_passing_through = False
        self._codec = codec
        self._event_filter = event_filter
        self._load = load
        self._latency = latency
        self._began_at = self.progress_at
        self._clock = clock
        self._request = request
        self._record_wishes = record_wishes
        self._objectives = objectives
        self._is_caller_slow = False
        if event_filter is not None:
            event_filter.begin_attempt()

    @property
    def attempt_id(self):
        """The id of the caller's attempt, which each backend server's answer names."""
        return self._request.needs.attempt_id

    def is_own_answer(self, status, headers, *, is_first):
        """Tell whether an answer has this request's attempt id.

        :param is_first: whether nothing was received on the connection before, so that
            an answer without an id can only be this request's.
        :raises ResponseLost: if any earlier request's answer might be repeated.
        """
        attempt_id = self._codec.decode_answer(status, headers).attempt_id
        if attempt_id is None and not is_first:
            raise ResponseLost("an answer without an id on a kept connection")
        return attempt_id is None or attempt_id == self.attempt_id

    async def headers_received(self, status, headers):
        """Record the answer's status and headers, and the load that they report."""
        self.answer = self._codec.decode_answer(status, headers)
        self._headers = headers
        self._record_progress()
        if self.answer.load is not None:
            self._load.record_report(self.answer.load, self.progress_at)
        if self.answer.attempt_id and self.answer.status != MISDIRECTED_STATUS:
            self._record_wishes(self.answer)

    async def data_received(self, chunk):
        """Pass on the complete part of ``chunk`` and buffer the remainder."""
        if self._event_filter is not None and self._is_valid_success():
            await self._pass_stream(chunk)
            return
        self._bytes_since_progress += len(chunk)
        if self._bytes_since_progress >= MIN_PROGRESS_BYTES:
            self._record_progress()
        if self._is_passing_through:
            await self._request.response.write(chunk)
        elif self._is_body_used():
            await self._buffer_chunk(chunk)
        else:
            self._drop_chunk(chunk)

    def _record_progress(self):
        now = self._clock.time()
        self.progress_at = now
        self._bytes_since_progress = 0
        self._load.record_progress(now)

    def conclude(self):
        """Return the outcome of an answer that ended normally."""
        if self._is_valid_success() and self._event_filter is not None:
            if self._event_filter.has_partial_event:
                return Lost("the stream ends within an event")
            if self.first_event_at is None and self._ends_with_connection():
                return Lost("the connection ended before the stream's first event")
            if not self._is_passing_through and not self._request.response.begun:
                self._begin_stream()
            if held := self._event_filter.take_held():
                self._request.response.send(held)
            self._request.response.finish()
            return Delivered(self.answer.status)
        if self._is_valid_success():
            return self._deliver_buffered()
        return self._failure_outcome()

    def _ends_with_connection(self):
        """Tell whether nothing but the end of the connection marks the answer's end."""
        headers = self._headers
        return "Content-Length" not in headers and "Transfer-Encoding" not in headers

    def _is_valid_success(self):
        answer = self.answer
        return 200 <= answer.status < 300 and answer.sealed and bool(answer.attempt_id)

    def _is_body_used(self):
        """Tell whether the caller may get the body, by the answer's head."""
        answer = self.answer
        is_own = answer.sealed and bool(answer.attempt_id)
        return is_own and (200 <= answer.status < 300 or not answer.not_run)

    async def _pass_stream(self, chunk):
        """Pass on what ``chunk`` completes, a part of it in each turn."""
        for start in range(0, len(chunk), BYTES_PER_TURN):
            if start:
                await self._clock.sleep(0)
            part = chunk[start : start + BYTES_PER_TURN]
            new = self._event_filter.feed(part)
            self._meter.record_bytes(len(part))
            buffered_bytes = self._event_filter.buffered_bytes
            has_changed = buffered_bytes != self._buffer.held_bytes
            if has_changed and not self._buffer.resize(buffered_bytes):
                raise ResponseLost("there is no room for an incomplete event")
            if new.count:
                self._record_event()
            else:
                self._record_partial_event()
            if new.data:
                await self._write(new.data)
            if new.lost:
                raise ResponseLost(new.lost)
            if self._meter.needs_turn(new.blocks):
                await self._turns.wait(self._meter.turns)

    async def _write(self, data):
        """Pass on events, and note whether the caller held up the next ones."""
        before = self._clock.time()
        await self._request.response.write(data)
        self._is_caller_slow = self._clock.time() - before > SLOW_WRITE_S

    def _record_partial_event(self):
        partial_bytes = self._event_filter.partial_bytes
        if partial_bytes - self._partial_bytes >= MIN_PROGRESS_BYTES:
            self._record_progress()
            self._partial_bytes = partial_bytes

    def _record_event(self):
        self._partial_bytes = 0
        waiting_since = self.progress_at
        self._record_progress()
        now = self.progress_at
        if self.first_event_at is None:
            self.first_event_at = now
            self._latency.record_first_event(now - self._began_at, now)
            self._record_wait(now)
        else:
            self._latency.record_gap(now - waiting_since, now)
            if not self._is_caller_slow:
                max_gap_s = self._objectives.max_gap_s or math.inf
                self._load.record_gap(now - waiting_since, max_gap_s, now)
        if not self._is_passing_through:
            self._is_passing_through = True
            if not self._request.response.begun:
                self._begin_stream()

    def _record_wait(self, now):
        """Record how long the answer, or a stream's first event, took."""
        slow_after_s = self._latency.slow_after_s(self._objectives.first_byte_s)
        self._load.record_first_event(now - self._began_at, slow_after_s, now)

    def _begin_stream(self):
        headers = [
            (name, value)
            for name, value in self._codec.response_headers(self._headers)
            if name.lower() != "content-length"
        ]
        self._request.response.begin(self.answer.status, headers)

    def _drop_chunk(self, chunk):
        self._unused_bytes += len(chunk)
        if self._unused_bytes > MAX_UNUSED_BYTES:
            raise ResponseLost("the body of an answer that cannot be used is too large")

    async def _buffer_chunk(self, chunk):
        size = len(self._body) + len(chunk)
        if size <= MAX_BUFFERED_BYTES and self._buffer.resize(size):
            self._body += chunk
            return
        if not self._is_valid_success():
            raise ResponseLost("there is no room for the body of the failure")
        self._is_passing_through = True
        response = self._request.response
        headers = self._codec.response_headers(self._headers)
        response.begin(self.answer.status, headers)
        if self._body:
            await response.write(self._take_body())
            self._buffer.release()
        await response.write(chunk)

    def discard(self):
        """Drop what is buffered, since the caller does not get it."""
        self._body = bytearray()
        self._buffer.release()

    def _take_body(self):
        body, self._body = self._body, bytearray()
        return body

    def _deliver_buffered(self):
        self._record_wait(self._clock.time())
        response = self._request.response
        if not self._is_passing_through:
            response.begin(self.answer.status, self._response_headers())
            response.send(self._take_body())
        response.finish()
        return Delivered(self.answer.status)

    def _failure_outcome(self):
        answer = self.answer
        if answer.not_run:
            return NotRun(answer.status, _usable_s(answer), answer.culprit)
        if 200 <= answer.status < 300 or not answer.sealed or not answer.attempt_id:
            return Lost(f"answer {answer.status} without seal or id")
        headers = self._response_headers()
        return Failure(answer.status, headers, self._take_body())

    def _response_headers(self):
        headers = self._codec.response_headers(self._headers)
        if not any(name.lower() == "content-length" for name, _ in headers):
            headers.append(("Content-Length", str(len(self._body))))
        return headers


def _usable_s(answer):
    """Return the answer's time to come back in seconds, ``None`` without one."""
    retry_after_s = answer.retry_after_s
    if retry_after_s is None or not 0 < retry_after_s <= MAX_RETURN_S:
        return None
    return retry_after_s
