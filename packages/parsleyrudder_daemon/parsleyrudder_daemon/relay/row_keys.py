"""Keys of the rows that the routers keep in the store."""

import hashlib

__all__ = ["row_key"]

_MAX_KEY_BYTES = 200
_DIGEST_HEX_DIGITS = 32


def row_key(*names: str) -> str:
    """Return a key made of names; one that is too long for the store ends with a digest.

    >>> row_key("pool", "v1")
    'pool/v1'
    >>> len(row_key("pool", 300 * "v"))
    200
    """
    encoded = "/".join(names).encode()
    if len(encoded) <= _MAX_KEY_BYTES:
        return encoded.decode()
    digest = hashlib.sha256(encoded).hexdigest()[:_DIGEST_HEX_DIGITS]
    start = encoded[: _MAX_KEY_BYTES - _DIGEST_HEX_DIGITS - 1].decode(errors="ignore")
    return f"{start}/{digest}"
