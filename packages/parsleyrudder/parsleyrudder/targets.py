"""Directory of targets, built from the entries that the targets register in the store."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

__all__ = ["Target", "TargetDirectory"]


@dataclass(slots=True, frozen=True)
class Target:
    """One lifetime of a target: the time from a start to the next stop.

    :ivar slots: number of requests that the target runs concurrently.
    :ivar started_ms: start of this lifetime, by the target's clock; a target that restarts under
        the same id has a different start time and has lost its previous state.
    :ivar is_leaving: whether the target gets no new requests because it is about to stop.
    :ivar version: version of its software, which is not that of a model's weights; empty if the
        entry names none. What two versions respond does not fit together in one stream.
    :ivar lifetime: identifier of this lifetime.
    """

    id: str
    pool: str
    address: str
    failure_domain: str
    slots: int
    started_ms: int = 0
    is_leaving: bool = False
    version: str = ""

    lifetime: str = field(init=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "lifetime", f"{self.id}/{self.started_ms}")


@dataclass(slots=True)
class TargetDirectory:
    """Known targets by id.

    Entries lapse while the store can't be written to. An entry that is missing from the first
    read after an outage is therefore retained for a limited time; one that disappears while the
    store is available is removed at once.

    A store that has come back from an older copy holds older entries until the targets have written
    theirs again. In that time a lifetime that was known to leave goes on leaving, and one whose
    entry was removed is withheld.

    :param rewrite_s: time within which targets write their entries again that the store has lost.
    :param removal_memory_s: time for which removals are remembered: the age of the oldest copy that
        the store may come back from.
    """

    rewrite_s: float = 2.0
    removal_memory_s: float = 30.0
    by_id: dict[str, Target] = field(default_factory=dict)
    _lapsed_until_by_id: dict[str, float] = field(default_factory=dict)
    _withheld_by_id: dict[str, Target] = field(default_factory=dict)
    _withheld_until: float = float("-inf")
    _removed_at_by_lifetime: dict[str, float] = field(default_factory=dict)

    def expect_older_entries(self, now: float) -> None:
        """Prepare for the entries of an older copy that the store has come back from."""
        self._withheld_until = now + self.rewrite_s

    def replace_all(self, targets: Iterable[Target], after_outage: bool, now: float) -> None:
        """Replace the entries by those of a full read of the store.

        :param after_outage: whether the store was unavailable just before this read.
        """
        fresh = {target.id: target for target in targets}
        self._withheld_by_id = {}
        if now < self._withheld_until:
            fresh = self._without_older(fresh)
        for id, target in fresh.items():
            self._lapsed_until_by_id.pop(id, None)
            self._removed_at_by_lifetime.pop(target.lifetime, None)
        for id, target in self.by_id.items():
            if id in fresh:
                continue
            if after_outage and not target.is_leaving:
                self._lapsed_until_by_id.setdefault(id, now + self.rewrite_s)
            if id in self._lapsed_until_by_id:
                fresh[id] = target
            else:
                self._removed_at_by_lifetime[target.lifetime] = now
        self.by_id = fresh
        self._lapsed_until_by_id = {
            id: until for id, until in self._lapsed_until_by_id.items() if id in fresh
        }
        self.expire(now)

    def _without_older(self, fresh: dict[str, Target]) -> dict[str, Target]:
        """Withhold the lifetimes whose entries were removed, and keep leaving those that were."""
        self._withheld_by_id = {
            id: target
            for id, target in fresh.items()
            if target.lifetime in self._removed_at_by_lifetime
        }
        return {
            id: self._keep_leaving(target)
            for id, target in fresh.items()
            if id not in self._withheld_by_id
        }

    def _keep_leaving(self, target: Target) -> Target:
        """Return the target as read, but leaving if it was known to leave in the same lifetime."""
        known = self.by_id.get(target.id)
        is_leaving = known is not None and known.is_leaving and known.lifetime == target.lifetime
        return replace(target, is_leaving=True) if is_leaving else target

    def put(self, target: Target) -> None:
        """Add or update an entry."""
        self._lapsed_until_by_id.pop(target.id, None)
        self._withheld_by_id.pop(target.id, None)
        self._removed_at_by_lifetime.pop(target.lifetime, None)
        self.by_id[target.id] = target

    def remove(self, id: str, now: float) -> None:
        """Remove an entry."""
        self._lapsed_until_by_id.pop(id, None)
        self._withheld_by_id.pop(id, None)
        target = self.by_id.pop(id, None)
        if target is not None:
            self._removed_at_by_lifetime[target.lifetime] = now

    def expire(self, now: float) -> None:
        """Remove the lapsed entries whose time is over, and add those that are withheld no more."""
        for id in [id for id, until in self._lapsed_until_by_id.items() if until <= now]:
            del self._lapsed_until_by_id[id]
            self.by_id.pop(id, None)
        if now >= self._withheld_until:
            for target in list(self._withheld_by_id.values()):
                self.put(target)
        self._removed_at_by_lifetime = {
            lifetime: at
            for lifetime, at in self._removed_at_by_lifetime.items()
            if now - at < self.removal_memory_s
        }

    def in_pool(self, pool: str) -> list[Target]:
        """Return the targets of a pool that may get new requests, sorted by id."""
        targets = (self.by_id[id] for id in sorted(self.by_id))
        return [t for t in targets if t.pool == pool and not t.is_leaving]
