"""Writes log lines to standard output without blocking on it."""

import json
import os

import logbook

# Lines that do not fit into this buffer of 2 MiB are dropped and counted.
MAX_PENDING_BYTES = 2 * 2**20
# Records below WARNING that exceed this rate are suppressed.
MAX_LINES_PER_S = 400


class LineSink:
    """A bounded buffer in front of a non-blocking file descriptor.

    ``dropped`` counts the lines that did not fit into the buffer.
    """

    __slots__ = ("_descriptor", "_pending", "dropped")

    def __init__(self, descriptor):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = bytearray()
        self.dropped = 0

    def write(self, line):
        """Buffer ``line`` (bytes), or drop it if it does not fit into the buffer."""
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending += line

    def flush(self):
        """Write as much as the descriptor accepts without blocking."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        del self._pending[:written]


class DecisionHandler(logbook.Handler):
    """Writes each record as a line of JSON, with its keyword arguments as fields.

    ``suppressed`` counts the records above the rate limit.
    """

    __slots__ = ("_sink", "_clock", "_current_second", "_lines_in_second", "suppressed")

    def __init__(self, sink, clock, *, level):
        super().__init__(level=level)
        self._sink = sink
        self._clock = clock
        self._current_second = 0
        self._lines_in_second = 0
        self.suppressed = 0

    def emit(self, record):
        """Buffer ``record``, unless it exceeds the rate limit of the current second."""
        now_s = self._clock()
        if not self._is_within_rate(int(now_s), record.level):
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

    def _is_within_rate(self, second, level):
        if second != self._current_second:
            self._current_second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        return self._lines_in_second <= MAX_LINES_PER_S or level >= logbook.WARNING


def install_decision_log(*, level, clock, descriptor=1):
    """Write log records to standard output until the process ends.

    :param level: the name of the lowest level that is written.
    :param clock: a function that returns seconds since the epoch.
    :param descriptor: the file descriptor to write to, standard output by default;
        it becomes non-blocking.
    :return: the `LineSink`, which the caller must flush regularly.
    """
    sink = LineSink(descriptor)
    handler = DecisionHandler(sink, clock, level=logbook.lookup_level(level))
    logbook.NullHandler().push_application()
    handler.push_application()
    return sink
