"""The command-line programs; each reads its arguments and runs services."""

from pimentogap.programs._assembly import add_listeners, assemble
from pimentogap.programs._ctl import run_ctl
from pimentogap.programs._daemon import run_daemon
from pimentogap.programs._front import assemble_front, run_front
from pimentogap.programs._report import run_report

__all__ = [
    "add_listeners",
    "assemble",
    "assemble_front",
    "run_ctl",
    "run_daemon",
    "run_front",
    "run_report",
]
