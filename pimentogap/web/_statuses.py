"""Tells the statuses that HTTP has from other numbers in a status line."""

from pimentogap.errors import ResponseLost

# No request asks for another protocol.
SWITCHING_PROTOCOLS = 101


def is_interim(status):
    """Return whether an answer follows the one with ``status``.

    :raises ResponseLost: if HTTP has no such status, or none for our requests.
    """
    if not 100 <= status < 600 or status == SWITCHING_PROTOCOLS:
        raise ResponseLost(f"{status:03d} is no status of an answer")
    return status < 200
