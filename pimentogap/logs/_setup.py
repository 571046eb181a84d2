"""Log lines as JSON or text, each with the trace id of its request or decision."""

import json
import sys
from contextvars import ContextVar

import logbook

TEXT_FORMAT = (
    "{record.time:%H:%M:%S.%f} {record.level_name:<7} {record.extra[trace_id]:<16} "
    "{record.channel}: {record.message}"
)

trace_id = ContextVar("trace_id", default="-")


class JsonHandler(logbook.StreamHandler):
    """Writes each record as a line with one JSON object."""

    __slots__ = ()

    def format(self, record):
        """Return ``record`` as one line of JSON."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name,
            "channel": record.channel,
            "trace_id": record.extra["trace_id"],
            "message": record.message,
        }
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return json.dumps(line, ensure_ascii=False)


def install_logs(*, form, level, stream=None):
    """Write log records to ``stream`` until the process ends.

    :param form: ``json`` or ``text``.
    :param level: the name of the lowest level that is written.
    :param stream: a text stream; standard error by default.
    """
    stream = stream or sys.stderr
    level = logbook.lookup_level(level)
    if form == "json":
        handler = JsonHandler(stream, level=level)
    else:
        handler = logbook.StreamHandler(stream, level=level, format_string=TEXT_FORMAT)
    logbook.Processor(_add_trace_id).push_application()
    logbook.NullHandler().push_application()
    handler.push_application()


def _add_trace_id(record):
    record.extra["trace_id"] = trace_id.get()
