"""Selects the backend server for each request."""

from pimentogap.routing._policy import Considered, Forward, PlacementPolicy, Refuse
from pimentogap.routing._prefix import BLOCK_CHARACTERS, prefix_blocks, prompt_text
from pimentogap.routing._replicas import Replica
from pimentogap.routing._service import RoutingService
from pimentogap.routing._subset import choose_subset

__all__ = [
    "BLOCK_CHARACTERS",
    "Considered",
    "Forward",
    "PlacementPolicy",
    "Refuse",
    "Replica",
    "RoutingService",
    "choose_subset",
    "prefix_blocks",
    "prompt_text",
]
