"""Whether the store may still show an older copy than what it had acknowledged."""

from pimentogap.settling._service import SETTLING_S, SettlingService

__all__ = ["SETTLING_S", "SettlingService"]
