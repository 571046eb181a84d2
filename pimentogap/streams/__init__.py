"""Streams completions to callers and resumes them after the loss of a replica."""

from pimentogap.streams._budget import RetryBudget
from pimentogap.streams._events import EventSplitter, parse_event_data, token_offset
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
    "parse_event_data",
    "token_offset",
]
