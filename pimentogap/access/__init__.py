"""Checks who may call a service and who may submit tickets."""

from pimentogap.access._admission import (
    Admitted,
    Rejected,
    admit,
    may_submit,
    service_refusal,
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
    "service_refusal",
]
