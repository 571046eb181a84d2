"""Starts the front daemon from a checkout, as deploy/system.toml does."""

import sys

from pimentogap.programs import run_front

sys.exit(run_front())
