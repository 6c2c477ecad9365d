"""Assignment of spare engines to pools by their backlog, with hysteresis."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .model import EngineState, ModelSpec, Placement, PlacementState

__all__ = ["SpareMove", "SparePlanner", "SpareRules"]


@dataclass(slots=True, frozen=True)
class SpareRules:
    """Thresholds for moving a spare engine from pool to pool.

    The gap between the two backlog thresholds, and the two times, keep spares from moving with
    every change in load: loading weights takes an engine minutes.

    :ivar high_backlog: waiting calls per slot from which a pool needs a spare.
    :ivar low_backlog: waiting calls per slot up to which a pool may lose a spare.
    :ivar backlog_hold_s: time for which the backlog must stay at or beyond a threshold.
    :ivar spare_stay_s: minimum time that a spare stays with a pool before it may be moved.
    """

    high_backlog: float = 1.0
    low_backlog: float = 0.1
    backlog_hold_s: float = 15.0
    spare_stay_s: float = 120.0


@dataclass(slots=True, frozen=True)
class SpareMove:
    """Change of one spare engine's row.

    :ivar server: id of the engine.
    :ivar old: row to replace; the write is conditional on its revision.
    """

    server: str
    old: Placement
    new: Placement


@dataclass(slots=True)
class SparePlanner:
    """Assigns spare engines to pools; runs on the router that holds the lease of the spares."""

    rules: SpareRules = field(default_factory=SpareRules)
    _high_since: dict[str, float] = field(default_factory=dict)
    _low_since: dict[str, float] = field(default_factory=dict)
    _placed_at: dict[str, float] = field(default_factory=dict)

    def on_backlog(self, pool: str, backlog: float | None, now: float) -> None:
        """Record a pool's waiting calls per slot; None if the number is unknown."""
        high = backlog is not None and backlog >= self.rules.high_backlog
        low = backlog is not None and backlog <= self.rules.low_backlog
        _update_since(self._high_since, pool, high, now)
        _update_since(self._low_since, pool, low, now)

    def plan_moves(
        self,
        placement_by_server: Mapping[str, Placement],
        state_by_server: Mapping[str, EngineState],
        wanted_by_pool: Mapping[str, ModelSpec],
        now: float,
    ) -> list[SpareMove]:
        """Return the row changes to make now: steps of moves in progress, or the start of one move.

        :param placement_by_server: row of each spare.
        :param state_by_server: last reported state of each spare; without an entry if unknown.
        :param wanted_by_pool: model that the engines of each pool should load.
        """
        moves = []
        for server, row in sorted(placement_by_server.items()):
            self._placed_at.setdefault(server, now if row.pool else now - self.rules.spare_stay_s)
            new = self._next_row(row, state_by_server.get(server), wanted_by_pool)
            if new is not None:
                moves.append(SpareMove(server, row, new))
                self._placed_at[server] = now
        if not moves and not any(_is_moving(row) for row in placement_by_server.values()):
            moves += self._start_move(placement_by_server, now)
        return moves

    def _next_row(
        self,
        row: Placement,
        state: EngineState | None,
        wanted_by_pool: Mapping[str, ModelSpec],
    ) -> Placement | None:
        """Return the row after the next step of a move, or None if that has to wait."""
        if state is None:
            return None
        if row.state == PlacementState.DRAINING and state.running == 0:
            return Placement(row.next, PlacementState.LOADING)
        if row.state == PlacementState.LOADING and state.loaded == wanted_by_pool.get(row.pool):
            return Placement(row.pool, PlacementState.SERVING)
        return None

    def _start_move(
        self, placement_by_server: Mapping[str, Placement], now: float
    ) -> list[SpareMove]:
        """Return the first step of a move to the pool whose backlog has been high for longest.

        The list is empty if no pool needs a spare, or if no spare may move.
        """
        overloaded = [
            (since, pool)
            for pool, since in self._high_since.items()
            if self._has_lasted(since, now)
        ]
        if not overloaded:
            return []
        pool = min(overloaded)[1]
        for server, row in sorted(placement_by_server.items(), key=lambda item: bool(item[1].pool)):
            if row.pool == pool or now - self._placed_at[server] < self.rules.spare_stay_s:
                continue
            if not row.pool:
                return [SpareMove(server, row, Placement(pool, PlacementState.LOADING))]
            since = self._low_since.get(row.pool)
            if since is not None and self._has_lasted(since, now):
                new = Placement(row.pool, PlacementState.DRAINING, pool)
                return [SpareMove(server, row, new)]
        return []

    def _has_lasted(self, since: float, now: float) -> bool:
        return now - since >= self.rules.backlog_hold_s


def _is_moving(row: Placement) -> bool:
    return row.state != PlacementState.SERVING


def _update_since(since_by_pool: dict[str, float], pool: str, condition: bool, now: float) -> None:
    if condition:
        since_by_pool.setdefault(pool, now)
    else:
        since_by_pool.pop(pool, None)
