"""Reads a document as an operator would send it, in bounded time and memory."""

import json

from pimentogap.errors import InvalidDocument
from pimentogap.platform._lenient import MAX_DEPTH, is_deeper
from pimentogap.schema import Problem

# The platform's store keeps no larger value.
MAX_DOCUMENT_BYTES = 2**20
EXPECTED = "a JSON object as it is written to the store"


def read_document(file):
    """Return the JSON value in ``file``, a binary file.

    :raises InvalidDocument: if it is empty, too large, no JSON, nested too deep, or
        names a key of an object twice.
    """
    content = file.read(MAX_DOCUMENT_BYTES + 1)
    if len(content) > MAX_DOCUMENT_BYTES:
        raise _invalid("more bytes", f"at most {MAX_DOCUMENT_BYTES} bytes")
    if not content.strip():
        raise _invalid("an empty file", EXPECTED)
    repeated_keys = []
    try:
        data = json.loads(
            content.decode("utf-8"),
            object_pairs_hook=lambda pairs: _object(pairs, repeated_keys),
        )
    except UnicodeDecodeError as error:
        raise _invalid(f"a byte that is not UTF-8 at {error.start}", EXPECTED)
    except json.JSONDecodeError as error:
        raise _invalid(f"{error.msg}", EXPECTED, line=error.lineno)
    except (ValueError, RecursionError):
        raise _invalid("nesting or a number beyond all bounds", EXPECTED)
    if is_deeper(data, MAX_DEPTH):
        raise _invalid("deeper nesting", f"at most {MAX_DEPTH} levels")
    if repeated_keys:
        names = ", ".join(sorted(set(repeated_keys)))
        raise _invalid(f"keys given twice in an object: {names}", "one value each")
    return data


def _object(pairs, repeated_keys):
    item = dict(pairs)
    if len(item) < len(pairs):
        seen_keys = set()
        for key, _ in pairs:
            if key in seen_keys:
                repeated_keys.append(key)
            seen_keys.add(key)
    return item


def _invalid(found, expected, *, line=None):
    return InvalidDocument([Problem("", line, f"found {found}", expected)])
