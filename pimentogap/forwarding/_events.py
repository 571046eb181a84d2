"""Takes complete events out of the bytes of an event stream."""

from pimentogap.errors import ResponseLost

MAX_EVENT_BYTES = 2**20
ID_FIELD = b"id:"


class EventCutter:
    """Holds back an unfinished event, and every event that was passed on before.

    ``last_id`` is the id of the last event that was passed on.
    """

    __slots__ = ("last_id", "_rest")

    def __init__(self, last_id=None):
        self.last_id = last_id
        self._rest = b""

    def restart(self):
        """Drop an unfinished event, since another run begins."""
        self._rest = b""

    @property
    def unfinished(self):
        """Tell whether the bytes so far end within an event."""
        return bool(self._rest.strip())

    def cut(self, chunk):
        """Return the bytes of the new complete events in ``chunk``.

        :raises ResponseLost: if an event is missing before the next one.
        """
        data = self._rest + chunk if self._rest else chunk
        end = data.rfind(b"\n\n")
        if end < 0:
            self._rest = data
            if len(data) > MAX_EVENT_BYTES:
                raise ResponseLost("an event is too large")
            return b""
        end += 2
        self._rest = data[end:]
        return self._select(data[:end])

    def _select(self, data):
        passed = []
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
            passed.append(event)
        return b"".join(event + b"\n\n" for event in passed)


def _event_id(event):
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
