"""Leased portions: what each router may use of a resource, seen by the coordinator and by a router.

A resource is the window of a server, or a member's concurrency limit. The sum of what the routers
may hold never exceeds the resource.
"""

import heapq
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from ..messages import Holding

__all__ = ["Ledger", "LostPortions", "Portion", "Portions"]


@dataclass(slots=True)
class _Entry:
    """What one router holds and uses by its last report, and what it was granted last."""

    held: int = 0
    used: int = 0
    granted: int = 0

    @property
    def most(self) -> int:
        """Most that the router may hold or use."""
        return max(self.held, self.used, self.granted)

    @property
    def claim(self) -> int:
        """What the router holds or uses once it has applied the last grant."""
        return max(self.used, self.granted)


@dataclass(slots=True)
class Ledger:
    """Coordinator's side: portions by resource and router.

    Sums are kept up to date, so that a report costs what it names, however many resources and
    routers there are.

    :ivar limit_by_name: size of each resource; changed by :meth:`set_limit` only.
    """

    limit_by_name: dict[str, int] = field(default_factory=dict)
    _entries: dict[str, dict[str, _Entry]] = field(default_factory=dict)
    _names_by_router: dict[str, set[str]] = field(default_factory=dict)
    _most_by_name: dict[str, int] = field(default_factory=dict)
    _claim_by_name: dict[str, int] = field(default_factory=dict)
    _granted_by_router: dict[str, int] = field(default_factory=dict)
    _free: set[str] = field(default_factory=set)

    def set_limits(self, limit_by_name: Mapping[str, int]) -> None:
        """Set the size of each resource; those left out have size 0."""
        for name in self.limit_by_name.keys() - limit_by_name.keys():
            del self.limit_by_name[name]
            self._free.discard(name)
        for name, limit in limit_by_name.items():
            self.set_limit(name, limit)

    def set_limit(self, name: str, limit: int) -> None:
        """Set the size of a resource; portions above it are taken back by later grants."""
        self.limit_by_name[name] = limit
        self._note_free(name)

    def held(self, name: str, router: str) -> int:
        """Return the most that a router may hold of a resource."""
        entry = self._entries.get(name, {}).get(router)
        return entry.most if entry else 0

    def granted(self, name: str, router: str) -> int:
        """Return the last grant of a resource to a router."""
        entry = self._entries.get(name, {}).get(router)
        return entry.granted if entry else 0

    def granted_to(self, router: str) -> dict[str, int]:
        """Return the last grant to a router, by resource; zeros are left out."""
        names = sorted(self._names_by_router.get(router, ()))
        return {name: n for name in names if (n := self._entries[name][router].granted)}

    def granted_total(self, router: str) -> int:
        """Return the sum of the last grants to a router."""
        return self._granted_by_router.get(router, 0)

    def used(self, name: str) -> int:
        """Return how much of a resource the routers report to use."""
        return sum(entry.used for entry in self._entries.get(name, {}).values())

    def excess(self, name: str) -> int:
        """Return by how much grants and running calls exceed a resource, as after it has shrunk."""
        return max(0, self._claim_by_name.get(name, 0) - self.limit_by_name.get(name, 0))

    def held_by(self, router: str) -> dict[str, int]:
        """Return the most that a router may hold, by resource; zeros are left out."""
        names = self._names_by_router.get(router, ())
        return {name: self._entries[name][router].most for name in names}

    def assigned(self, name: str) -> int:
        """Return the sum of the portions of a resource."""
        return self._most_by_name.get(name, 0)

    def free(self, name: str) -> int:
        """Return what may still be granted of a resource."""
        return max(0, self.limit_by_name.get(name, 0) - self.assigned(name))

    def has_free(self) -> bool:
        """Whether anything may still be granted."""
        return bool(self._free)

    def free_by_name(self) -> dict[str, int]:
        """Return what may still be granted, by resource; zeros are left out."""
        return {name: self.free(name) for name in self._free}

    def grant(self, name: str, router: str, count: int) -> None:
        """Record that a router is being granted a portion of ``count``.

        :raises ValueError: if the sum would exceed the resource.
        """
        most = self.held(name, router)
        if count > most and count - most > self.free(name):
            raise ValueError(f"{name}: {count} for {router} exceeds the resource")
        self._set(name, router, granted=count)

    def reported(self, router: str, holdings: Iterable[Holding], acknowledged: bool) -> None:
        """Take over what a router reports to hold.

        :param acknowledged: whether the report was sent after the last grant had been applied;
            otherwise the grant may still arrive and counts as well.
        """
        rest = set(self._names_by_router.get(router, ()))
        for item in holdings:
            rest.discard(item.name)
            granted = item.held if acknowledged else None
            self._set(item.name, router, item.held, item.used, granted)
        for name in rest:
            self._set(name, router, 0, 0, 0 if acknowledged else None)

    def adopt(self, router: str) -> None:
        """Grant a router what it reports to hold, as far as nobody else may hold it."""
        for name in list(self._names_by_router.get(router, ())):
            entry = self._entries[name][router]
            others = self.assigned(name) - entry.most
            left = max(0, self.limit_by_name.get(name, 0) - others)
            self._set(name, router, granted=min(entry.held, left))

    def remove_router(self, router: str) -> dict[str, int]:
        """Forget a router and return what it may have held, by resource."""
        held = self.held_by(router)
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
        """Change an entry and the sums that include it."""
        entries = self._entries.setdefault(name, {})
        entry = entries.setdefault(router, _Entry())
        most, claim, before = entry.most, entry.claim, entry.granted
        entry.held = entry.held if held is None else held
        entry.used = entry.used if used is None else used
        entry.granted = entry.granted if granted is None else granted
        _add(self._most_by_name, name, entry.most - most)
        _add(self._claim_by_name, name, entry.claim - claim)
        _add(self._granted_by_router, router, entry.granted - before)
        if entry.most:
            self._names_by_router.setdefault(router, set()).add(name)
        else:
            self._remove(name, router)
        if entry.most != most:
            self._note_free(name)

    def _remove(self, name: str, router: str) -> None:
        del self._entries[name][router]
        if not self._entries[name]:
            del self._entries[name]
        names = self._names_by_router.get(router, set())
        names.discard(name)
        if not names:
            self._names_by_router.pop(router, None)

    def _note_free(self, name: str) -> None:
        if self.free(name):
            self._free.add(name)
        else:
            self._free.discard(name)


def _add(sums: dict[str, int], key: str, amount: int) -> None:
    total = sums.get(key, 0) + amount
    if total:
        sums[key] = total
    else:
        sums.pop(key, None)


@dataclass(slots=True)
class _LostItem:
    router: str
    count: int
    since: float
    until: float


@dataclass(slots=True)
class LostPortions:
    """Portions that a lost router may still be using after the end of its lease."""

    _items_by_name: dict[str, list[_LostItem]] = field(default_factory=dict)

    def __bool__(self) -> bool:
        return bool(self._items_by_name)

    def add(self, router: str, portions: Mapping[str, int], since: float, until: float) -> None:
        """Count a lost router's portions as in use up to a time."""
        for name, count in portions.items():
            self._items_by_name.setdefault(name, []).append(_LostItem(router, count, since, until))

    def total(self, name: str) -> int:
        """Return how much of a resource may still be in use by lost routers."""
        return sum(item.count for item in self._items_by_name.get(name, ()))

    def limit(self, name: str, most: int, lost_before: float) -> bool:
        """Lower the total of a resource to what is known to be in use.

        :param lost_before: only portions lost before this time are lowered, because a load report
            that lags may not show the calls of the others.
        :returns: whether this has changed the total.
        """
        before = self.total(name)
        for item in self._items_by_name.get(name, ()):
            if item.since <= lost_before:
                item.count = min(item.count, most)
            most = max(0, most - item.count)
        return self.total(name) != before

    def remove_router(self, router: str) -> set[str]:
        """Forget the portions of a router that has come back; return the resources changed."""
        return self._drop(lambda item: item.router == router)

    def expire(self, now: float) -> set[str]:
        """Forget portions whose time is over; return the resources changed."""
        return self._drop(lambda item: not item.count or now >= item.until)

    def _drop(self, ended: Callable[[_LostItem], bool]) -> set[str]:
        changed = set()
        for name, items in list(self._items_by_name.items()):
            left = [item for item in items if not ended(item)]
            if len(left) != len(items):
                changed.add(name)
                self._items_by_name[name] = left
            if not left:
                del self._items_by_name[name]
        return changed


@dataclass(slots=True)
class Portion:
    """What a router holds and uses of one resource."""

    held: int = 0
    used: int = 0
    least: int = 0

    @property
    def idle(self) -> int:
        """Slots that are held but not in use; negative if a grant took away slots in use."""
        return self.held - self.used


@dataclass(slots=True)
class Portions:
    """Router's side: portions by resource, under one lease.

    The sum and the idle parts are kept up to date, so that a dispatch does not go through all
    resources.

    :ivar portion_by_name: changed by the methods only.
    :ivar expires_at: monotonic time at which the lease ends.
    """

    portion_by_name: dict[str, Portion] = field(default_factory=dict)
    expires_at: float = -math.inf
    _held: int = 0
    _idle: dict[str, int] = field(default_factory=dict)

    def apply(self, granted: Mapping[str, int]) -> None:
        """Replace the portions by newly granted ones."""
        for name in sorted(granted.keys() | self.portion_by_name.keys()):
            self._change(name, granted.get(name, 0) - self._of(name).held)

    def is_leased(self, now: float) -> bool:
        """Whether the lease is running, so that a first byte may be sent."""
        return now < self.expires_at

    def renew(self, expires_at: float) -> None:
        """Let the lease end at a time, unless it ends later already."""
        self.expires_at = max(self.expires_at, expires_at)

    def idle(self, name: str, now: float) -> int:
        """Return the slots of a resource that may be taken now; 0 once the lease has ended."""
        return self._idle.get(name, 0) if now < self.expires_at else 0

    def idle_by_name(self, now: float) -> dict[str, int]:
        """Return the slots that may be taken now, by resource; zeros are left out."""
        return dict(self._idle) if now < self.expires_at else {}

    def take(self, name: str) -> None:
        """Use one slot; the caller has checked :meth:`idle`."""
        self._change(name, used=1)

    def give_back(self, name: str) -> None:
        """End the use of one slot."""
        self._change(name, used=-1)

    def release(self, count: int) -> int:
        """Give up to ``count`` idle slots back, from the resource with most idle slots first.

        :returns: number of slots given up.
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

    def release_unused(self, name: str) -> None:
        """Give back what is not in use of one resource."""
        self._change(name, -self._idle.get(name, 0))

    def clear(self) -> None:
        """Give all portions back, as after the end of the lease; slots in use stay in use."""
        self.apply({})

    def total_held(self) -> int:
        """Return the sum of the held portions."""
        return self._held

    def holdings(self) -> tuple[Holding, ...]:
        """Return the portions as they are now."""
        portions = self.portion_by_name.items()
        return tuple(Holding(name, p.held, p.used, p.least) for name, p in portions)

    def report(self) -> tuple[Holding, ...]:
        """Return the portions for a report, and begin anew to watch for the least use."""
        result = self.holdings()
        for portion in self.portion_by_name.values():
            portion.least = portion.used
        return result

    def _of(self, name: str) -> Portion:
        return self.portion_by_name.get(name) or Portion()

    def _change(self, name: str, held: int = 0, used: int = 0) -> None:
        """Add to a portion, and to the sums that include it."""
        portion = self.portion_by_name.setdefault(name, Portion())
        portion.held += held
        portion.used += used
        portion.least = min(portion.least, portion.used)
        self._held += held
        if portion.idle > 0:
            self._idle[name] = portion.idle
        else:
            self._idle.pop(name, None)
        if not portion.held and not portion.used:
            del self.portion_by_name[name]
