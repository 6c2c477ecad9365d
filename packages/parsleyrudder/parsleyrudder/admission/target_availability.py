"""Which targets this router may send a request to now, and when it may send to the others.

Brings together all that restricts what one target may get: its notices, the rate limit that it
states, and its ejection after failures.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..targets import Target
from .rate_limits import TargetRateLimits
from .requests import WaitingRequest
from .target_notices import TargetNotices

__all__ = ["TargetAvailability"]


@dataclass(slots=True)
class TargetAvailability:
    """Availability of the targets of one pool.

    :ivar ejected_targets: returns the ids of the targets that get no requests at a given time,
        because earlier requests to them failed.
    """

    rate_limits: TargetRateLimits = field(default_factory=TargetRateLimits)
    notices: TargetNotices = field(default_factory=TargetNotices)
    ejected_targets: Callable[[float], set[str]] = lambda now: set()

    def permitted(self, targets: Sequence[Target], request: WaitingRequest) -> list[Target]:
        """Return the targets that may get the request, now or later.

        These are the targets that have not failed the request, may go on with its stream, and are
        not leaving. If all of these are leaving, those that may still get the request.
        """
        remaining = list(targets)
        if request.excluded_target_ids:
            remaining = [t for t in remaining if t.id not in request.excluded_target_ids]
        if request.required_version is not None:
            remaining = [t for t in remaining if t.version == request.required_version]
        if not self.notices.has_leaving:
            return remaining
        staying = [t for t in remaining if not self.notices.is_leaving(t.lifetime)]
        return staying or [
            t for t in remaining if not self.notices.is_closed(t.lifetime, request.arrived_at)
        ]

    def are_all_leaving(self, targets: Sequence[Target]) -> bool:
        """Whether there are targets, and each of them is leaving."""
        return bool(targets) and all(self.notices.is_leaving(t.lifetime) for t in targets)

    def without_ejected(self, targets: list[Target], now: float) -> list[Target]:
        """Return the targets that are not ejected.

        If all targets are ejected, returns these, because only a request can show whether one of
        them works again.
        """
        ejected = self.ejected_targets(now)
        if not ejected:
            return targets
        return [target for target in targets if target.id not in ejected] or targets

    def pause_s(self, targets: list[Target], now: float) -> float:
        """Return the time until the first of the targets wants no pause any more; 0 for none."""
        if not self.notices.has_pauses:
            return 0.0
        return min((self.notices.pause_s(target, now) for target in targets), default=0.0)

    def open_now(self, targets: list[Target], now: float) -> list[Target]:
        """Return the targets that want a request from this router now."""
        if not self.rate_limits.limited_count() and not self.notices.has_pauses:
            return targets
        return [target for target in targets if self.wait_s(target, now) <= 0.0]

    def wait_s(self, target: Target, now: float) -> float:
        """Return the time until this router may send a request to a target; infinite for never."""
        return max(self.notices.pause_s(target, now), self.rate_limits.wait_s(target.lifetime, now))

    def may_send(self, target: Target, request: WaitingRequest, now: float) -> bool:
        """Whether a request that was placed on a target may still be sent to it."""
        is_closed = self.notices.is_closed(target.lifetime, request.arrived_at)
        return not is_closed and not self.notices.is_paused(target.lifetime, now)

    def record_sent(self, target: Target, now: float) -> None:
        """Count a request that is sent to a target."""
        self.rate_limits.take(target.lifetime, now)
        self.notices.record_sent(target.lifetime, now)
