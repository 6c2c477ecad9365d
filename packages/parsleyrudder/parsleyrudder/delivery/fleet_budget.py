"""Retry budget of a pool, shared by all routers without a message per request."""

from collections import deque
from dataclasses import dataclass, field

__all__ = ["FleetRetryBudget", "FleetRetryLimits"]

# Only this fraction of the allowance is used, because the sliding windows of two routers differ.
_USABLE_FRACTION = 0.75


@dataclass(slots=True, frozen=True)
class FleetRetryLimits:
    """Limits of the whole fleet: retries <= ratio x requests + fixed_retries in any window.

    :ivar ratio: retries allowed per request.
    :ivar window_s: length of the sliding window.
    :ivar fixed_retries: retries that the fleet may make in a window without any request.
    """

    ratio: float = 0.1
    window_s: float = 10.0
    fixed_retries: float = 0.0


@dataclass(slots=True)
class FleetRetryBudget:
    """One router's share of the fleet's retry budget.

    Each router applies the ratio to its own requests and uses an equal share of the fixed
    retries, so the sum over all routers keeps the limit for any distribution of the traffic. A
    router that has just started has counted no requests and may replace a process that used up
    its share, so its fixed allowance starts at zero and grows to its full size within one window.
    """

    limits: FleetRetryLimits
    started_at: float
    _requests: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def on_request(self, now: float) -> None:
        """Count a request that is sent for the first time."""
        self._requests.append(now)

    def take(self, routers: int, now: float) -> bool:
        """Consume one retry if the budget allows it; return whether it did.

        :param routers: number of routers in the fleet, this one included.

        >>> budget = FleetRetryBudget(FleetRetryLimits(0.2, 10.0, 8.0), started_at=0.0)
        >>> [budget.take(2, 20.0) for _ in range(4)]
        [True, True, True, False]
        """
        since = now - self.limits.window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= since:
                times.popleft()
        filled = min(1.0, (now - self.started_at) / self.limits.window_s)
        fixed = filled * self.limits.fixed_retries / max(1, routers)
        allowance = _USABLE_FRACTION * (self.limits.ratio * len(self._requests) + fixed)
        if len(self._retries) + 1 > allowance:
            return False
        self._retries.append(now)
        return True
