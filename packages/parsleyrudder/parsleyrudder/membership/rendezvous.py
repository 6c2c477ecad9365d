"""Rendezvous hashing: orders names per key so that adding or removing one changes little."""

import hashlib
from collections.abc import Iterable

__all__ = ["rendezvous"]


def rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in descending order of their rendezvous hash [1]_ for a key.

    :param key: key to assign.
    :param names: names that the key may be assigned to.

    >>> rendezvous("chat", ["r1", "r2", "r3"]) == rendezvous("chat", ["r3", "r1", "r2"])
    True

    .. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
       Transactions on Networking, 1998.
    """
    return sorted(names, key=lambda name: (_weight(key, name), name), reverse=True)


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
