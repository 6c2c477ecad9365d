"""Leased portions of resources: the coordinator's ledger and a router's own record.

A resource is the window of a server, or a member's concurrency limit. A portion is the part of it
that a router may use until its lease ends. The sum of the portions never exceeds the resource.
"""

import heapq
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from ..messages import Holding

__all__ = ["Ledger", "LostPortions", "Portion", "Portions"]


@dataclass(slots=True)
class _Entry:
    """One router's last report of a resource, and its last grant."""

    held: int = 0
    used: int = 0
    granted: int = 0

    @property
    def assigned(self) -> int:
        """Upper bound of what the router may hold or use."""
        return max(self.held, self.used, self.granted)

    @property
    def committed(self) -> int:
        """Upper bound of what the router may use once it has applied the last grant."""
        return max(self.used, self.granted)


@dataclass(slots=True)
class Ledger:
    """The coordinator's record of portions, by resource and router.

    Sums are updated incrementally, so that the time to process a report depends only on the number
    of portions it lists, not on the number of resources and routers.

    :ivar limit_by_name: size of each resource; changed by :meth:`set_limit` only.
    :ivar _free: resources of which something may still be granted.
    """

    limit_by_name: dict[str, int] = field(default_factory=dict)
    _entries: dict[str, dict[str, _Entry]] = field(default_factory=dict)
    _names_by_router: dict[str, set[str]] = field(default_factory=dict)
    _assigned_by_name: dict[str, int] = field(default_factory=dict)
    _committed_by_name: dict[str, int] = field(default_factory=dict)
    _granted_by_router: dict[str, int] = field(default_factory=dict)
    _free: set[str] = field(default_factory=set)

    def set_limits(self, limit_by_name: Mapping[str, int]) -> None:
        """Set the size of each resource; resources left out have size 0."""
        for name in self.limit_by_name.keys() - limit_by_name.keys():
            del self.limit_by_name[name]
            self._free.discard(name)
        for name, limit in limit_by_name.items():
            self.set_limit(name, limit)

    def set_limit(self, name: str, limit: int) -> None:
        """Set the size of a resource; later grants reduce portions that exceed it."""
        self.limit_by_name[name] = limit
        self._update_free(name)

    def assigned(self, name: str, router: str) -> int:
        """Return the upper bound of what a router may hold of a resource."""
        entry = self._entries.get(name, {}).get(router)
        return entry.assigned if entry else 0

    def granted(self, name: str, router: str) -> int:
        """Return how much of a resource a router was granted last."""
        entry = self._entries.get(name, {}).get(router)
        return entry.granted if entry else 0

    def granted_to(self, router: str) -> dict[str, int]:
        """Return what a router was granted last, by resource, without zeros."""
        names = sorted(self._names_by_router.get(router, ()))
        return {name: n for name in names if (n := self._entries[name][router].granted)}

    def granted_total(self, router: str) -> int:
        """Return the sum of the last grants to a router over all resources."""
        return self._granted_by_router.get(router, 0)

    def used(self, name: str) -> int:
        """Return how much of a resource is in use according to the routers' reports."""
        return sum(entry.used for entry in self._entries.get(name, {}).values())

    def excess(self, name: str) -> int:
        """Return by how much grants and use exceed a resource, as after it was reduced."""
        return max(0, self._committed_by_name.get(name, 0) - self.limit_by_name.get(name, 0))

    def assigned_to(self, router: str) -> dict[str, int]:
        """Return the upper bound of what a router may hold, by resource, without zeros."""
        names = self._names_by_router.get(router, ())
        return {name: self._entries[name][router].assigned for name in names}

    def assigned_total(self, name: str) -> int:
        """Return the sum of a resource's portions over all routers."""
        return self._assigned_by_name.get(name, 0)

    def free(self, name: str) -> int:
        """Return how much of a resource may still be granted."""
        return max(0, self.limit_by_name.get(name, 0) - self.assigned_total(name))

    def has_free(self) -> bool:
        """Whether any resource has something left to grant."""
        return bool(self._free)

    def free_by_name(self) -> dict[str, int]:
        """Return what may still be granted, by resource, without zeros."""
        return {name: self.free(name) for name in self._free}

    def grant(self, name: str, router: str, count: int) -> None:
        """Record the grant of a portion of ``count`` to a router.

        :raises ValueError: if the sum would exceed the resource.
        """
        assigned = self.assigned(name, router)
        if count > assigned and count - assigned > self.free(name):
            raise ValueError(f"{name}: grant of {count} to {router} exceeds what is free")
        self._set(name, router, granted=count)

    def on_report(self, router: str, holdings: Iterable[Holding], acknowledged: bool) -> None:
        """Record the portions that a router reports.

        :param acknowledged: whether the router had applied the last grant when it sent the report;
            if not, the grant may still arrive and stays recorded.
        """
        unreported = set(self._names_by_router.get(router, ()))
        for item in holdings:
            unreported.discard(item.name)
            granted = item.held if acknowledged else None
            self._set(item.name, router, item.held, item.used, granted)
        for name in unreported:
            self._set(name, router, 0, 0, 0 if acknowledged else None)

    def adopt(self, router: str) -> None:
        """Grant a router what it reports to hold, as far as no other router may hold it."""
        for name in list(self._names_by_router.get(router, ())):
            entry = self._entries[name][router]
            others = self.assigned_total(name) - entry.assigned
            left = max(0, self.limit_by_name.get(name, 0) - others)
            self._set(name, router, granted=min(entry.held, left))

    def remove_router(self, router: str) -> dict[str, int]:
        """Remove a router; return the upper bound of what it held, by resource."""
        held = self.assigned_to(router)
        for name in held:
            self._set(name, router, 0, 0, 0)
        return held

    def _set(
        self,
        name: str,
        router: str,
        held: int | None = None,
        used: int | None = None,
        granted: int | None = None,
    ) -> None:
        """Change an entry and update the sums that include it."""
        entries = self._entries.setdefault(name, {})
        entry = entries.setdefault(router, _Entry())
        assigned, committed, before = entry.assigned, entry.committed, entry.granted
        entry.held = entry.held if held is None else held
        entry.used = entry.used if used is None else used
        entry.granted = entry.granted if granted is None else granted
        _add_to_sum(self._assigned_by_name, name, entry.assigned - assigned)
        _add_to_sum(self._committed_by_name, name, entry.committed - committed)
        _add_to_sum(self._granted_by_router, router, entry.granted - before)
        if entry.assigned:
            self._names_by_router.setdefault(router, set()).add(name)
        else:
            self._remove(name, router)
        if entry.assigned != assigned:
            self._update_free(name)

    def _remove(self, name: str, router: str) -> None:
        del self._entries[name][router]
        if not self._entries[name]:
            del self._entries[name]
        names = self._names_by_router.get(router, set())
        names.discard(name)
        if not names:
            self._names_by_router.pop(router, None)

    def _update_free(self, name: str) -> None:
        if self.free(name):
            self._free.add(name)
        else:
            self._free.discard(name)


def _add_to_sum(sums: dict[str, int], key: str, amount: int) -> None:
    total = sums.get(key, 0) + amount
    if total:
        sums[key] = total
    else:
        sums.pop(key, None)


@dataclass(slots=True)
class _LostPortion:
    router: str
    count: int
    lost_at: float
    expires_at: float


@dataclass(slots=True)
class LostPortions:
    """Portions that lost routers may still be using after the end of their leases."""

    _items_by_name: dict[str, list[_LostPortion]] = field(default_factory=dict)

    def __bool__(self) -> bool:
        return bool(self._items_by_name)

    def add(
        self, router: str, portions: Mapping[str, int], lost_at: float, expires_at: float
    ) -> None:
        """Count a lost router's portions as in use until ``expires_at``."""
        for name, count in portions.items():
            self._items_by_name.setdefault(name, []).append(
                _LostPortion(router, count, lost_at, expires_at)
            )

    def total(self, name: str) -> int:
        """Return how much of a resource may still be in use by lost routers."""
        return sum(item.count for item in self._items_by_name.get(name, ()))

    def cap(self, name: str, max_total: int, lost_before: float) -> bool:
        """Reduce the total of a resource to the number known to be in use.

        :param lost_before: only portions lost before this time are reduced, because a delayed load
            report may not include the calls of routers lost later.
        :returns: whether the total has changed.
        """
        before = self.total(name)
        for item in self._items_by_name.get(name, ()):
            if item.lost_at <= lost_before:
                item.count = min(item.count, max_total)
            max_total = max(0, max_total - item.count)
        return self.total(name) != before

    def remove_router(self, router: str) -> set[str]:
        """Remove the portions of a router that has returned; return the affected resources."""
        return self._remove_where(lambda item: item.router == router)

    def expire(self, now: float) -> set[str]:
        """Remove portions that have expired; return the affected resources."""
        return self._remove_where(lambda item: not item.count or now >= item.expires_at)

    def _remove_where(self, is_ended: Callable[[_LostPortion], bool]) -> set[str]:
        changed = set()
        for name, items in list(self._items_by_name.items()):
            left = [item for item in items if not is_ended(item)]
            if len(left) != len(items):
                changed.add(name)
                self._items_by_name[name] = left
            if not left:
                del self._items_by_name[name]
        return changed


@dataclass(slots=True)
class Portion:
    """A router's portion of one resource.

    :ivar held: size of the portion.
    :ivar used: number in use.
    :ivar min_used: lowest number in use since the last report.
    """

    held: int = 0
    used: int = 0
    min_used: int = 0

    @property
    def idle(self) -> int:
        """Slots held but not in use; negative if a grant has withdrawn slots in use."""
        return self.held - self.used


@dataclass(slots=True)
class Portions:
    """A router's portions by resource, under one lease.

    The sum and the idle slots are updated incrementally, so that a dispatch need not iterate over
    all resources.

    :ivar portion_by_name: portion of each resource; changed by the methods only.
    :ivar expires_at: monotonic time at which the lease ends.
    """

    portion_by_name: dict[str, Portion] = field(default_factory=dict)
    expires_at: float = -math.inf
    _held: int = 0
    _idle: dict[str, int] = field(default_factory=dict)

    def apply(self, granted: Mapping[str, int]) -> None:
        """Replace the portions with newly granted ones."""
        for name in sorted(granted.keys() | self.portion_by_name.keys()):
            self._change(name, granted.get(name, 0) - self._portion(name).held)

    def is_leased(self, now: float) -> bool:
        """Whether the lease is valid, so that the first byte of a request may be sent."""
        return now < self.expires_at

    def renew(self, expires_at: float) -> None:
        """Extend the lease to a time; an earlier time has no effect."""
        self.expires_at = max(self.expires_at, expires_at)

    def idle(self, name: str, now: float) -> int:
        """Return the idle slots of a resource; 0 once the lease has ended."""
        return self._idle.get(name, 0) if now < self.expires_at else 0

    def idle_by_name(self, now: float) -> dict[str, int]:
        """Return the idle slots by resource, without zeros; none once the lease has ended."""
        return dict(self._idle) if now < self.expires_at else {}

    def start_use(self, name: str) -> None:
        """Mark one slot as in use; the caller must have checked :meth:`idle`."""
        self._change(name, used=1)

    def end_use(self, name: str) -> None:
        """Mark one slot as no longer in use."""
        self._change(name, used=-1)

    def release_idle(self, count: int) -> int:
        """Release up to ``count`` idle slots, from the resource with the most idle slots first.

        :returns: number of slots released.
        """
        heap = [(-idle, name) for name, idle in self._idle.items()]
        heapq.heapify(heap)
        released = 0
        while released < count and heap:
            _, name = heap[0]
            self._change(name, -1)
            released += 1
            if name in self._idle:
                heapq.heapreplace(heap, (-self._idle[name], name))
            else:
                heapq.heappop(heap)
        return released

    def release_all_idle(self, name: str) -> None:
        """Release all idle slots of one resource."""
        self._change(name, -self._idle.get(name, 0))

    def clear(self) -> None:
        """Release all portions, as after the end of the lease; slots in use stay in use."""
        self.apply({})

    def total_held(self) -> int:
        """Return the sum of the held portions."""
        return self._held

    def holdings(self) -> tuple[Holding, ...]:
        """Return the current portions."""
        portions = self.portion_by_name.items()
        return tuple(Holding(name, p.held, p.used, p.min_used) for name, p in portions)

    def report(self) -> tuple[Holding, ...]:
        """Return the portions for a report, and restart the tracking of ``min_used``."""
        result = self.holdings()
        for portion in self.portion_by_name.values():
            portion.min_used = portion.used
        return result

    def _portion(self, name: str) -> Portion:
        return self.portion_by_name.get(name) or Portion()

    def _change(self, name: str, held: int = 0, used: int = 0) -> None:
        """Change a portion and update the sums that include it."""
        portion = self.portion_by_name.setdefault(name, Portion())
        portion.held += held
        portion.used += used
        portion.min_used = min(portion.min_used, portion.used)
        self._held += held
        if portion.idle > 0:
            self._idle[name] = portion.idle
        else:
            self._idle.pop(name, None)
        if not portion.held and not portion.used:
            del self.portion_by_name[name]
