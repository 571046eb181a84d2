"""Decides which requests go on, wait for a place, or are refused."""

from pimentogap.admission._callers import CallerPatience
from pimentogap.admission._claim import Claim, tightest_objective_s
from pimentogap.admission._decide import Admit, Hold, Prospect, Turn, decide
from pimentogap.admission._line import LineFull, WaitingLine
from pimentogap.admission._service import AdmissionService, Refused

__all__ = [
    "AdmissionService",
    "Admit",
    "CallerPatience",
    "Claim",
    "Hold",
    "LineFull",
    "Prospect",
    "Refused",
    "Turn",
    "WaitingLine",
    "decide",
    "tightest_objective_s",
]
