"""Extracts the new complete events from the bytes of an event stream."""

import re
from dataclasses import dataclass

from pimentogap.types import exact_decimal_or_none

MAX_EVENT_BYTES = 2**20
# Between two events that the caller wants. A server that starts its stream anew sends
# what was delivered before again.
MAX_BYTES_WITHOUT_EVENT = 2**18
MAX_BLOCKS_WITHOUT_EVENT = 4096
ID_FIELD = b"id:"
DATA_FIELD = b"data:"
COMMENT = b":"
CR = b"\r"
EMPTY_LINE = b"\n\n"
LINE_END = re.compile(rb"\r\n|\n|\r")
# An empty line and the end of the line before it. The last byte of CR LF may be on its
# way still, which it is not where lines end with CR alone.
EVENT_END = re.compile(rb"(?>\r\n|\n)(?>\r\n|\n|\r(?!\Z))|\r\r")
# Its longest form but for the last byte.
MAX_SPLIT_BYTES = 3


@dataclass(frozen=True, slots=True)
class NewEvents:
    """The bytes to pass on, and how many events they have that the caller wants.

    ``blocks`` is how many blocks were read for that, those that are dropped included.
    ``lost`` says why the stream cannot go on after them, if it cannot.
    """

    data: bytes
    count: int
    blocks: int = 0
    lost: str | None = None


NOTHING_NEW = NewEvents(b"", 0)


class EventFilter:
    """Drops events that were delivered before, and buffers an incomplete one.

    ``last_id`` is the id of the last delivered event, as text. What has no number for
    an id is always delivered, but comments before the first event only with it; since
    a server that starts anew sends it again, ``can_resume`` is false from then on. A
    comment and an event without data or new id are no events that the caller wants,
    and only so many may come between two that are.

    Ids grow by one, unless two attempts agree on a larger step.
    """

    __slots__ = (
        "last_id",
        "can_resume",
        "_last_number",
        "_gap",
        "_has_uneven_ids",
        "_buffer",
        "_held",
        "_has_begun",
        "_idle_bytes",
        "_idle_blocks",
    )

    def __init__(self, last_id=None):
        """Begin after the event ``last_id``, which the caller has."""
        self.last_id = last_id
        self.can_resume = True
        self._last_number = exact_decimal_or_none((last_id or "").strip())
        self._gap = None
        self._has_uneven_ids = False
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

        The stream is lost if an event is too large, the ids have a gap, or too much
        comes without an event.
        """
        searched = max(0, len(self._buffer) - MAX_SPLIT_BYTES)
        self._buffer += chunk
        spans = _find_ends(self._buffer, searched)
        if not spans:
            if len(self._buffer) > MAX_EVENT_BYTES:
                return NewEvents(b"", 0, lost="an event is too large")
            return NOTHING_NEW
        end = spans[-1][1]
        data = bytes(self._buffer[:end])
        del self._buffer[:end]
        kept, count, lost = self._drop_delivered(data, spans)
        if count or self._has_begun:
            self._has_begun = True
            return NewEvents(self.take_held() + kept, count, len(spans), lost)
        self._held += kept
        return NewEvents(b"", 0, len(spans), lost)

    def take_held(self):
        """Return what came before the first event, to be passed on now."""
        held, self._held = self._held, b""
        return held

    def _drop_delivered(self, data, spans):
        """Read ``data``, whose blocks end at ``spans``.

        :return: the bytes to pass on, the number of events in them, and why the stream
            is lost after them, if it is.
        """
        kept = []
        count = 0
        begin = 0
        lost = None
        for block_end, end in spans:
            block, with_end = data[begin:block_end], data[begin:end]
            begin = end
            lines = _split_lines(block)
            id_ = _event_id(lines)
            number = exact_decimal_or_none(id_) if id_ is not None else None
            if number is not None and (lost := self._find_gap(number)):
                break
            is_event = id_ is not None or _has_data(lines)
            is_new = number is None or self._record_number(number)
            if block and is_new:
                kept.append(with_end)
            if not is_event or not is_new:
                if lost := self._record_idle(with_end):
                    break
                continue
            count += 1
            self._idle_bytes = self._idle_blocks = 0
            self.can_resume = self.can_resume and number is not None
            if id_ is not None:
                # Such that a library that writes Latin-1 sends it as it came.
                self.last_id = id_.decode("latin-1")
        return b"".join(kept), count, lost

    def _find_gap(self, number):
        """Return what is missing before event ``number``, ``None`` if nothing is."""
        last = self._last_number
        if last is None or number <= last + 1 or self._has_uneven_ids:
            return None
        if self._gap == (last, number):
            self._has_uneven_ids = True
            return None
        self._gap = last, number
        return f"event {last + 1} is missing"

    def _record_number(self, number):
        """Record the number of an event; return whether it is a new one."""
        if self._last_number is not None and number <= self._last_number:
            return False
        self._last_number = number
        return True

    def _record_idle(self, block):
        """Count a block without a new event; return why the stream is lost, if so."""
        self._idle_bytes += len(block)
        self._idle_blocks += 1
        if (
            self._idle_bytes > MAX_BYTES_WITHOUT_EVENT
            or self._idle_blocks > MAX_BLOCKS_WITHOUT_EVENT
        ):
            return f"{self._idle_bytes} bytes came without a new event"
        return None


def _find_ends(buffer, begin):
    """Return the spans of the ends of events in ``buffer`` from ``begin`` on."""
    if CR in buffer:
        return [match.span() for match in EVENT_END.finditer(buffer, begin)]
    spans = []
    while (at := buffer.find(EMPTY_LINE, begin)) >= 0:
        begin = at + len(EMPTY_LINE)
        spans.append((at, begin))
    return spans


def _split_lines(block):
    return LINE_END.split(block) if CR in block else block.split(b"\n")


def _event_id(lines):
    """Return the id of an event as it stands there, ``None`` if it has none."""
    for line in lines:
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip()
    return None


def _has_data(lines):
    return any(
        line.startswith(DATA_FIELD) and line[len(DATA_FIELD) :].strip()
        for line in lines
    )
