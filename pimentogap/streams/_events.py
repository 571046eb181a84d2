"""Parses a completion's server-sent events, whose ids are token offsets."""

import json

from pimentogap.errors import ResponseLost
from pimentogap.types import decimal_or_none

SEPARATOR = b"\n\n"
DONE = b"data: [DONE]"
ID_PREFIX = b"id: "
MAX_EVENT_BYTES = 2**20


class EventSplitter:
    """Splits a body into complete events and buffers an incomplete one."""

    __slots__ = ("_buffer",)

    def __init__(self):
        self._buffer = b""

    def feed(self, chunk):
        """Return the events that ``chunk`` completes, without their separators.

        :raises ResponseLost: if an event exceeds `MAX_EVENT_BYTES`.
        """
        *events, self._buffer = (self._buffer + chunk).split(SEPARATOR)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ResponseLost("an event of the stream is too long")
        return events


def token_offset(event):
    """Return the token offset of ``event``.

    :raises ResponseLost: if the event has no numeric id.
    """
    if event.startswith(ID_PREFIX):
        end = event.find(b"\n")
        number = decimal_or_none(event[len(ID_PREFIX) : end])
        if end > 0 and number is not None:
            return number
    raise ResponseLost("an event of the stream has no token offset")


def has_finish_reason(event):
    """Return whether ``event`` has a finish reason, which ends the completion."""
    return b'"finish_reason": "' in event or b'"finish_reason":"' in event


def parse_event_data(event):
    """Return the parsed JSON data of ``event``.

    :raises ResponseLost: if the data is not JSON.
    """
    _, _, data = event.partition(b"data: ")
    try:
        return json.loads(data)
    except ValueError:
        raise ResponseLost("an event of the stream is not JSON")
