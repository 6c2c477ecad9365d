"""Load shedding of a router whose processor cannot handle all requests that arrive.

Designed for the callers of one large organisation that all connect to the same router. Without
shedding, the turns of its event loop become so long that no request is read, refused or relayed in
time, those of the other organisations included.
"""

import math
from collections import Counter
from dataclasses import dataclass, field

__all__ = ["LoadShedder", "SheddingRules"]


@dataclass(slots=True, frozen=True)
class SheddingRules:
    """When a router sheds load, and how fast it reacts.

    :ivar max_turn_s: mean duration of a turn of the event loop above which an interval counts as
        late.
    :ivar interval_s: time over which the mean is taken and after which the limit changes.
    :ivar late_intervals: number of late intervals in a row after which requests are limited; a
        single long turn, as after a suspension of the instance, is no overload.
    :ivar decrease_factor: factor on the limit after a late interval.
    :ivar increase_factor: factor on the limit after another interval.
    :ivar min_limit: least number of requests per interval and organisation that are handled.
    :ivar recovery_s: time without a late interval and a shed request after which the limit ends.
    """

    max_turn_s: float = 0.05
    interval_s: float = 0.2
    late_intervals: int = 2
    decrease_factor: float = 0.85
    increase_factor: float = 1.05
    min_limit: float = 4.0
    recovery_s: float = 1.0


@dataclass(slots=True)
class LoadShedder:
    """Limits the requests per organisation while the event loop is overloaded.

    The limit is the same for all organisations, so that only those with the most requests are
    limited (max-min fairness). It decreases and increases by factors until the turns of the loop
    are short again.

    >>> shedder = LoadShedder()
    >>> shedder.is_overloaded, shedder.admits("a")
    (False, True)
    """

    rules: SheddingRules = field(default_factory=SheddingRules)
    _limit_per_interval: float = math.inf
    _arrived_by_organisation: Counter[str] = field(default_factory=Counter)
    _turns: int = 0
    _busy_s: float = 0.0
    _late_intervals: int = 0
    _has_shed: bool = False
    _interval_started_at: float = 0.0
    _last_limited_at: float = 0.0

    @property
    def is_overloaded(self) -> bool:
        """Whether the requests per organisation are limited."""
        return self._limit_per_interval < math.inf

    def admits(self, organisation: str) -> bool:
        """Count a new request, and return whether it is to be handled; else refuse it."""
        self._arrived_by_organisation[organisation] += 1
        if self._arrived_by_organisation[organisation] <= self._limit_per_interval:
            return True
        self._has_shed = True
        return False

    def record_turn(self, turn_s: float, now: float) -> None:
        """Record the duration of a turn of the event loop, without the time spent waiting.

        :param now: end of the turn.
        """
        self._turns += 1
        self._busy_s += turn_s
        if now - self._interval_started_at >= self.rules.interval_s:
            self._adjust_limit(now)
            self._begin_interval(now)

    def _adjust_limit(self, now: float) -> None:
        is_late = self._busy_s / self._turns > self.rules.max_turn_s
        self._late_intervals = self._late_intervals + 1 if is_late else 0
        if self._late_intervals >= self.rules.late_intervals:
            largest = max(self._arrived_by_organisation.values(), default=0)
            limit = self.rules.decrease_factor * min(self._limit_per_interval, largest)
            self._limit_per_interval = max(self.rules.min_limit, limit)
        elif self.is_overloaded:
            self._limit_per_interval *= self.rules.increase_factor
        if is_late or self._has_shed:
            self._last_limited_at = now
        elif now - self._last_limited_at >= self.rules.recovery_s:
            self._limit_per_interval = math.inf

    def _begin_interval(self, now: float) -> None:
        self._arrived_by_organisation.clear()
        self._turns, self._busy_s, self._has_shed = 0, 0.0, False
        self._interval_started_at = now
