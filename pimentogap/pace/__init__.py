"""Finds how many requests a backend server may have from how it answers."""

from pimentogap.pace._book import PaceBook, Room
from pimentogap.pace._evidence import AnswerWindow, Evidence, Sign
from pimentogap.pace._phases import Failing, Starting, Steady, Tried
from pimentogap.pace._server import Reason, ServerPace

__all__ = [
    "AnswerWindow",
    "Evidence",
    "Failing",
    "PaceBook",
    "Reason",
    "Room",
    "ServerPace",
    "Sign",
    "Starting",
    "Steady",
    "Tried",
]
