"""Creates and checks keys of callers and operators, stored as salted hashes."""

import hashlib
import hmac
import secrets

SALT_BYTES = 16
KEY_BYTES = 24


def new_key():
    """Return a new random key."""
    return secrets.token_urlsafe(KEY_BYTES)


def hash_key(key, *, salt=None):
    """Return the salted SHA-256 hash of ``key`` as ``SALT:DIGEST``, in hex.

    :param salt: bytes; random by default.
    """
    salt = salt or secrets.token_bytes(SALT_BYTES)
    digest = hashlib.sha256(salt + key.encode()).hexdigest()
    return f"{salt.hex()}:{digest}"


def key_matches(key, key_hashes):
    """Return whether ``key`` matches one of ``key_hashes``.

    All hashes are compared, each in constant time.
    """
    matches = False
    for key_hash in key_hashes:
        salt = bytes.fromhex(key_hash.partition(":")[0])
        matches |= hmac.compare_digest(hash_key(key, salt=salt), key_hash)
    return matches
