"""Digest by which all routers recognise a request that comes again."""

from hashlib import blake2b

__all__ = ["repeat_digest"]

_DIGEST_BYTES = 8


def repeat_digest(method: str, host: str, target: str, organisation: str, body: bytes) -> str:
    """Return the digest of a request, equal for all repeats of it and at all routers.

    Headers are left out, because the id, the time left and the position in a stream differ between
    the repeats of one request.

    :param target: path and query.
    :param organisation: organisation of the caller, or an empty string.
    :returns: 16 hexadecimal digits.

    >>> repeat_digest("GET", "a.example", "/x", "org", b"")
    'a6b17ecef3b25f00'
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in (method, host, target, organisation):
        encoded = part.encode("utf-8", "replace")
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.hexdigest()
