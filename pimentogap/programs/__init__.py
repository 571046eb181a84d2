"""The programs: thin, each reads its arguments and runs services."""

from pimentogap.programs._assembly import add_listeners, assemble
from pimentogap.programs._ctl import run_ctl
from pimentogap.programs._daemon import run_daemon
from pimentogap.programs._report import run_report

__all__ = ["add_listeners", "assemble", "run_ctl", "run_daemon", "run_report"]
