"""Checks who may call a service and who may submit tickets."""

from pimentogap.access._admission import (
    Admitted,
    Rejected,
    admit,
    may_submit,
    refuse_service,
)
from pimentogap.access._keys import hash_key, key_matches, new_key

__all__ = [
    "Admitted",
    "Rejected",
    "admit",
    "hash_key",
    "key_matches",
    "may_submit",
    "new_key",
    "refuse_service",
]
