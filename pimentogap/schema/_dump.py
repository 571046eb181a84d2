"""Turns a checked data class back into plain data."""

from dataclasses import fields

from pimentogap.schema._shapes import Duration, Listing, Record, Size


def dump(instance):
    """Return ``instance`` as the plain data that `check` would accept."""
    return {
        item.name: _dump(item.metadata["shape"], getattr(instance, item.name))
        for item in fields(instance)
        if "shape" in item.metadata and getattr(instance, item.name) is not None
    }


def _dump(shape, value):
    match shape:
        case Duration():
            if value < 1 or value != int(value):
                return f"{value * 1000:.10g}ms"
            return f"{int(value)}s"
        case Size():
            return f"{value}B"
        case Listing(item):
            return [_dump(item, entry) for entry in value]
        case Record():
            return dump(value)
        case _:
            return value
