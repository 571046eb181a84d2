"""What is wrong with a serving configuration, and what differs from another one."""

from pimentogap.checks._changes import find_changes
from pimentogap.checks._contradictions import find_contradictions
from pimentogap.checks._findings import (
    Change,
    Contradiction,
    Entry,
    EntryKind,
    Fault,
    NeverMatches,
)
from pimentogap.checks._unmatched import find_unmatched

__all__ = [
    "Change",
    "Contradiction",
    "Entry",
    "EntryKind",
    "Fault",
    "NeverMatches",
    "find_changes",
    "find_contradictions",
    "find_unmatched",
]
