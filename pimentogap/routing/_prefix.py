"""Hashes prompt prefixes by blocks, to compare them with engines' caches."""

import hashlib
import json

BLOCK_CHARACTERS = 64
MAX_BLOCKS = 512


def prompt_text(body):
    """Return the text of a completion request's parsed ``body``."""
    if "messages" in body:
        return json.dumps(body["messages"], sort_keys=True)
    return str(body.get("prompt", ""))


def prefix_blocks(prompt):
    """Return one hash for each complete block of ``prompt``, at most `MAX_BLOCKS`.

    Each hash covers the block and everything before it.
    """
    blocks = []
    digest = hashlib.blake2b(digest_size=6)
    complete_length = len(prompt) - len(prompt) % BLOCK_CHARACTERS
    for start in range(
        0, min(complete_length, MAX_BLOCKS * BLOCK_CHARACTERS), BLOCK_CHARACTERS
    ):
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(int.from_bytes(digest.copy().digest(), "big"))
    return blocks
