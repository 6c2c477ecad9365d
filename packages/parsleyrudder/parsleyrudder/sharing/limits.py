"""Rate limits of members, enforced by each router with the help of fleet-wide totals."""

from dataclasses import dataclass

from ..lists import Plan
from ..messages import MemberReport, MemberTotal
from ..outcomes import Failure, failure

__all__ = ["MemberLimits", "TokenBucket"]

_BURST_S = 1.0


@dataclass(slots=True)
class TokenBucket:
    """A token bucket whose level may become negative.

    The level becomes negative when use by other routers becomes known late. The bucket then admits
    nothing until it has refilled, which compensates for the overshoot.

    :ivar rate: refill rate in units per second.
    :ivar level: units available.
    """

    rate: float
    level: float
    updated_at: float

    @classmethod
    def full(cls, rate: float, now: float) -> "TokenBucket":
        """Return a full bucket; it holds the units of one second, but at least one unit."""
        return cls(rate, max(1.0, rate * _BURST_S), now)

    def refill(self, now: float) -> None:
        """Add the units accumulated since the last refill."""
        capacity = max(1.0, self.rate * _BURST_S)
        self.level = min(capacity, self.level + (now - self.updated_at) * self.rate)
        self.updated_at = now

    def wait_s(self, amount: float) -> float:
        """Return the seconds until ``amount`` units are available; 0 if they are now."""
        needed = min(amount, max(1.0, self.rate * _BURST_S))
        return max(0.0, (needed - self.level) / self.rate)


@dataclass(slots=True)
class _RateLimit:
    """One rate limit of one member, shared with the other routers through the totals.

    A call is admitted if the bucket holds enough, and if this router's use since the last totals
    stays within its allowance: an equal part of the bucket, plus the units that the rate has added
    since. Without the second condition each router could spend the whole burst before it learns of
    the use by the others.

    :ivar allowance: units that this router may use, as of ``allowance_since``.
    :ivar uncounted: use by this router that the last totals do not include.
    :ivar total: fleet-wide use by the last totals, or None before the first totals of an epoch.
    :ivar local_use: use by this router that these totals include.
    :ivar awaits_first_total: whether no totals have been received in any epoch.
    """

    bucket: TokenBucket
    allowance: float
    allowance_since: float
    uncounted: float = 0.0
    total: float | None = None
    local_use: float = 0.0
    awaits_first_total: bool = True

    @classmethod
    def create(cls, rate: float, now: float) -> "_RateLimit":
        bucket = TokenBucket.full(rate, now)
        return cls(bucket, bucket.level, now)

    def consume(self, amount: float) -> None:
        """Count use by this router."""
        self.bucket.level -= amount
        self.uncounted += amount

    def wait_s(self, amount: float, now: float) -> float:
        """Return the seconds until ``amount`` may be used; 0 if it may be used now."""
        self.bucket.refill(now)
        rate = self.bucket.rate
        allowance = self.allowance + (now - self.allowance_since) * rate
        needed = self.uncounted + amount - max(amount, allowance)
        return max(self.bucket.wait_s(amount), needed / rate)

    def on_total(
        self, total: float, local_use: float, sent_at: float, router_count: int, now: float
    ) -> None:
        """Apply a fleet-wide total.

        :param local_use: use by this router that the total includes.
        :param sent_at: time at which this router reported that use.
        :param router_count: number of routers that share the burst.
        """
        self.bucket.refill(now)
        if self.total is not None:
            others = (total - self.total) - (local_use - self.local_use)
            self.bucket.level -= max(0.0, others)
        elif self.awaits_first_total:
            # It is unknown when the other routers used their units. One unit is left, so that a
            # member that is new at this router but was served elsewhere long ago is not refused.
            others = min(max(0.0, total - local_use), max(0.0, self.bucket.level - 1))
            self.bucket.level -= others
        self.awaits_first_total = False
        self.uncounted = max(0.0, self.uncounted - (local_use - self.local_use))
        self.total, self.local_use = total, local_use
        self.allowance = max(0.0, self.bucket.level + self.uncounted) / router_count
        self.allowance_since = sent_at


@dataclass(slots=True)
class MemberLimits:
    """Request and cost rates of one member in one pool, as one router knows them."""

    plan: Plan
    requests: _RateLimit
    cost: _RateLimit

    @classmethod
    def create(cls, plan: Plan, now: float, router_count: int = 1) -> "MemberLimits":
        """Return limits with full buckets under a plan.

        :param router_count: number of routers that share the member's burst.
        """
        limits = cls(
            plan,
            _RateLimit.create(plan.requests_per_s, now),
            _RateLimit.create(plan.cost_per_s, now),
        )
        limits.requests.allowance /= router_count
        limits.cost.allowance /= router_count
        return limits

    def change_plan(self, plan: Plan) -> None:
        """Apply another plan; the levels of the buckets are kept."""
        self.plan = plan
        self.requests.bucket.rate = plan.requests_per_s
        self.cost.bucket.rate = plan.cost_per_s

    def check(self, estimate: float, now: float) -> Failure | None:
        """Return why a call can't be admitted now, or None if it can."""
        if estimate > self.plan.largest_request:
            text = f"expected cost {estimate:g} is over the plan's {self.plan.largest_request:g}"
            return failure("request_too_costly", text)
        if wait := self.requests.wait_s(1.0, now):
            text = f"over {self.plan.requests_per_s:g} requests/s"
            return failure("rate_limited", text, wait)
        self.cost.bucket.refill(now)
        if self.cost.bucket.level <= 0:
            text = f"over {self.plan.cost_per_s:g} cost units/s"
            return failure("rate_limited", text, self.cost.bucket.wait_s(1.0))
        return None

    def admit(self) -> None:
        """Count one call admitted by this router."""
        self.requests.consume(1)

    def charge(self, cost: float) -> None:
        """Count cost served to this router's calls."""
        self.cost.consume(cost)

    def on_total(
        self,
        total: MemberTotal,
        local_report: MemberReport,
        sent_at: float,
        router_count: int,
        now: float,
    ) -> None:
        """Deduct the use by other routers since the last totals.

        :param local_report: this router's report that the totals include, sent at ``sent_at``.
        :param router_count: number of routers that share the member's burst.
        """
        self.requests.on_total(total.admitted, local_report.admitted, sent_at, router_count, now)
        self.cost.on_total(total.served, local_report.served, sent_at, router_count, now)

    def begin_epoch(self) -> None:
        """Discard the last totals; a new coordinator counts from a different starting value."""
        self.requests.total = self.cost.total = None
