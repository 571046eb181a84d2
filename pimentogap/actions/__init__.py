"""Runs non-idempotent actions at most once."""

from pimentogap.actions._service import SHARDS, ActionService, shard_of
from pimentogap.actions._shard import NotReplied, Replied, ShardOwner
from pimentogap.actions._states import ActionCall, Answer

__all__ = [
    "SHARDS",
    "ActionCall",
    "ActionService",
    "Answer",
    "NotReplied",
    "Replied",
    "ShardOwner",
    "shard_of",
]
