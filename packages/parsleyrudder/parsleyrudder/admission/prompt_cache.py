"""Estimates which prompt parts each target has cached, from what all routers have sent to it."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..messages import PromptPart
from .requests import RequestSize

__all__ = ["PromptCacheIndex", "TargetPromptCache"]

# Fraction of a target's cache memory that is assumed to hold shared parts. Parts that are not
# shared and running requests fill the rest.
_SHARED_CAPACITY_FRACTION = 0.5


@dataclass(slots=True)
class TargetPromptCache:
    """Estimated shared prompt parts in the cache of one target, least recently used first.

    :ivar capacity_tokens: number of tokens that the cache is assumed to hold.
    """

    capacity_tokens: int
    _tokens_by_part: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _cached_tokens: int = 0

    def uncached_tokens(self, size: RequestSize) -> int:
        """Return the number of tokens of a prompt that the target would have to prefill.

        A cached part can be reused only if all parts before it are cached too.

        >>> from parsleyrudder import PromptPart
        >>> cache = TargetPromptCache(1000)
        >>> size = RequestSize((PromptPart("a", 300), PromptPart("b", 50)), 350, 10)
        >>> cache.uncached_tokens(size)
        350
        >>> cache.add(size.shared_parts)
        >>> cache.uncached_tokens(
        ...     RequestSize((PromptPart("a", 300), PromptPart("c", 20)), 320, 10)
        ... )
        20
        """
        tokens = size.prompt_tokens
        for part in size.shared_parts:
            if part.id not in self._tokens_by_part:
                break
            tokens -= part.tokens
        return tokens if tokens > 0 else 0

    def add(self, parts: Iterable[PromptPart]) -> None:
        """Add parts that were sent to the target and evict the least recently used ones."""
        for part in parts:
            if part.id not in self._tokens_by_part:
                self._tokens_by_part[part.id] = part.tokens
                self._cached_tokens += part.tokens
            self._tokens_by_part.move_to_end(part.id)
        while self._cached_tokens > self.capacity_tokens and self._tokens_by_part:
            self._cached_tokens -= self._tokens_by_part.popitem(last=False)[1]


@dataclass(slots=True)
class PromptCacheIndex:
    """Estimated prompt caches of the targets of all pools, by target lifetime.

    :ivar capacity_tokens: cache memory of a target, in tokens.
    """

    capacity_tokens: int = 0
    _cache_by_lifetime: dict[str, TargetPromptCache] = field(default_factory=dict)
    _unreported: list[tuple[str, tuple[PromptPart, ...]]] = field(default_factory=list)

    def for_target(self, lifetime: str) -> TargetPromptCache:
        """Return the estimated cache of a target, creating an empty one if needed."""
        cache = self._cache_by_lifetime.get(lifetime)
        if cache is None:
            capacity = int(_SHARED_CAPACITY_FRACTION * self.capacity_tokens)
            cache = self._cache_by_lifetime[lifetime] = TargetPromptCache(capacity)
        return cache

    def uncached_tokens(self, size: RequestSize, lifetimes: Iterable[str]) -> list[int]:
        """Return for each target the number of prompt tokens that it would have to prefill.

        Each admission decision needs this for all targets, so one call covers all of them.
        """
        uncached = []
        for lifetime in lifetimes:
            cache = self._cache_by_lifetime.get(lifetime)
            uncached.append(size.prompt_tokens if cache is None else cache.uncached_tokens(size))
        return uncached

    def record_sent(self, lifetime: str, size: RequestSize) -> None:
        """Record a prompt that this router sends to a target."""
        if size.shared_parts:
            self.for_target(lifetime).add(size.shared_parts)
            self._unreported.append((lifetime, size.shared_parts))

    def record_reported(self, lifetime: str, parts: Iterable[PromptPart]) -> None:
        """Record parts that another router has reported as sent to a target."""
        self.for_target(lifetime).add(parts)

    def take_unreported(self) -> list[tuple[str, tuple[PromptPart, ...]]]:
        """Return the parts that this router has sent since the last call, to report to others."""
        unreported, self._unreported = self._unreported, []
        return unreported

    def retain(self, lifetimes: set[str]) -> None:
        """Remove the caches of all targets except the given ones."""
        self._cache_by_lifetime = {
            lifetime: cache
            for lifetime, cache in self._cache_by_lifetime.items()
            if lifetime in lifetimes
        }
