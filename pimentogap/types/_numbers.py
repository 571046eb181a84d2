"""Reads numbers that other processes send as text."""

# Far more than any quantity needs; products of such numbers fit into a float.
MAX_DIGITS = 18
# Python refuses to convert texts of over 4,300 digits.
MAX_EXACT_DIGITS = 4000


def decimal_or_none(text, *, most=None):
    """Return the value of ``text`` if it is a number of ASCII digits, else ``None``.

    :param text: `str` or `bytes`.
    :param most: returned in place of a larger number; without it, one of more than
        `MAX_DIGITS` digits is no number.
    """
    if not text.isascii() or not text.isdigit():
        return None
    if len(text) > MAX_DIGITS:
        text = text.lstrip(b"0" if isinstance(text, bytes) else "0") or text[:1]
    if len(text) > MAX_DIGITS:
        return most
    return int(text) if most is None else min(int(text), most)


def exact_decimal_or_none(text):
    """Return the value of ``text`` if it is a number of ASCII digits, else ``None``.

    It is exact, since it is compared with others; a text of more than
    `MAX_EXACT_DIGITS` digits is no number.
    """
    if len(text) > MAX_EXACT_DIGITS or not text.isascii() or not text.isdigit():
        return None
    return int(text)


def is_above(text, limit):
    """Return whether ``text`` is a number of ASCII digits and is over ``limit``."""
    if not text.isascii() or not text.isdigit():
        return False
    digits = text.lstrip("0")
    return len(digits) > MAX_DIGITS or int(digits or "0") > limit
