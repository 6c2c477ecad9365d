"""How long calls take and how fast a queue drains, learned at one router."""

import math
from dataclasses import dataclass, field

__all__ = ["DrainRate", "DurationEstimator"]

_LEARNING_RATE = 0.2
_FADE_S = 10.0
_ENOUGH_CALLS = 3.0
_PAUSE_S = 1.0


@dataclass(slots=True)
class DurationEstimator:
    """Mean duration of a call by member and kind, learned from finished calls.

    :ivar keep_s: time after which a mean is not used any more unless a call has finished since.
        If calls of a kind were refused for their duration, none would finish and correct the mean;
        without this limit one slow spell would refuse them for ever.
    """

    keep_s: float = 30.0
    _alive_at: float = math.inf
    _resumed_at: float = -math.inf
    _mean_by_kind: dict[tuple[str, str], tuple[float, float]] = field(default_factory=dict)

    def expected_s(self, member: str, kind: str, now: float) -> float:
        """Return the expected duration of a call, or 0 if nothing recent is known."""
        mean, learned_at = self._mean_by_kind.get((member, kind), (0.0, -math.inf))
        return mean if now < learned_at + self.keep_s else 0.0

    def alive(self, now: float) -> None:
        """Note that the process runs; a gap between two such notes is a pause of the process."""
        if now > self._alive_at + _PAUSE_S:
            self._resumed_at = now
        self._alive_at = now

    def learn(self, member: str, kind: str, duration_s: float, now: float) -> None:
        """Take the duration of a finished call into account.

        A call that ran during a pause of this process says nothing: it would have the next calls
        refused for a duration that they do not need.
        """
        self.alive(now)
        if now - duration_s < self._resumed_at:
            return
        mean, _ = self._mean_by_kind.get((member, kind), (duration_s, now))
        mean += _LEARNING_RATE * (duration_s - mean)
        self._mean_by_kind[member, kind] = (mean, now)


@dataclass(slots=True)
class DrainRate:
    """Rate at which a queue is drained while calls wait in it; the past fades within 10 s.

    >>> drain = DrainRate()
    >>> for second in range(8):
    ...     drain.left(float(second), waited=second > 0)
    >>> round(drain.wait_s(2, 7.0), 1)
    1.9
    """

    _calls: float = 0.0
    _busy_s: float = 0.0
    _marked_at: float = -math.inf

    def begin(self, now: float) -> None:
        """Note that the queue is not empty any more."""
        self._marked_at = now

    def left(self, now: float, waited: bool) -> None:
        """Count a call that has left for a server.

        :param waited: whether it had to wait; others say nothing about the rate.
        """
        self._advance(now)
        if waited:
            self._calls += 1

    def wait_s(self, calls: int, now: float) -> float | None:
        """Return the expected time until some calls have left; None if too few have been seen."""
        busy_s = self._busy_s + max(0.0, now - self._marked_at)
        if self._calls < _ENOUGH_CALLS or not busy_s:
            return None
        return calls * busy_s / self._calls

    def _advance(self, now: float) -> None:
        elapsed = now - self._marked_at if self._marked_at > -math.inf else 0.0
        kept = math.exp(-elapsed / _FADE_S)
        self._calls *= kept
        self._busy_s = self._busy_s * kept + _FADE_S * (1 - kept)
        self._marked_at = now
