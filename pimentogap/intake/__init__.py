"""Decides what a daemon takes from callers, so that its process keeps to its VM."""

from pimentogap.intake._account import Account
from pimentogap.intake._callers import (
    Caller,
    Fresh,
    Idle,
    Leaving,
    ReadingBody,
    ReadingHead,
    Serving,
)
from pimentogap.intake._limits import BASE_BYTES, IntakeLimits
from pimentogap.intake._pace import ChunkMeter, ChunkTurns
from pimentogap.intake._service import RETRY_AFTER_S, IntakeService, NoRoom

__all__ = [
    "BASE_BYTES",
    "RETRY_AFTER_S",
    "Account",
    "Caller",
    "ChunkMeter",
    "ChunkTurns",
    "Fresh",
    "Idle",
    "IntakeLimits",
    "IntakeService",
    "Leaving",
    "NoRoom",
    "ReadingBody",
    "ReadingHead",
    "Serving",
]
