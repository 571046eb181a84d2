"""Server-sent events of a completion, each with its token offset."""

import json

from pimentogap.errors import ResponseLost

SEPARATOR = b"\n\n"
DONE = b"data: [DONE]"
ID_PREFIX = b"id: "
MAX_EVENT_BYTES = 2**20


class EventSplitter:
    """Cuts a body into whole events."""

    __slots__ = ("_rest",)

    def __init__(self):
        self._rest = b""

    def feed(self, chunk):
        """Return the events that ``chunk`` completes, without their separators.

        :raises ResponseLost: if an event is too long to be one.
        """
        *events, self._rest = (self._rest + chunk).split(SEPARATOR)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ResponseLost("an event of the stream is too long")
        return events


def offset_of(event):
    """Return the token offset of ``event``.

    :raises ResponseLost: if the event carries none.
    """
    if event.startswith(ID_PREFIX):
        end = event.find(b"\n")
        number = event[len(ID_PREFIX) : end]
        if end > 0 and number.isdigit():
            return int(number)
    raise ResponseLost("an event of the stream has no token offset")


def is_last(event):
    """Return whether ``event`` is the one that carries the finish reason."""
    return b'"finish_reason": "' in event or b'"finish_reason":"' in event


def data_of(event):
    """Return the parsed data of ``event``.

    :raises ResponseLost: if it is not JSON.
    """
    _, _, data = event.partition(b"data: ")
    try:
        return json.loads(data)
    except ValueError:
        raise ResponseLost("an event of the stream is not JSON")
