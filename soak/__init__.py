"""A randomized soak test of daemons as processes, with faults injected from outside."""

from soak._play import play_seed

__all__ = ["play_seed"]
