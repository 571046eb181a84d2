"""Streams completions from an address and records when their tokens arrive."""

import asyncio
import json

from pimentogap.streams import EventSplitter
from pimentogap.types import HttpRequest


class StreamReader:
    """Receives one streamed answer and records the arrival of its tokens.

    ``gaps_s`` lists the times between tokens; ``done`` tells whether the stream ended
    regularly.
    """

    __slots__ = (
        "status",
        "first_token_s",
        "gaps_s",
        "tokens",
        "done",
        "_loop",
        "_last_token_at",
    )
    __slots__ += ("_splitter", "_began")

    def __init__(self, started_at):
        self.status = 0
        self.first_token_s = None
        self.gaps_s = []
        self.tokens = 0
        self.done = False
        self._loop = asyncio.get_running_loop()
        self._last_token_at = None
        self._began = started_at
        self._splitter = EventSplitter()

    def headers_received(self, status, headers):
        """Record the status of the response."""
        self.status = status

    def data_received(self, chunk):
        """Record the arrival of each event that ``chunk`` completes."""
        now = self._loop.time()
        for event in self._splitter.feed(chunk):
            if event.startswith(b"id: "):
                self._record_token(now)
            elif event == b"data: [DONE]":
                self.done = True

    def _record_token(self, now):
        if self._last_token_at is None:
            self.first_token_s = now - self._began
        else:
            self.gaps_s.append(now - self._last_token_at)
        self._last_token_at = now
        self.tokens += 1


async def stream(client, address, *, model, prompt, tokens, headers):
    """Request one streamed completion; return its `StreamReader` once it has ended."""
    body = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": True}
    request = HttpRequest("POST", "/v1/completions", headers, json.dumps(body).encode())
    reader = StreamReader(asyncio.get_running_loop().time())
    await client.exchange(address, request, reader)
    return reader
