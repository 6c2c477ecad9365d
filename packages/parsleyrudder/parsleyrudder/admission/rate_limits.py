"""Request rates that targets accept from all routers together, divided between the routers.

Designed for targets that ask for less while they are impaired. Their limits may be lower than the
number of routers, so each limit is divided between a few routers only, its holders. Which routers
these are follows from the view of the fleet by rendezvous hashing, without a message per request.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..membership import rendezvous
from ..messages import TargetLimit
from ..targets import Target

__all__ = ["TargetRateLimits"]

# Rate at which a target with a lower limit still gets requests, whose responses show whether the
# limit has ended.
_MIN_RATE_PER_S = 0.1
# Each holder may send one request at once after an idle time. This many holders in addition to the
# limit keep such bursts small, and give most routers a part of a low limit.
_EXTRA_HOLDERS = 4
_REPORT_REPEAT_S = 1.0
# Time for which a holder of a high rate may save up its part, so that polling does not waste it.
_BURST_S = 0.1


@dataclass(slots=True)
class _Limit:
    """The limit of one lifetime of a target, and this router's part of it (a token bucket).

    :ivar requests_per_s: limit of all routers together; None if it has ended.
    :ivar observed_at: time at which the target last stated it, to any router.
    :ivar own_observed_at: time at which the target last stated it to this router.
    :ivar rate_per_s: part of the limit that this router holds.
    """

    requests_per_s: float | None
    observed_at: float
    own_observed_at: float = float("-inf")
    rate_per_s: float = 0.0
    tokens: float = 0.0
    refilled_at: float = 0.0

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last call."""
        elapsed_s = max(0.0, now - self.refilled_at)
        self.add(elapsed_s * self.rate_per_s)
        self.refilled_at = now

    def add(self, tokens: float) -> None:
        """Add tokens, up to those of one request or of a short burst."""
        self.tokens = min(max(1.0, _BURST_S * self.rate_per_s), self.tokens + tokens)


@dataclass(slots=True)
class TargetRateLimits:
    """Limits by lifetime of a target; targets without a limit are not stored."""

    _limit_by_lifetime: dict[str, _Limit] = field(default_factory=dict)
    _own_name: str = ""
    _routers: tuple[str, ...] = ()

    def set_routers(self, own_name: str, routers: Iterable[str], now: float) -> None:
        """Set the routers that divide the limits; one that is leaving holds no part any more."""
        names = tuple(sorted(routers))
        if (own_name, names) == (self._own_name, self._routers):
            return
        self._own_name, self._routers = own_name, names
        for lifetime, limit in self._limit_by_lifetime.items():
            self._set_part(lifetime, limit, now)

    def record_response(self, lifetime: str, requests_per_s: float | None, now: float) -> bool:
        """Record the limit that a response states, or None if it states none.

        :returns: whether the limit has changed.
        """
        limit = self._limit_by_lifetime.get(lifetime)
        if limit is None and requests_per_s is None:
            return False
        has_changed = self._update(lifetime, requests_per_s, now, now)
        self._limit_by_lifetime[lifetime].own_observed_at = now
        return has_changed

    def record_report(self, report: TargetLimit, now: float) -> bool:
        """Apply the report of another router if it is newer; return whether the limit changed."""
        known = report.lifetime in self._limit_by_lifetime
        if not known and report.requests_per_s is None:
            return False
        observed_at = now - report.age_ms / 1000
        return self._update(report.lifetime, report.requests_per_s, observed_at, now)

    def report(self, now: float) -> tuple[TargetLimit, ...]:
        """Return what targets have recently stated to this router."""
        return tuple(
            TargetLimit(
                lifetime, limit.requests_per_s, max(0, round(1000 * (now - limit.own_observed_at)))
            )
            for lifetime, limit in self._limit_by_lifetime.items()
            if now - limit.own_observed_at <= _REPORT_REPEAT_S
            and limit.own_observed_at == limit.observed_at
        )

    def limit_per_s(self, lifetime: str) -> float | None:
        """Return the limit of all routers together, or None if there is none."""
        limit = self._limit_by_lifetime.get(lifetime)
        return limit.requests_per_s if limit else None

    def limited_count(self) -> int:
        """Return the number of targets with a limit."""
        return sum(limit.requests_per_s is not None for limit in self._limit_by_lifetime.values())

    def wait_s(self, lifetime: str, now: float) -> float:
        """Return the time until this router may send a request; infinite if it holds no part."""
        limit = self._limit_by_lifetime.get(lifetime)
        if limit is None or limit.requests_per_s is None:
            return 0.0
        limit.refill(now)
        if limit.tokens >= 1.0:
            return 0.0
        if limit.rate_per_s <= 0.0:
            return math.inf
        return (1.0 - limit.tokens) / limit.rate_per_s

    def without_limited(self, targets: list[Target], now: float) -> list[Target]:
        """Return the targets to which this router may send a request now."""
        if not self._limit_by_lifetime:
            return targets
        return [target for target in targets if self.wait_s(target.lifetime, now) <= 0.0]

    def take(self, lifetime: str, now: float) -> None:
        """Count a request that is sent to a target."""
        self._add_tokens(lifetime, -1.0, now)

    def refund(self, lifetime: str, now: float) -> None:
        """Undo :meth:`take` for a request that did not reach the target."""
        self._add_tokens(lifetime, 1.0, now)

    def retain(self, lifetimes: set[str]) -> None:
        """Forget the limits of all lifetimes except the given ones."""
        for lifetime in [key for key in self._limit_by_lifetime if key not in lifetimes]:
            del self._limit_by_lifetime[lifetime]

    def _update(
        self, lifetime: str, requests_per_s: float | None, observed_at: float, now: float
    ) -> bool:
        limit = self._limit_by_lifetime.get(lifetime)
        if limit is None:
            limit = self._limit_by_lifetime[lifetime] = _Limit(None, observed_at, refilled_at=now)
        elif observed_at < limit.observed_at:
            return False
        limit.observed_at = observed_at
        if requests_per_s == limit.requests_per_s:
            return False
        is_new = limit.requests_per_s is None
        limit.requests_per_s = requests_per_s
        self._set_part(lifetime, limit, now)
        if is_new:
            limit.tokens = self._initial_tokens(lifetime, limit)
        return True

    def _add_tokens(self, lifetime: str, tokens: float, now: float) -> None:
        limit = self._limit_by_lifetime.get(lifetime)
        if limit is not None and limit.requests_per_s is not None:
            limit.refill(now)
            limit.add(tokens)

    def _set_part(self, lifetime: str, limit: _Limit, now: float) -> None:
        """Compute this router's part of a limit from the routers and the limit."""
        limit.refill(now)
        limit.rate_per_s = 0.0
        if limit.requests_per_s is not None:
            holders = self._holders(lifetime, limit.requests_per_s)
            if self._own_name in holders:
                limit.rate_per_s = max(_MIN_RATE_PER_S, limit.requests_per_s) / len(holders)

    def _initial_tokens(self, lifetime: str, limit: _Limit) -> float:
        """Return tokens that differ between the holders, so that they do not all send at once."""
        if limit.requests_per_s is None or limit.rate_per_s <= 0.0:
            return 0.0
        holders = self._holders(lifetime, limit.requests_per_s)
        return (holders.index(self._own_name) + 0.5) / len(holders)

    def _holders(self, lifetime: str, requests_per_s: float) -> list[str]:
        count = int(requests_per_s) + _EXTRA_HOLDERS
        return rendezvous(lifetime, self._routers or (self._own_name,))[:count]
