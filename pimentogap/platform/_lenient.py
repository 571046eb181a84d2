"""Reads JSON of the store of which single members may be unreadable."""

import json
import re

from pimentogap.errors import ResponseLost

# No document of the platform is nested as deep; deeper ones could not be passed on.
MAX_DEPTH = 64
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
OPENING, CLOSING = b"[{", b"]}"


def load_members(body, key):
    """Return the object ``body``, without the unreadable members of its array ``key``.

    :return: the object, and how many members were left out.
    :raises ResponseLost: if anything else of it is unreadable.
    """
    try:
        data = json.loads(body)
    except (ValueError, RecursionError):
        data, left_out = _load_piecewise(body, key)
    else:
        left_out = 0
    if not isinstance(data, dict) or not isinstance(data.get(key), list):
        raise ResponseLost(f"the body of the response has no list of {key}")
    members = [member for member in data[key] if not is_deeper(member, MAX_DEPTH)]
    left_out += len(data[key]) - len(members)
    data[key] = members
    return data, left_out


def load_object(body):
    """Return the JSON value ``body``.

    :raises ResponseLost: if it is unreadable or nested deeper than `MAX_DEPTH`.
    """
    try:
        data = json.loads(body)
    except (ValueError, RecursionError):
        raise ResponseLost("the body of the response is not readable JSON")
    if is_deeper(data, MAX_DEPTH):
        raise ResponseLost("the body of the response is nested too deep")
    return data


def is_deeper(value, limit):
    """Return whether ``value`` has lists or objects nested more than ``limit`` deep."""
    level = [value]
    for _ in range(limit + 1):
        level = [
            inner
            for item in level
            if isinstance(item, dict | list)
            for inner in (item.values() if isinstance(item, dict) else item)
        ]
        if not level:
            return False
    return True


def _load_piecewise(body, key):
    """Read the members of the array ``key`` one by one."""
    start, spans, end = _find_members(body, key)
    members = []
    for first, last in spans:
        try:
            members.append(json.loads(body[first:last]))
        except (ValueError, RecursionError):
            continue
    try:
        data = json.loads(body[:start] + b"[]" + body[end:])
    except (ValueError, RecursionError):
        raise ResponseLost("the body of the response is not JSON")
    data[key] = members
    return data, len(spans) - len(members)


def _find_members(body, key):
    """Return where the array ``key`` of the outermost object starts and ends.

    :return: its start, the spans of its members, and its end.
    :raises ResponseLost: if there is no such array.
    """
    wanted = json.dumps(key).encode()
    depth = 0
    previous = start = member_start = None
    spans = []
    for match in TOKEN.finditer(body):
        token = match.group()
        if token in OPENING:
            depth += 1
            if depth == 2 and token == b"[" and previous == wanted:
                start, member_start = match.start(), match.end()
        elif token in CLOSING or token == b",":
            if start is not None and depth == 2:
                if body[member_start : match.start()].strip():
                    spans.append((member_start, match.start()))
                member_start = match.end()
            if token in CLOSING:
                if start is not None and depth == 2:
                    return start, spans, match.end()
                depth -= 1
        previous = token
    raise ResponseLost(f"the body of the response has no list of {key}")
