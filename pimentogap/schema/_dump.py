"""Dumps a checked data class as plain data."""

from dataclasses import fields

from pimentogap.schema._shapes import Duration, Listing, Record, Size


def dump(instance):
    """Return ``instance`` as plain data that `check` accepts."""
    return {
        item.name: _dump_value(item.metadata["shape"], getattr(instance, item.name))
        for item in fields(instance)
        if "shape" in item.metadata and getattr(instance, item.name) is not None
    }


def _dump_value(shape, value):
    match shape:
        case Duration():
            if value < 1 or value != int(value):
                return f"{value * 1000:.10g}ms"
            return f"{int(value)}s"
        case Size():
            return f"{value}B"
        case Listing(item):
            return [_dump_value(item, entry) for entry in value]
        case Record():
            return dump(value)
        case _:
            return value
