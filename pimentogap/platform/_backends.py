"""Decodes entries of the platform's list of backend servers."""

from pimentogap.platform._text import is_sendable
from pimentogap.types import Backend, BackendState, Membership, MemberState

BACKEND_STATES_BY_NAME = {
    "ready": BackendState.READY,
    "draining": BackendState.DRAINING,
}
MEMBER_STATES_BY_NAME = {state.value: state for state in MemberState}


MS_PER_S = 1000
MAX_PORT = 65535
MAX_SLOTS = 1_000_000
# Requests name the id of their server in a header, of which servers bound the size.
MAX_NAME_CHARS = 16_384
# Epochs are a multiple of the lease's terms.
MAX_INT = 2**120
MAX_COLD_MS = 2**40


def decode_backend(name, data):
    """Return the `Backend` that an entry of the list describes.

    :param name: the entry's name, which is the id of the backend server.
    :param data: the entry's decoded JSON.
    :return: ``None`` if the entry describes no usable backend server; the list may
        contain entries that other parts of the platform wrote.
    """
    if not isinstance(data, dict) or len(name) > MAX_NAME_CHARS:
        return None
    if not is_sendable(name):
        return None
    address, service = data.get("addr"), data.get("service")
    state = BACKEND_STATES_BY_NAME.get(_str_or_none(data.get("state")))
    if not _is_address(address) or not isinstance(service, str) or state is None:
        return None
    membership = _membership(data.get("group"))
    if membership is False or not isinstance(data.get("zone"), str):
        return None
    return Backend(
        id=name,
        service=service,
        address=address,
        availability_zone=data["zone"],
        state=state,
        slots=_slots(data.get("slots")),
        incarnation=_int_or_default(data.get("born"), 0),
        domain=data.get("domain") if isinstance(data.get("domain"), str) else "",
        models=_names(data.get("models")),
        staged=_names(data.get("staged")),
        membership=membership,
        cold_left_s=_cold_left_s(data.get("coldLeftMs")),
    )


def _cold_left_s(value):
    """Return the seconds of ``coldLeftMs``; 0 if it is missing or no number."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return min(value, MAX_COLD_MS) / MS_PER_S if is_number and value > 0 else 0.0


def _membership(data):
    """Return the `Membership`, ``None`` if there is none, ``False`` if invalid."""
    if not data:
        return None
    if not isinstance(data, dict):
        return False
    state = MEMBER_STATES_BY_NAME.get(_str_or_none(data.get("state")))
    name = data.get("name")
    if not name:
        return None
    if state is None or not isinstance(name, str):
        return False
    return Membership(
        name,
        _int_or_default(data.get("epoch"), 0),
        _int_or_default(data.get("rank"), 0),
        state,
    )


def _names(data):
    if not isinstance(data, list):
        return ()
    names = (item.get("name") if isinstance(item, dict) else item for item in data)
    return tuple(name for name in names if isinstance(name, str))


def _is_address(value):
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARS:
        return False
    host, _, port = value.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    return bool(host) and is_number and 0 < int(port) <= MAX_PORT


def _slots(value):
    """Return a number of slots up to `MAX_SLOTS`, 1 if ``value`` is none."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return max(1, int(min(value, MAX_SLOTS))) if is_number and value > 0 else 1


def _int_or_default(value, default):
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int) or abs(value) > MAX_INT:
        return default
    return value


def _str_or_none(value):
    return value if isinstance(value, str) else None
