"""Leased portions: what each router may use of a resource, seen by the coordinator and by a router.

A resource is the window of a server, or a member's concurrency limit. The sum of what the routers
may hold never exceeds the resource.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..messages import Holding

__all__ = ["Ledger", "LostPortions", "Portion", "Portions"]


@dataclass(slots=True)
class _Entry:
    """Most that one router may hold: the reported portion or the unacknowledged grant."""

    reported: int = 0
    granted: int = 0

    @property
    def most(self) -> int:
        return max(self.reported, self.granted)


@dataclass(slots=True)
class Ledger:
    """Coordinator's side: portions by resource and router.

    :ivar limit_by_name: size of each resource.
    """

    limit_by_name: dict[str, int] = field(default_factory=dict)
    _entries: dict[str, dict[str, _Entry]] = field(default_factory=dict)

    def held(self, name: str, router: str) -> int:
        """Return the most that a router may hold of a resource."""
        entry = self._entries.get(name, {}).get(router)
        return entry.most if entry else 0

    def granted_to(self, router: str) -> dict[str, int]:
        """Return the last grant to a router, by resource; zeros are left out."""
        return {
            name: entries[router].granted
            for name, entries in self._entries.items()
            if router in entries and entries[router].granted
        }

    def excess(self, name: str) -> int:
        """Return by how much the grants of a resource exceed it, as after it has shrunk."""
        granted = sum(entry.granted for entry in self._entries.get(name, {}).values())
        return max(0, granted - self.limit_by_name.get(name, 0))

    def held_by(self, router: str) -> dict[str, int]:
        """Return the most that a router may hold, by resource; zeros are left out."""
        return {
            name: entries[router].most
            for name, entries in self._entries.items()
            if router in entries and entries[router].most
        }

    def assigned(self, name: str) -> int:
        """Return the sum of the portions of a resource."""
        return sum(entry.most for entry in self._entries.get(name, {}).values())

    def free(self, name: str) -> int:
        """Return what may still be granted of a resource."""
        return max(0, self.limit_by_name.get(name, 0) - self.assigned(name))

    def grant(self, name: str, router: str, count: int) -> None:
        """Record that a router is being granted a portion of ``count``.

        :raises ValueError: if the sum would exceed the resource.
        """
        entry = self._entry(name, router)
        if count > entry.most and count - entry.most > self.free(name):
            raise ValueError(f"{name}: {count} for {router} exceeds the resource")
        entry.granted = count

    def reported(self, router: str, holdings: Iterable[Holding], acknowledged: bool) -> None:
        """Take over what a router reports to hold.

        :param acknowledged: whether the report was sent after the last grant had been applied;
            otherwise the grant may still arrive and counts as well.
        """
        held_by_name = {holding.name: max(holding.held, holding.used) for holding in holdings}
        for name in held_by_name.keys() | self._names_of(router):
            entry = self._entry(name, router)
            entry.reported = held_by_name.get(name, 0)
            if acknowledged:
                entry.granted = entry.reported
            if entry.most == 0:
                self._remove(name, router)

    def remove_router(self, router: str) -> dict[str, int]:
        """Forget a router and return what it may have held, by resource."""
        held = self.held_by(router)
        for name in self._names_of(router):
            self._remove(name, router)
        return held

    def _names_of(self, router: str) -> set[str]:
        return {name for name, entries in self._entries.items() if router in entries}

    def _entry(self, name: str, router: str) -> _Entry:
        return self._entries.setdefault(name, {}).setdefault(router, _Entry())

    def _remove(self, name: str, router: str) -> None:
        entries = self._entries[name]
        del entries[router]
        if not entries:
            del self._entries[name]


@dataclass(slots=True)
class _LostItem:
    count: int
    until: float
    router: str


@dataclass(slots=True)
class LostPortions:
    """Portions that a lost router may still be using after the end of its lease."""

    _items_by_name: dict[str, list[_LostItem]] = field(default_factory=dict)

    def add(self, portions: Mapping[str, int], until: float, router: str = "") -> None:
        """Count portions as in use up to a time.

        :param router: name and incarnation of the owner, if it may return and report them.
        """
        for name, count in portions.items():
            self._items_by_name.setdefault(name, []).append(_LostItem(count, until, router))

    def remove(self, router: str) -> None:
        """Forget the portions of a router that reports again."""
        for items in self._items_by_name.values():
            items[:] = [item for item in items if item.router != router]

    def total(self, name: str) -> int:
        """Return how much of a resource may still be in use by lost routers."""
        return sum(item.count for item in self._items_by_name.get(name, ()))

    def limit(self, name: str, most: int) -> None:
        """Lower the total of a resource to what is known to be in use."""
        for item in self._items_by_name.get(name, ()):
            item.count = min(item.count, most)
            most -= item.count

    def expire(self, now: float) -> None:
        """Forget portions whose time is over."""
        for name, items in list(self._items_by_name.items()):
            items[:] = [item for item in items if item.count and now < item.until]
            if not items:
                del self._items_by_name[name]


@dataclass(slots=True)
class Portion:
    """What a router holds and uses of one resource."""

    held: int = 0
    used: int = 0

    @property
    def idle(self) -> int:
        """Slots that are held but not in use; negative if a grant took away slots in use."""
        return self.held - self.used


@dataclass(slots=True)
class Portions:
    """Router's side: portions by resource, under one lease.

    :ivar expires_at: monotonic time at which the lease ends.
    """

    portion_by_name: dict[str, Portion] = field(default_factory=dict)
    expires_at: float = -math.inf

    def apply(self, granted: Mapping[str, int], expires_at: float) -> None:
        """Replace the portions by newly granted ones."""
        for name in granted.keys() | self.portion_by_name.keys():
            self._portion(name).held = granted.get(name, 0)
        self.expires_at = max(self.expires_at, expires_at)
        self._drop_empty()

    def is_leased(self, now: float) -> bool:
        """Whether the lease is running, so that a first byte may be sent."""
        return now < self.expires_at

    def idle(self, name: str, now: float) -> int:
        """Return the slots of a resource that may be taken now; 0 once the lease has ended."""
        portion = self.portion_by_name.get(name)
        if portion is None or now >= self.expires_at:
            return 0
        return max(0, portion.idle)

    def idle_by_name(self, now: float) -> dict[str, int]:
        """Return the slots that may be taken now, by resource; zeros are left out."""
        if now >= self.expires_at:
            return {}
        return {name: p.idle for name, p in self.portion_by_name.items() if p.idle > 0}

    def take(self, name: str) -> None:
        """Use one slot; the caller has checked :meth:`idle`."""
        self._portion(name).used += 1

    def give_back(self, name: str) -> None:
        """End the use of one slot."""
        self._portion(name).used -= 1
        self._drop_empty()

    def release(self, count: int) -> int:
        """Give up to ``count`` idle slots back, from the resource with most idle slots first.

        :returns: number of slots given up.
        """
        released = 0
        while released < count:
            name, portion = max(
                self.portion_by_name.items(), key=lambda item: item[1].idle, default=("", Portion())
            )
            if portion.idle <= 0:
                break
            portion.held -= 1
            released += 1
        self._drop_empty()
        return released

    def clear(self) -> None:
        """Give all idle portions back, as after the end of the lease."""
        for portion in self.portion_by_name.values():
            portion.held = 0
        self._drop_empty()

    def total_held(self) -> int:
        """Return the sum of the held portions."""
        return sum(portion.held for portion in self.portion_by_name.values())

    def holdings(self) -> tuple[Holding, ...]:
        """Return the portions for a report."""
        return tuple(Holding(name, p.held, p.used) for name, p in self.portion_by_name.items())

    def _portion(self, name: str) -> Portion:
        return self.portion_by_name.setdefault(name, Portion())

    def _drop_empty(self) -> None:
        for name in [n for n, p in self.portion_by_name.items() if not p.held and not p.used]:
            del self.portion_by_name[name]
