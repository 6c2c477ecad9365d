"""Contents of the engines' prefix caches, tracked from cache events.

Events arrive late and some are lost. A hint only changes the order in which servers are considered
for a prompt, so a wrong one costs a cache miss and nothing else.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Container
from dataclasses import dataclass, field

import msgspec

__all__ = ["CacheEvent", "CacheEvents", "CacheHints", "prefix_digest"]

_PREFIX_CHARS = 256


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of an engine's prefix cache.

    :ivar seq: sequence number; increases by one per event, so that lost events are detected.
    :ivar prefix: digest of the prefix; see :func:`prefix_digest`.
    :ivar stored: whether the prefix was stored; otherwise it was evicted.
    """

    seq: int
    prefix: str
    stored: bool


class CacheEvents(msgspec.Struct, frozen=True):
    """Response of an engine to ``GET /cache/events?after=``.

    :ivar epoch: changes when the engine restarts, which resets the sequence numbers.
    """

    events: tuple[CacheEvent, ...]
    epoch: str = ""


def prefix_digest(prefix: str) -> str:
    """Return the digest that identifies a prompt's first 256 characters in cache events."""
    return hashlib.sha256(prefix[:_PREFIX_CHARS].encode()).hexdigest()[:16]


@dataclass(slots=True)
class _ServerCache:
    """Prefixes in one server's cache, the oldest first, up to event ``last_seq`` of ``epoch``."""

    epoch: str = ""
    last_seq: int = 0
    prefixes: OrderedDict[str, None] = field(default_factory=OrderedDict)


@dataclass(slots=True)
class CacheHints:
    """The prefixes that each server probably has in its cache.

    :ivar max_prefixes: maximum number of prefixes kept per server; the oldest are dropped.
    """

    max_prefixes: int = 2000
    _cache_by_server: dict[str, _ServerCache] = field(default_factory=dict)

    def last_seq(self, server: str) -> int:
        """Return the sequence number of the last event applied for a server; 0 if there is none."""
        cache = self._cache_by_server.get(server)
        return cache.last_seq if cache else 0

    def on_events(self, server: str, response: CacheEvents) -> None:
        """Apply events of a server; a gap discards all prefixes recorded before it.

        >>> hints = CacheHints()
        >>> hints.on_events("s1", CacheEvents((CacheEvent(1, "p", True),)))
        >>> hints.servers_with("p")
        {'s1'}
        >>> hints.on_events("s1", CacheEvents((CacheEvent(3, "q", True),)))
        >>> hints.servers_with("p"), hints.servers_with("q")
        (set(), {'s1'})
        """
        cache = self._cache_by_server.setdefault(server, _ServerCache())
        if response.epoch != cache.epoch:
            cache.epoch, cache.last_seq = response.epoch, 0
            cache.prefixes.clear()
        for event in sorted(response.events, key=lambda event: event.seq):
            if event.seq <= cache.last_seq:
                continue
            if cache.last_seq and event.seq != cache.last_seq + 1:
                # A missing event may have been an eviction.
                cache.prefixes.clear()
            cache.last_seq = event.seq
            cache.prefixes.pop(event.prefix, None)
            if event.stored:
                cache.prefixes[event.prefix] = None
        while len(cache.prefixes) > self.max_prefixes:
            cache.prefixes.popitem(last=False)

    def servers_with(self, prefix: str) -> set[str]:
        """Return the servers that probably have a prefix cached.

        :param prefix: digest of the prefix.
        """
        return {
            server for server, cache in self._cache_by_server.items() if prefix in cache.prefixes
        }

    def retain_servers(self, servers: Container[str]) -> None:
        """Drop the state of all servers except those given."""
        for server in [name for name in self._cache_by_server if name not in servers]:
            del self._cache_by_server[server]
