"""Starts the front daemon from a checkout, as deploy/system.toml does."""

import signal
import sys

# Its default action would end a daemon that is still loading its modules.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from pimentogap.programs import run_front  # noqa: E402

sys.exit(run_front())
