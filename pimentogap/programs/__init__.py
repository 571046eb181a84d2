"""The command-line programs; each reads its arguments and runs services.

A program is imported when it is first used: the modules of all of them take three times
as long to import as those of one, and a fleet that starts again waits for that.
"""

from importlib import import_module

_MODULES_BY_NAME = {
    "add_listeners": "_assembly",
    "assemble": "_assembly",
    "assemble_front": "_front",
    "run_check": "_check",
    "run_ctl": "_ctl",
    "run_daemon": "_daemon",
    "run_front": "_front",
    "run_report": "_report",
}

__all__ = [*_MODULES_BY_NAME]


def __getattr__(name):
    """Return the public function ``name`` from its private module."""
    if name not in _MODULES_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES_BY_NAME[name]}"), name)
