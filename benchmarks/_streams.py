"""Streams completions from an address and notes when tokens arrive."""

import asyncio
import json

from pimentogap.streams import EventSplitter
from pimentogap.types import HttpRequest


class StreamReader:
    """Receives one streamed answer."""

    __slots__ = (
        "status",
        "first_token_s",
        "gaps_s",
        "tokens",
        "done",
        "_loop",
        "_last",
    )
    __slots__ += ("_splitter", "_began")

    def __init__(self, began):
        self.status = 0
        self.first_token_s = None
        self.gaps_s = []
        self.tokens = 0
        self.done = False
        self._loop = asyncio.get_running_loop()
        self._last = None
        self._began = began
        self._splitter = EventSplitter()

    def headers_received(self, status, headers):
        """Note the status."""
        self.status = status

    def data_received(self, chunk):
        """Note the events that ``chunk`` completes."""
        now = self._loop.time()
        for event in self._splitter.feed(chunk):
            if event.startswith(b"id: "):
                self._note(now)
            elif event == b"data: [DONE]":
                self.done = True

    def _note(self, now):
        if self._last is None:
            self.first_token_s = now - self._began
        else:
            self.gaps_s.append(now - self._last)
        self._last = now
        self.tokens += 1


async def stream(client, address, *, model, prompt, tokens, headers):
    """Stream one answer and return its `StreamReader`."""
    body = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": True}
    request = HttpRequest("POST", "/v1/completions", headers, json.dumps(body).encode())
    reader = StreamReader(asyncio.get_running_loop().time())
    await client.exchange(address, request, reader)
    return reader
