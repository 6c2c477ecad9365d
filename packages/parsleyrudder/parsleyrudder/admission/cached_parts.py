"""Which parts of prompts the targets have probably kept, from what all routers sent to them."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..messages import PromptPart
from .work import Work

__all__ = ["CacheMap", "CachedParts"]

# Unshared parts and running requests fill the rest of a target's memory.
_SHARED_PART = 0.5


@dataclass(slots=True)
class CachedParts:
    """The shared parts that one target keeps, least recently used first.

    :ivar capacity_tokens: tokens that are taken to fit.
    """

    capacity_tokens: int
    _tokens_by_part: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _tokens: int = 0

    def uncached_tokens(self, work: Work) -> int:
        """Return the tokens of a prompt that have to be read.

        A part is of use only if all parts before it are kept too.

        >>> from parsleyrudder import PromptPart
        >>> cached = CachedParts(1000)
        >>> work = Work((PromptPart("a", 300), PromptPart("b", 50)), 350, 10)
        >>> cached.uncached_tokens(work)
        350
        >>> cached.add(work.shared_parts)
        >>> cached.uncached_tokens(Work((PromptPart("a", 300), PromptPart("c", 20)), 320, 10))
        20
        """
        tokens = work.tokens_in
        for part in work.shared_parts:
            if part.id not in self._tokens_by_part:
                break
            tokens -= part.tokens
        return tokens if tokens > 0 else 0

    def add(self, parts: Iterable[PromptPart]) -> None:
        """Note that the target reads parts."""
        for part in parts:
            if part.id not in self._tokens_by_part:
                self._tokens_by_part[part.id] = part.tokens
                self._tokens += part.tokens
            self._tokens_by_part.move_to_end(part.id)
        while self._tokens > self.capacity_tokens and self._tokens_by_part:
            self._tokens -= self._tokens_by_part.popitem(last=False)[1]


@dataclass(slots=True)
class CacheMap:
    """The shared parts by lifetime of a target, for all pools.

    :ivar capacity_tokens: memory of a target, in tokens.
    """

    capacity_tokens: int = 0
    _by_lifetime: dict[str, CachedParts] = field(default_factory=dict)
    _news: list[tuple[str, tuple[PromptPart, ...]]] = field(default_factory=list)

    def of(self, lifetime: str) -> CachedParts:
        """Return the parts of a target."""
        cached = self._by_lifetime.get(lifetime)
        if cached is None:
            capacity = int(_SHARED_PART * self.capacity_tokens)
            cached = self._by_lifetime[lifetime] = CachedParts(capacity)
        return cached

    def unread_tokens(self, work: Work, lifetimes: Iterable[str]) -> list[int]:
        """Return the tokens of a prompt that each of some targets would have to read.

        Asked for each decision and all targets, so it does not ask them one by one.
        """
        unread = []
        for lifetime in lifetimes:
            cached = self._by_lifetime.get(lifetime)
            unread.append(work.tokens_in if cached is None else cached.uncached_tokens(work))
        return unread

    def sent(self, lifetime: str, work: Work) -> None:
        """Note that this router sends a prompt to a target."""
        if work.shared_parts:
            self.of(lifetime).add(work.shared_parts)
            self._news.append((lifetime, work.shared_parts))

    def heard(self, lifetime: str, parts: Iterable[PromptPart]) -> None:
        """Note that another router has sent parts to a target."""
        self.of(lifetime).add(parts)

    def take_news(self) -> list[tuple[str, tuple[PromptPart, ...]]]:
        """Return what this router has sent since the last call, for the others."""
        news, self._news = self._news, []
        return news

    def keep(self, lifetimes: set[str]) -> None:
        """Forget the targets that are not listed any more."""
        self._by_lifetime = {k: v for k, v in self._by_lifetime.items() if k in lifetimes}
