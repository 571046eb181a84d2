"""A randomized soak: real daemons as processes, with faults from outside them."""

from soak._play import play_seed

__all__ = ["play_seed"]
