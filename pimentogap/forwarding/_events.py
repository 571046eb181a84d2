"""Extracts the new complete events from the bytes of an event stream."""

from pimentogap.errors import ResponseLost
from pimentogap.types import decimal_or_none

MAX_EVENT_BYTES = 2**20
ID_FIELD = b"id:"


class EventFilter:
    """Drops events that were delivered before, and buffers an incomplete one.

    ``last_id`` is the id of the last delivered event. An event without a
    numeric id is always delivered.
    """

    __slots__ = ("last_id", "_buffer")

    def __init__(self, last_id=None):
        self.last_id = last_id
        self._buffer = b""

    def discard_partial_event(self):
        """Discard an incomplete event, since the next attempt sends it again."""
        self._buffer = b""

    @property
    def has_partial_event(self):
        """Tell whether the bytes so far end within an event."""
        return bool(self._buffer.strip())

    def feed(self, chunk):
        """Return the bytes of the new events that ``chunk`` completes.

        :raises ResponseLost: if an event is too large, or if the ids have a gap.
        """
        data = self._buffer + chunk if self._buffer else chunk
        end = data.rfind(b"\n\n")
        if end < 0:
            self._buffer = data
            if len(data) > MAX_EVENT_BYTES:
                raise ResponseLost("an event is too large")
            return b""
        end += 2
        self._buffer = data[end:]
        return self._drop_delivered(data[:end])

    def _drop_delivered(self, data):
        new_events = []
        for event in data.split(b"\n\n"):
            if not event:
                continue
            number = _event_id(event)
            if number is not None:
                if self.last_id is not None and number <= self.last_id:
                    continue
                if self.last_id is not None and number > self.last_id + 1:
                    raise ResponseLost(f"event {self.last_id + 1} is missing")
                self.last_id = number
            new_events.append(event)
        return b"".join(event + b"\n\n" for event in new_events)


def _event_id(event):
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return decimal_or_none(line[len(ID_FIELD) :].strip())
    return None
