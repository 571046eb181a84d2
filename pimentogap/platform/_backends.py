"""Decodes entries of the platform's list of backend servers."""

from pimentogap.types import Backend, BackendState, Membership, MemberState

BACKEND_STATES_BY_NAME = {
    "ready": BackendState.READY,
    "draining": BackendState.DRAINING,
}
MEMBER_STATES_BY_NAME = {state.value: state for state in MemberState}


def decode_backend(name, data):
    """Return the `Backend` that an entry of the list describes.

    :param name: the entry's name, which is the id of the backend server.
    :param data: the entry's decoded JSON.
    :return: ``None`` if the entry describes no usable backend server; the list may
        contain entries that other parts of the platform wrote.
    """
    if not isinstance(data, dict):
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
        slots=_int_or_default(data.get("slots"), 1),
        incarnation=_int_or_default(data.get("born"), 0),
        domain=data.get("domain") if isinstance(data.get("domain"), str) else "",
        models=_names(data.get("models")),
        staged=_names(data.get("staged")),
        membership=membership,
    )


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
    return isinstance(value, str) and value.rpartition(":")[2].isdigit()


def _int_or_default(value, default):
    if isinstance(value, bool) or not isinstance(value, int):
        return default
    return value


def _str_or_none(value):
    return value if isinstance(value, str) else None
