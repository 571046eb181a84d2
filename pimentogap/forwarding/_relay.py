"""Receives the answer of one send and passes it on to the caller."""

from pimentogap.errors import ResponseLost
from pimentogap.forwarding._outcomes import Delivered, Failure, Lost, NotRun

# Answers up to this size are held until they are whole, so that a broken one
# can still be repeated or refused.
MAX_HELD_BYTES = 2**20


class Relay:
    """The receiver of one send; ``outcome`` is set when the answer has ended.

    A plain answer is held until it is whole. A stream begins at the caller with
    its first complete event, and later runs go on in the same answer.
    """

    __slots__ = (
        "answer",
        "progress_at",
        "first_event_at",
        "_headers",
        "_held",
        "_held_size",
        "_passing",
        "_codec",
        "_cutter",
        "_load",
        "_clock",
        "_request",
    )

    def __init__(self, request, load, codec, clock, cutter):
        """Relay to ``request``.

        :param load: the `BackendLoad` of the backend server.
        :param codec: reads and writes the platform's headers.
        :param cutter: the stream's `EventCutter`, or ``None`` for a plain answer.
        """
        self.answer = None
        self.progress_at = clock.time()
        self.first_event_at = None
        self._headers = None
        self._held = []
        self._held_size = 0
        self._passing = False
        self._codec = codec
        self._cutter = cutter
        self._load = load
        self._clock = clock
        self._request = request
        if cutter is not None:
            cutter.restart()

    def owns(self, status, headers):
        """Tell whether an answer is to this request, by the id that it repeats."""
        attempt_id = self._codec.answer(status, headers).attempt_id
        return attempt_id is None or attempt_id == self._request.needs.attempt_id

    async def headers_received(self, status, headers):
        """Note the head of the answer."""
        self.answer = self._codec.answer(status, headers)
        self._headers = headers
        now = self._clock.time()
        self.progress_at = now
        self._load.progressed(now)
        if self.answer.load is not None:
            self._load.report(self.answer.load, now)

    async def data_received(self, chunk):
        """Pass on what is complete of ``chunk``, and hold the rest."""
        now = self._clock.time()
        self.progress_at = now
        if self._cutter is not None and self._good():
            self._load.progressed(now)
            await self._pass_events(chunk)
        elif self._passing:
            await self._request.response.write(chunk)
        else:
            await self._hold(chunk)

    def finished(self):
        """Return the outcome of an answer that arrived whole."""
        if self._good() and self._cutter is not None:
            if self._cutter.unfinished:
                return Lost("the stream ends within an event")
            if not self._passing and not self._request.response.begun:
                self._begin_stream()
            self._request.response.finish()
            return Delivered(self.answer.status)
        if self._good():
            return self._deliver_held()
        return self._failed()

    def _good(self):
        answer = self.answer
        return 200 <= answer.status < 300 and answer.sealed and bool(answer.attempt_id)

    async def _pass_events(self, chunk):
        data = self._cutter.cut(chunk)
        if not data:
            return
        if self.first_event_at is None:
            self.first_event_at = self.progress_at
        if not self._passing:
            self._passing = True
            if not self._request.response.begun:
                self._begin_stream()
        await self._request.response.write(data)

    def _begin_stream(self):
        headers = [
            (name, value)
            for name, value in self._codec.returned(self._headers)
            if name.lower() != "content-length"
        ]
        self._request.response.begin(self.answer.status, headers)

    async def _hold(self, chunk):
        self._held.append(chunk)
        self._held_size += len(chunk)
        if self._held_size <= MAX_HELD_BYTES:
            return
        if not self._good():
            raise ResponseLost("the failure's body is too large")
        self._passing = True
        self._request.response.begin(
            self.answer.status, self._codec.returned(self._headers)
        )
        await self._request.response.write(b"".join(self._held))
        self._held.clear()

    def _deliver_held(self):
        response = self._request.response
        if not self._passing:
            response.begin(self.answer.status, self._returned_headers())
            response.send(b"".join(self._held))
        response.finish()
        return Delivered(self.answer.status)

    def _failed(self):
        answer = self.answer
        if answer.not_run:
            return NotRun(answer.status, answer.retry_after_s, answer.culprit)
        if 200 <= answer.status < 300 or not answer.sealed or not answer.attempt_id:
            return Lost(f"answer {answer.status} without seal or id")
        return Failure(answer.status, self._returned_headers(), b"".join(self._held))

    def _returned_headers(self):
        headers = self._codec.returned(self._headers)
        if not any(name.lower() == "content-length" for name, _ in headers):
            size = sum(len(part) for part in self._held)
            headers.append(("Content-Length", str(size)))
        return headers
