"""Runs the front daemon from a checkout; deploy/system.toml names this file."""

import signal
import sys

# The default action of SIGHUP would end the process while it imports modules, before
# the daemon handles the signal.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from pimentogap.programs import run_front  # noqa: E402

sys.exit(run_front())
