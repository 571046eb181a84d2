"""The deterministic answers of stand-in engines, for tests to compare with."""

import hashlib


def token(prompt, index):
    """Return token ``index`` of the answer to ``prompt``."""
    digest = hashlib.blake2b(f"{prompt}|{index}".encode(), digest_size=3)
    return digest.hexdigest() + " "


def answer(prompt, count):
    """Return the complete answer of ``count`` tokens to ``prompt``."""
    return "".join(token(prompt, index) for index in range(count))
