"""Consistent hashing: assigns keys to a few routers of a large fleet in logarithmic time."""

import hashlib
from bisect import bisect_right
from collections.abc import Iterable

__all__ = ["HashRing"]

# Positions of each name; more of them even out the numbers of keys.
_POINTS_PER_NAME = 8


class HashRing:
    """Names on a ring of hash values [1]_; the successors of a key are the next names on the ring.

    If a name is removed, its keys go to the next successor, and all other keys stay.

    :param names: names that keys may be assigned to.

    >>> ring = HashRing(["r1", "r2", "r3"])
    >>> ring.successors(b"key", 2) == HashRing(["r3", "r2", "r1"]).successors(b"key", 2)
    True

    .. [1] D. Karger et al., "Consistent hashing and random trees", STOC 1997.
    """

    __slots__ = ("_name_by_point", "_points", "names")

    def __init__(self, names: Iterable[str]) -> None:
        self.names = frozenset(names)
        self._name_by_point = {
            _hash(f"{name}\0{number}".encode()): name
            for name in self.names
            for number in range(_POINTS_PER_NAME)
        }
        self._points = sorted(self._name_by_point)

    def successors(self, key: bytes, count: int) -> list[str]:
        """Return the first names after a key, at most ``count``, each once."""
        wanted = min(count, len(self.names))
        start = bisect_right(self._points, _hash(key))
        found: dict[str, None] = {}
        offset = 0
        while len(found) < wanted:
            point = self._points[(start + offset) % len(self._points)]
            found[self._name_by_point[point]] = None
            offset += 1
        return list(found)


def _hash(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=8).digest()
