"""Which pool each spare engine serves: placement that follows waiting work, with hysteresis."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .model import EngineState, Loaded, Placement, PlacementState

__all__ = ["Move", "SparePlanner", "SpareRules"]


@dataclass(slots=True, frozen=True)
class SpareRules:
    """Thresholds of placement.

    The distance between the two backlogs, and the times, keep spares from moving with every change
    of load: a load of weights costs minutes of an engine.

    :ivar high_backlog: a pool wants a spare from this many waiting calls per slot.
    :ivar low_backlog: a pool may lose a spare up to this many waiting calls per slot.
    :ivar hold_s: time for which either must hold.
    :ivar stay_s: time that a spare stays at least.
    """

    high_backlog: float = 1.0
    low_backlog: float = 0.1
    hold_s: float = 15.0
    stay_s: float = 120.0


@dataclass(slots=True, frozen=True)
class Move:
    """A change of one spare's row.

    :ivar old: row that it replaces; the write is conditional on its revision.
    """

    server: str
    old: Placement
    new: Placement


@dataclass(slots=True)
class SparePlanner:
    """Decides on the placement of spares, under the lease of the spares."""

    rules: SpareRules = field(default_factory=SpareRules)
    _high_since: dict[str, float] = field(default_factory=dict)
    _low_since: dict[str, float] = field(default_factory=dict)
    _placed_at: dict[str, float] = field(default_factory=dict)

    def on_backlog(self, pool: str, backlog: float | None, now: float) -> None:
        """Take a pool's waiting calls per slot; None if they are not known."""
        high = backlog is not None and backlog >= self.rules.high_backlog
        low = backlog is not None and backlog <= self.rules.low_backlog
        _track(self._high_since, pool, high, now)
        _track(self._low_since, pool, low, now)

    def step(
        self,
        placement_by_server: Mapping[str, Placement],
        state_by_server: Mapping[str, EngineState],
        wanted_by_pool: Mapping[str, Loaded],
        now: float,
    ) -> list[Move]:
        """Return the moves to make now.

        :param placement_by_server: row of each spare.
        :param wanted_by_pool: what the engines of each pool hold.
        """
        moves = []
        for server, row in sorted(placement_by_server.items()):
            self._placed_at.setdefault(server, now if row.pool else now - self.rules.stay_s)
            new = self._next(row, state_by_server.get(server), wanted_by_pool)
            if new is not None:
                moves.append(Move(server, row, new))
                self._placed_at[server] = now
        if not moves and not any(_is_moving(row) for row in placement_by_server.values()):
            moves += self._new_move(placement_by_server, now)
        return moves

    def _next(
        self,
        row: Placement,
        state: EngineState | None,
        wanted_by_pool: Mapping[str, Loaded],
    ) -> Placement | None:
        """Return the row after a move's next step, or None while it has to wait."""
        if state is None:
            return None
        if row.state == PlacementState.DRAINING and state.running == 0:
            return Placement(row.next, PlacementState.LOADING)
        if row.state == PlacementState.LOADING and state.loaded == wanted_by_pool.get(row.pool):
            return Placement(row.pool, PlacementState.SERVING)
        return None

    def _new_move(self, placement_by_server: Mapping[str, Placement], now: float) -> list[Move]:
        """Return the beginning of one move to the pool that has waited longest, if one is due."""
        needy = [
            (since, pool) for pool, since in self._high_since.items() if self._held(since, now)
        ]
        if not needy:
            return []
        pool = min(needy)[1]
        for server, row in sorted(placement_by_server.items(), key=lambda item: bool(item[1].pool)):
            if row.pool == pool or now - self._placed_at[server] < self.rules.stay_s:
                continue
            if not row.pool:
                return [Move(server, row, Placement(pool, PlacementState.LOADING))]
            since = self._low_since.get(row.pool)
            if since is not None and self._held(since, now):
                new = Placement(row.pool, PlacementState.DRAINING, pool)
                return [Move(server, row, new)]
        return []

    def _held(self, since: float, now: float) -> bool:
        return now - since >= self.rules.hold_s


def _is_moving(row: Placement) -> bool:
    return row.state != PlacementState.SERVING


def _track(since_by_pool: dict[str, float], pool: str, holds: bool, now: float) -> None:
    if holds:
        since_by_pool.setdefault(pool, now)
    else:
        since_by_pool.pop(pool, None)
