"""Writes log lines to standard output without ever waiting for it."""

import json
import os

import logbook

# About 2 MB of lines at their usual size; the rest is dropped and counted.
MAX_PENDING_BYTES = 2 * 2**20
# Lines of ordinary decisions in a second; problems are always written.
MAX_LINES_PER_S = 400


class LineSink:
    """A bounded buffer in front of a descriptor that does not block."""

    __slots__ = ("_descriptor", "_pending", "dropped")

    def __init__(self, descriptor):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = bytearray()
        self.dropped = 0

    def write(self, line):
        """Queue ``line`` (bytes); drop it if too much waits already."""
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending += line

    def flush(self):
        """Write what the descriptor takes now."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        del self._pending[:written]


class DecisionHandler(logbook.Handler):
    """Writes each record as a line of JSON, its arguments as fields."""

    __slots__ = ("_sink", "_clock", "_second", "_lines", "suppressed")

    def __init__(self, sink, clock, *, level):
        super().__init__(level=level)
        self._sink = sink
        self._clock = clock
        self._second = 0
        self._lines = 0
        self.suppressed = 0

    def emit(self, record):
        """Queue ``record``, unless this second has had its share of lines."""
        now_s = self._clock()
        if not self._admits(int(now_s), record.level):
            self.suppressed += 1
            return
        line = {
            "t": round(now_s, 3),
            "level": record.level_name.lower(),
            "channel": record.channel,
            "event": record.message if record.args else record.msg,
            **record.kwargs,
        }
        if record.exc_info:
            line["exception"] = record.formatted_exception
        self._sink.write(json.dumps(line, default=str).encode() + b"\n")

    def _admits(self, second, level):
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= MAX_LINES_PER_S or level >= logbook.WARNING


def install_decision_log(*, level, clock, descriptor=1):
    """Send log records to standard output for the rest of the process.

    :param level: the name of the lowest level that is written.
    :param clock: returns seconds since the epoch.
    :return: the `LineSink`, which somebody must flush regularly.
    """
    sink = LineSink(descriptor)
    handler = DecisionHandler(sink, clock, level=logbook.lookup_level(level))
    logbook.NullHandler().push_application()
    handler.push_application()
    return sink
