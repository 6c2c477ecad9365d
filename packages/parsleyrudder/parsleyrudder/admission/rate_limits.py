"""Request rates that targets accept from all routers together, divided between the routers.

Designed for targets that ask for less while they are impaired, and for organisations whose callers
all connect to one router while those of others use all. Each limit is divided in proportion to the
demand that the routers' callers are entitled to. Limits may be lower than the number of routers, so
each is divided between a few of them only, its holders; which these are follows from the view of
the fleet by weighted rendezvous hashing, without a message per request.
"""

import functools
import hashlib
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..messages import TargetLimit

__all__ = ["TargetRateLimits"]

# Rate at which a target with a lower limit still gets requests, whose responses show whether the
# limit has ended.
_MIN_RATE_PER_S = 0.1
# Each holder may send one request at once after an idle time. This many holders in addition to the
# limit keep such bursts small, and give most routers a part of a low limit.
_EXTRA_HOLDERS = 4
_REPORT_REPEAT_S = 1.0
# Part of a limit that is divided equally, so that a router with new callers can begin at once.
_EQUAL_FRACTION = 0.1
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
    _weight_by_router: dict[str, float] = field(default_factory=dict)

    def set_routers(self, own_name: str, demand_by_router: Mapping[str, float], now: float) -> None:
        """Set the routers that divide the limits; one that is leaving holds no part any more.

        :param demand_by_router: demand in any unit; see :meth:`UsageLedger.entitled_by_router`.
        """
        self._own_name = own_name
        self._weight_by_router = _weights(demand_by_router)
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
        fraction = self._own_fraction(lifetime, limit)
        limit.rate_per_s = fraction * max(_MIN_RATE_PER_S, limit.requests_per_s or 0.0)
        if not fraction:
            limit.tokens = 0.0

    def _initial_tokens(self, lifetime: str, limit: _Limit) -> float:
        """Return tokens that differ between the holders, so that they do not all send at once."""
        return _uniform(lifetime, self._own_name) if limit.rate_per_s > 0.0 else 0.0

    def _own_fraction(self, lifetime: str, limit: _Limit) -> float:
        """Return the fraction of a limit that this router holds."""
        weights = self._weight_by_router or {self._own_name: 1.0}
        if limit.requests_per_s is None or self._own_name not in weights:
            return 0.0
        count = int(limit.requests_per_s) + _EXTRA_HOLDERS
        if len(weights) <= count:
            return weights[self._own_name]
        # Weighted rendezvous hashing: C. Schindelhauer, G. Schomaker, SPAA 2005.
        order = sorted(weights, key=lambda name: weights[name] / math.log(_uniform(lifetime, name)))
        return _fraction(self._own_name, {name: weights[name] for name in order[:count]})


def _fraction(name: str, weight_by_holder: Mapping[str, float]) -> float:
    """Return the fraction of a limit for one router.

    A router that is nearly always a holder gets its weight. The others are holders as often as
    their weights require, so they get equal parts of the rest.

    >>> _fraction("a", {"a": 0.4, "b": 0.1, "c": 0.1}), _fraction("d", {"a": 0.4})
    (0.4, 0.0)
    """
    if name not in weight_by_holder:
        return 0.0
    threshold = 1.0 / len(weight_by_holder)
    large = [weight for weight in weight_by_holder.values() if weight >= threshold]
    weight = weight_by_holder[name]
    if weight >= threshold:
        return weight
    return (1.0 - sum(large)) / (len(weight_by_holder) - len(large))


def _weights(demand_by_router: Mapping[str, float]) -> dict[str, float]:
    """Return the relative parts of the routers, which add up to 1.

    >>> _weights({"a": 0.0, "b": 0.0})
    {'a': 0.5, 'b': 0.5}
    """
    total = sum(demand_by_router.values())
    count = len(demand_by_router)
    equal_fraction = _EQUAL_FRACTION if total > 0.0 else 1.0
    return {
        name: equal_fraction / count + (1.0 - equal_fraction) * demand / (total or 1.0)
        for name, demand in demand_by_router.items()
    }


@functools.lru_cache(maxsize=8192)
def _uniform(lifetime: str, router: str) -> float:
    """Return a number between 0 and 1, both excluded, that all routers agree on."""
    digest = hashlib.blake2b(f"{lifetime}\0{router}".encode(), digest_size=6).digest()
    return (int.from_bytes(digest) + 0.5) / 2.0**48
