"""Calls between daemons, addressed by name."""

from pimentogap.calls._answers import (
    COMPRESSION,
    PersonalAnswer,
    SharedAnswer,
    decode_answer,
)
from pimentogap.calls._service import CallService

__all__ = [
    "COMPRESSION",
    "CallService",
    "PersonalAnswer",
    "SharedAnswer",
    "decode_answer",
]
