"""Extracts the new complete events from the bytes of an event stream."""

from dataclasses import dataclass

from pimentogap.errors import ResponseLost
from pimentogap.types import decimal_or_none

MAX_EVENT_BYTES = 2**20
# Between two events that the caller wants. A server that starts its stream anew sends
# what was delivered before again.
MAX_BYTES_WITHOUT_EVENT = 2**18
MAX_BLOCKS_WITHOUT_EVENT = 4096
ID_FIELD = b"id:"
DATA_FIELD = b"data:"
COMMENT = b":"


@dataclass(frozen=True, slots=True)
class NewEvents:
    """The bytes to pass on, and how many events they have that the caller wants.

    ``blocks`` is how many blocks were read for that, those that are dropped included.
    """

    data: bytes
    count: int
    blocks: int = 0


NOTHING_NEW = NewEvents(b"", 0)


class EventFilter:
    """Drops events that were delivered before, and buffers an incomplete one.

    ``last_id`` is the id of the last delivered event. What has no numeric id is always
    delivered, but comments before the first event only with it. A comment and an event
    without data or new id are no events that the caller wants, and only so many may
    come between two that are.
    """

    __slots__ = (
        "last_id",
        "_buffer",
        "_held",
        "_has_begun",
        "_idle_bytes",
        "_idle_blocks",
    )

    def __init__(self, last_id=None):
        self.last_id = last_id
        self._buffer = bytearray()
        self._held = b""
        self._has_begun = False
        self._idle_bytes = 0
        self._idle_blocks = 0

    def begin_attempt(self):
        """Discard an incomplete event, since the next attempt sends it again."""
        self._buffer.clear()
        self._held = b""
        self._idle_bytes = 0
        self._idle_blocks = 0

    @property
    def has_partial_event(self):
        """Tell whether the bytes so far end within an event."""
        return bool(self._buffer.strip())

    @property
    def buffered_bytes(self):
        """Return how many bytes are kept for later."""
        return len(self._buffer) + len(self._held)

    @property
    def partial_bytes(self):
        """Return how many bytes an incomplete event has so far, 0 for a comment."""
        return 0 if self._buffer.startswith(COMMENT) else len(self._buffer)

    def feed(self, chunk):
        """Return the `NewEvents` that ``chunk`` completes.

        :raises ResponseLost: if an event is too large, the ids have a gap, or too much
            comes without an event.
        """
        searched = max(0, len(self._buffer) - 1)
        self._buffer += chunk
        end = self._buffer.rfind(b"\n\n", searched)
        if end < 0:
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise ResponseLost("an event is too large")
            return NOTHING_NEW
        end += 2
        data = bytes(self._buffer[:end])
        del self._buffer[:end]
        new = self._drop_delivered(data)
        if not new.count and not self._has_begun:
            self._held += new.data
            return NewEvents(b"", 0, new.blocks)
        self._has_begun = True
        return NewEvents(self.take_held() + new.data, new.count, new.blocks)

    def take_held(self):
        """Return what came before the first event, to be passed on now."""
        held, self._held = self._held, b""
        return held

    def _drop_delivered(self, data):
        blocks = []
        count = 0
        found = data[:-2].split(b"\n\n")
        for block in found:
            if not block:
                self._record_idle(block)
                continue
            number = _event_id(block)
            if number is not None and self._was_delivered(number):
                self._record_idle(block)
                continue
            blocks.append(block)
            if number is not None or _has_data(block):
                count += 1
                self._idle_bytes = self._idle_blocks = 0
            else:
                self._record_idle(block)
        data = b"".join(block + b"\n\n" for block in blocks)
        return NewEvents(data, count, len(found))

    def _was_delivered(self, number):
        """Return whether event ``number`` was delivered; else record that it is."""
        if self.last_id is not None and number <= self.last_id:
            return True
        if self.last_id is not None and number > self.last_id + 1:
            raise ResponseLost(f"event {self.last_id + 1} is missing")
        self.last_id = number
        return False

    def _record_idle(self, block):
        self._idle_bytes += len(block) + 2
        self._idle_blocks += 1
        if (
            self._idle_bytes > MAX_BYTES_WITHOUT_EVENT
            or self._idle_blocks > MAX_BLOCKS_WITHOUT_EVENT
        ):
            raise ResponseLost(f"{self._idle_bytes} bytes came without a new event")


def _event_id(block):
    for line in block.split(b"\n"):
        if line.startswith(ID_FIELD):
            return decimal_or_none(line[len(ID_FIELD) :].strip())
    return None


def _has_data(block):
    return any(
        line.startswith(DATA_FIELD) and line[len(DATA_FIELD) :].strip()
        for line in block.split(b"\n")
    )
