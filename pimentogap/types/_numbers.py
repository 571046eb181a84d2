"""Reads numbers that other processes send as text."""

# No field needs more; Python refuses to convert texts of over 4,300 digits.
MAX_DIGITS = 18


def decimal_or_none(text):
    """Return the value of ``text`` if it is a number of ASCII digits, else ``None``.

    :param text: `str` or `bytes`; one of more than `MAX_DIGITS` digits is no number.
    """
    if len(text) > MAX_DIGITS or not text.isascii() or not text.isdigit():
        return None
    return int(text)


def is_above(text, limit):
    """Return whether ``text`` is a number of ASCII digits and is over ``limit``."""
    if not text.isascii() or not text.isdigit():
        return False
    digits = text.lstrip("0")
    return len(digits) > MAX_DIGITS or int(digits or "0") > limit
