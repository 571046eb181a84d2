"""Chooses the backend server for each attempt by the estimated load."""

from pimentogap.placement._budget import RetryBudget
from pimentogap.placement._choice import choose_by_room
from pimentogap.placement._flow import ModelFlow
from pimentogap.placement._latency import ModelLatency
from pimentogap.placement._loads import BackendLoad
from pimentogap.placement._service import (
    Forward,
    Full,
    Limited,
    Missing,
    PlacementService,
)

__all__ = [
    "BackendLoad",
    "Forward",
    "Full",
    "Limited",
    "Missing",
    "ModelFlow",
    "ModelLatency",
    "PlacementService",
    "RetryBudget",
    "choose_by_room",
]
