"""Decides which requests go on, wait for a place, or are refused."""

from pimentogap.admission._callers import CallerPatience
from pimentogap.admission._claim import Claim, tightest_objective_s
from pimentogap.admission._decide import (
    Admit,
    Hold,
    Prospect,
    Turn,
    decide,
    spare_places,
)
from pimentogap.admission._line import LineFull, WaitingLine
from pimentogap.admission._returns import ReturnBook
from pimentogap.admission._service import AdmissionService, Refused
from pimentogap.admission._share import SpareShare

__all__ = [
    "AdmissionService",
    "Admit",
    "CallerPatience",
    "Claim",
    "Hold",
    "LineFull",
    "Prospect",
    "Refused",
    "ReturnBook",
    "SpareShare",
    "Turn",
    "WaitingLine",
    "decide",
    "spare_places",
    "tightest_objective_s",
]
