"""Rendezvous hashing: an order of names per key that changes little when a name joins or leaves."""

import hashlib
from collections.abc import Iterable

__all__ = ["rendezvous"]


def rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in the order of their weight for a key, highest first.

    :param key: what is to be assigned.
    :param names: candidates.

    >>> rendezvous("chat", ["r1", "r2", "r3"]) == rendezvous("chat", ["r3", "r1", "r2"])
    True

    .. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
       Transactions on Networking, 1998.
    """
    return sorted(names, key=lambda name: (_weight(key, name), name), reverse=True)


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
