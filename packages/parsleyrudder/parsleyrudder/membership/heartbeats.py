"""Liveness of routers from the heartbeats in their table rows, and incarnation numbers."""

from collections.abc import Collection
from dataclasses import dataclass, field

__all__ = ["HeartbeatMonitor", "next_incarnation"]


def next_incarnation(wall_clock_s: float, row_incarnation: int = 0) -> int:
    """Return the incarnation number of a router that is starting.

    It increases with each start even if the wall clock was set back since the previous one.

    :param wall_clock_s: Unix time in seconds.
    :param row_incarnation: incarnation in the router's row; 0 if it has no row.

    >>> next_incarnation(2.0, 1500), next_incarnation(1.0, 1500)
    (2000, 1501)
    """
    return max(int(wall_clock_s * 1000), row_incarnation + 1)


@dataclass(slots=True)
class _Observation:
    """Last change of a router's row: its incarnation and heartbeat, and when it was read."""

    counters: tuple[int, int]
    changed_at: float


@dataclass(slots=True)
class HeartbeatMonitor:
    """Detects live and dead routers by whether the heartbeats in their rows increase.

    Only this router's clock is used, so that clock differences between routers have no effect.

    :ivar stale_after_s: time without a change after which the router of a row is considered dead.
    """

    stale_after_s: float = 60.0
    _last_by_router: dict[str, _Observation] = field(default_factory=dict)
    _last_read_at: float = 0.0

    def on_row(self, name: str, incarnation: int, heartbeat: int, now: float) -> float | None:
        """Record a row that has been read.

        :returns: a time after which the router was alive, or None if the row is new or unchanged.
        """
        last = self._last_by_router.get(name)
        counters = (incarnation, heartbeat)
        if last is None:
            self._last_by_router[name] = _Observation(counters, now)
            return None
        if last.counters == counters:
            return None
        self._last_by_router[name] = _Observation(counters, now)
        return self._last_read_at

    def finish_read(self, names: Collection[str], now: float) -> None:
        """Finish a read of all rows; drop the routers whose rows were not in it."""
        for name in self._last_by_router.keys() - set(names):
            del self._last_by_router[name]
        self._last_read_at = now

    def stale_routers(self, now: float) -> list[str]:
        """Return the routers that are considered dead, whose rows should be removed."""
        limit = self.stale_after_s
        return sorted(
            n for n, last in self._last_by_router.items() if now >= last.changed_at + limit
        )
