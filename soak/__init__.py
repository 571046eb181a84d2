"""A randomized soak test of daemons as processes, with faults injected from outside."""

from soak._callers import Habits
from soak._play import play_seed

__all__ = ["Habits", "play_seed"]
