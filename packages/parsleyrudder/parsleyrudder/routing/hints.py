"""What engines say of their prefix caches: late, and with gaps.

A hint only reorders the servers of a prompt; a wrong one costs a cache miss and nothing else.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Container
from dataclasses import dataclass, field

import msgspec

__all__ = ["CacheEvent", "CacheEvents", "CacheHints", "prefix_digest"]

_AFFINITY_CHARS = 256


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of an engine's prefix cache.

    :ivar seq: number of the event; grows by one with each, so that a gap shows.
    :ivar stored: whether the prefix was stored; otherwise it was evicted.
    """

    seq: int
    prefix: str
    stored: bool


class CacheEvents(msgspec.Struct, frozen=True):
    """Answer of an engine to ``GET /cache/events?after=``.

    :ivar epoch: changes when the engine restarts and counts its events anew.
    """

    events: tuple[CacheEvent, ...]
    epoch: str = ""


def prefix_digest(prefix: str) -> str:
    """Return the name of a prompt's first 256 characters in cache events."""
    return hashlib.sha256(prefix[:_AFFINITY_CHARS].encode()).hexdigest()[:16]


@dataclass(slots=True)
class _Known:
    epoch: str = ""
    last_seq: int = 0
    prefixes: OrderedDict[str, None] = field(default_factory=OrderedDict)


@dataclass(slots=True)
class CacheHints:
    """The prefixes that each server is believed to hold.

    :ivar most: prefixes kept per server; the oldest are forgotten.
    """

    most: int = 2000
    _known_by_server: dict[str, _Known] = field(default_factory=dict)

    def after(self, server: str) -> int:
        """Return the number of the last event taken from a server."""
        known = self._known_by_server.get(server)
        return known.last_seq if known else 0

    def on_events(self, server: str, answer: CacheEvents) -> None:
        """Take events of a server; after a gap nothing older is believed.

        >>> hints = CacheHints()
        >>> hints.on_events("s1", CacheEvents((CacheEvent(1, "p", True),)))
        >>> hints.servers_of("p")
        {'s1'}
        >>> hints.on_events("s1", CacheEvents((CacheEvent(3, "q", True),)))
        >>> hints.servers_of("p"), hints.servers_of("q")
        (set(), {'s1'})
        """
        known = self._known_by_server.setdefault(server, _Known())
        if answer.epoch != known.epoch:
            known.epoch, known.last_seq = answer.epoch, 0
            known.prefixes.clear()
        for event in sorted(answer.events, key=lambda event: event.seq):
            if event.seq <= known.last_seq:
                continue
            if known.last_seq and event.seq != known.last_seq + 1:
                # An eviction may be among the events that are missing.
                known.prefixes.clear()
            known.last_seq = event.seq
            known.prefixes.pop(event.prefix, None)
            if event.stored:
                known.prefixes[event.prefix] = None
        while len(known.prefixes) > self.most:
            known.prefixes.popitem(last=False)

    def servers_of(self, prefix: str) -> set[str]:
        """Return the servers that are believed to hold a prefix."""
        return {id for id, known in self._known_by_server.items() if prefix in known.prefixes}

    def keep(self, servers: Container[str]) -> None:
        """Forget the servers that are gone."""
        for id in [id for id in self._known_by_server if id not in servers]:
            del self._known_by_server[id]
