"""Keeps requests with prompt parts that crash backend servers away from them."""

from pimentogap.quarantine._documents import decode_list, decode_reports
from pimentogap.quarantine._evidence import EvidenceTable
from pimentogap.quarantine._memory import PartMemory
from pimentogap.quarantine._service import QuarantineService
from pimentogap.quarantine._types import (
    Allowed,
    Blocked,
    QuarantinedPart,
    QuarantineList,
    Strike,
    Trial,
    part_key,
)

__all__ = [
    "Allowed",
    "Blocked",
    "EvidenceTable",
    "PartMemory",
    "QuarantineList",
    "QuarantineService",
    "QuarantinedPart",
    "Strike",
    "Trial",
    "decode_list",
    "decode_reports",
    "part_key",
]
