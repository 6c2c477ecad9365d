"""Software versions that the targets of each pool have had lately."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from ..targets import Target

__all__ = ["PoolVersion", "VersionHistory"]


class PoolVersion(NamedTuple):
    """A software version that targets of a pool have had."""

    pool: str
    version: str


@dataclass(slots=True)
class VersionHistory:
    """The versions by pool, each with the time at which a target was last known to have it.

    A router that has just started has not seen the versions at which streams began before. It must
    not take the versions that it sees for all there were, unless it has read the others.

    :ivar memory_s: time for which a version counts after its last target; longer than any stream.
    :ivar has_earlier: whether the versions from before this router's start are known.
    """

    memory_s: float = 300.0
    has_earlier: bool = False
    _seen_at_by_version: dict[PoolVersion, float] = field(default_factory=dict)
    _observed_since: float | None = None

    def record(self, targets: Iterable[Target], now: float) -> None:
        """Record the targets that are known now, also those that are leaving."""
        for target in targets:
            self._seen_at_by_version[PoolVersion(target.pool, target.version)] = now
            if self._observed_since is None:
                self._observed_since = now
        self._seen_at_by_version = {
            version: at
            for version, at in self._seen_at_by_version.items()
            if now - at < self.memory_s
        }

    def record_earlier(self, versions: Iterable[PoolVersion], now: float) -> None:
        """Record versions that targets had at an unknown time before now."""
        for version in versions:
            self._seen_at_by_version.setdefault(version, now)

    def is_complete(self, now: float) -> bool:
        """Whether the versions of all streams that may still be open are known."""
        return self.has_earlier or (
            self._observed_since is not None and now - self._observed_since >= self.memory_s
        )

    def current(self, now: float) -> set[PoolVersion]:
        """Return the versions that the targets of all pools have had lately."""
        return {v for v, at in self._seen_at_by_version.items() if now - at < self.memory_s}

    def versions(self, pool: str, now: float) -> set[str]:
        """Return the versions that the targets of a pool have had lately."""
        return {known.version for known in self.current(now) if known.pool == pool}

    def mixed_pools(self, now: float) -> set[str]:
        """Return the pools whose targets have lately had more than one version."""
        pools = [known.pool for known in self.current(now)]
        return {pool for pool in pools if pools.count(pool) > 1}
