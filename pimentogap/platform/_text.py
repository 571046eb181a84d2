"""Text in header fields, which HTTP libraries read and write as Latin-1."""

from pimentogap.errors import RequestNotSendable

FIELD_BLANKS = " \t"
# No field holds one of these code points.
CONTROLS = frozenset((*range(9), *range(10, 32), 127))


def encode_field(text):
    """Return ``text`` such that a library that writes Latin-1 sends it as UTF-8.

    Blanks at its ends are left out, since no recipient takes them for a part of it.

    :raises RequestNotSendable: if ``text`` has a lone surrogate.
    """
    try:
        return text.strip(FIELD_BLANKS).encode("utf-8").decode("latin-1")
    except UnicodeEncodeError as error:
        raise RequestNotSendable(f"no field can hold {text!a}: {error.reason}")


def is_sendable(text):
    """Return whether a header field can hold ``text``."""
    try:
        encode_field(text)
    except RequestNotSendable:
        return False
    return not any(ord(char) in CONTROLS for char in text)


def decode_field(value):
    """Return the text of a header field that a library has read as Latin-1.

    A value that is not UTF-8 is returned as it is.
    """
    if value.isascii():
        return value
    try:
        return value.encode("latin-1").decode("utf-8")
    except UnicodeDecodeError:
        return value
