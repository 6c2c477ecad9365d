"""Rows of routers in the table: signs of life, rows of dead routers, incarnations."""

from collections.abc import Collection
from dataclasses import dataclass, field

__all__ = ["RowWatcher", "next_incarnation"]


def next_incarnation(wall_clock_s: float, row_incarnation: int = 0) -> int:
    """Return the incarnation of a router that starts.

    It grows with each start even if the wall clock was set back since the last one.

    :param wall_clock_s: seconds since the epoch.
    :param row_incarnation: incarnation in the router's row; 0 without a row.

    >>> next_incarnation(2.0, 1500), next_incarnation(1.0, 1500)
    (2000, 1501)
    """
    return max(int(wall_clock_s * 1000), row_incarnation + 1)


@dataclass(slots=True)
class _Seen:
    age: tuple[int, int]
    changed_at: float


@dataclass(slots=True)
class RowWatcher:
    """Judges rows by whether their heartbeats move, and by this router's clock only.

    :ivar remove_after_s: time without a change after which a row is that of a dead router.
    """

    remove_after_s: float = 60.0
    _seen: dict[str, _Seen] = field(default_factory=dict)
    _read_at: float = 0.0

    def on_row(self, name: str, incarnation: int, heartbeat: int, now: float) -> float | None:
        """Take a row that has been read.

        :returns: a time after which the router was alive, or None if the row has not moved.
        """
        seen = self._seen.get(name)
        age = (incarnation, heartbeat)
        if seen is None:
            self._seen[name] = _Seen(age, now)
            return None
        if seen.age == age:
            return None
        self._seen[name] = _Seen(age, now)
        return self._read_at

    def end_read(self, names: Collection[str], now: float) -> None:
        """End the read of all rows; rows that were not in it are gone."""
        for name in self._seen.keys() - set(names):
            del self._seen[name]
        self._read_at = now

    def stale(self, now: float) -> list[str]:
        """Return the routers whose rows should be removed."""
        limit = self.remove_after_s
        return sorted(n for n, seen in self._seen.items() if now >= seen.changed_at + limit)
