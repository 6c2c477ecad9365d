"""Estimates of the duration of calls and of the drain rate of queues, learned at one router."""

import math
from dataclasses import dataclass, field

__all__ = ["DrainRate", "DurationEstimator"]

_LEARNING_RATE = 0.2
_DECAY_S = 10.0
_MIN_CALLS = 3.0
_MIN_PAUSE_S = 1.0


@dataclass(slots=True)
class DurationEstimator:
    """Mean duration of a call by member and kind, learned from finished calls.

    :ivar max_age_s: time after which a mean is discarded unless another call has finished. Without
        this limit, one slow period could have all calls of a kind refused for their expected
        duration; then none would finish and correct the mean.
    """

    max_age_s: float = 30.0
    _heartbeat_at: float = math.inf
    _resumed_at: float = -math.inf
    _mean_by_kind: dict[tuple[str, str], tuple[float, float]] = field(default_factory=dict)

    def expected_s(self, member: str, kind: str, now: float) -> float:
        """Return the expected duration of a call, or 0 if no recent mean is known."""
        mean, learned_at = self._mean_by_kind.get((member, kind), (0.0, -math.inf))
        return mean if now < learned_at + self.max_age_s else 0.0

    def record_heartbeat(self, now: float) -> None:
        """Note that the process is running; a gap between heartbeats is a pause of the process."""
        if now > self._heartbeat_at + _MIN_PAUSE_S:
            self._resumed_at = now
        self._heartbeat_at = now

    def learn(self, member: str, kind: str, duration_s: float, now: float) -> None:
        """Update the mean with the duration of a finished call.

        A call that ran during a pause of this process is ignored: its duration includes the pause,
        and calls that need less would be refused.
        """
        self.record_heartbeat(now)
        if now - duration_s < self._resumed_at:
            return
        mean, _ = self._mean_by_kind.get((member, kind), (duration_s, now))
        mean += _LEARNING_RATE * (duration_s - mean)
        self._mean_by_kind[member, kind] = (mean, now)


@dataclass(slots=True)
class DrainRate:
    """Rate at which calls leave a queue while calls wait in it, decayed exponentially over 10 s.

    >>> drain = DrainRate()
    >>> for second in range(8):
    ...     drain.on_dispatch(float(second), waited=second > 0)
    >>> round(drain.wait_s(2, 7.0), 1)
    1.9
    """

    _calls: float = 0.0
    _busy_s: float = 0.0
    _updated_at: float = -math.inf

    def begin(self, now: float) -> None:
        """Note that the queue has become non-empty."""
        self._updated_at = now

    def on_dispatch(self, now: float, waited: bool) -> None:
        """Count a call that was sent to a server.

        :param waited: whether it had to wait; other calls do not reflect the drain rate.
        """
        self._advance(now)
        if waited:
            self._calls += 1

    def wait_s(self, calls: int, now: float) -> float | None:
        """Return the expected time until ``calls`` have left; None if too few were observed."""
        busy_s = self._busy_s + max(0.0, now - self._updated_at)
        if self._calls < _MIN_CALLS or not busy_s:
            return None
        return calls * busy_s / self._calls

    def _advance(self, now: float) -> None:
        elapsed = now - self._updated_at if self._updated_at > -math.inf else 0.0
        kept = math.exp(-elapsed / _DECAY_S)
        self._calls *= kept
        self._busy_s = self._busy_s * kept + _DECAY_S * (1 - kept)
        self._updated_at = now
