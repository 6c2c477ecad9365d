"""Software versions that the targets of each pool have had lately."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..targets import Target

__all__ = ["VersionHistory"]


@dataclass(slots=True)
class VersionHistory:
    """The versions by pool, each with the time at which a target was last known to have it.

    :ivar memory_s: time for which a version counts after its last target; longer than any stream.
    """

    memory_s: float = 300.0
    _seen_at_by_pool: dict[str, dict[str, float]] = field(default_factory=dict)

    def record(self, targets: Iterable[Target], now: float) -> None:
        """Record the targets that are known now, also those that are leaving."""
        for target in targets:
            self._seen_at_by_pool.setdefault(target.pool, {})[target.version] = now

    def pools(self) -> list[str]:
        """Return the names of all pools that have had targets."""
        return list(self._seen_at_by_pool)

    def versions(self, pool: str, now: float) -> set[str]:
        """Return the versions that the targets of a pool have had lately."""
        seen_at_by_version = self._seen_at_by_pool.get(pool, {})
        return {version for version, at in seen_at_by_version.items() if now - at < self.memory_s}

    def is_mixed(self, pool: str, now: float) -> bool:
        """Whether the targets of a pool have lately had more than one version."""
        return len(self.versions(pool, now)) > 1
