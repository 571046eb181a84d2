"""Completions from replicas to callers, whole even if a replica is lost."""

from pimentogap.streams._budget import RetryBudget
from pimentogap.streams._events import EventSplitter, data_of, offset_of
from pimentogap.streams._service import (
    Broken,
    CompletionRequest,
    Finished,
    StreamService,
)

__all__ = [
    "Broken",
    "CompletionRequest",
    "EventSplitter",
    "Finished",
    "RetryBudget",
    "StreamService",
    "data_of",
    "offset_of",
]
