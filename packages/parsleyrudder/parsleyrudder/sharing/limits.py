"""Rate limits of members, drained by the whole fleet's totals."""

from dataclasses import dataclass

from ..lists import Plan
from ..messages import MemberReport, MemberTotal
from ..outcomes import Failure, failure

__all__ = ["MemberLimits", "TokenBucket"]

_BURST_S = 1.0


@dataclass(slots=True)
class TokenBucket:
    """A bucket that refills at a rate and may go negative.

    It goes negative when other routers' use becomes known late; it then admits nothing until it has
    refilled, so that an overshoot is repaid.

    :ivar rate: units per second.
    """

    rate: float
    level: float
    updated_at: float

    @classmethod
    def full(cls, rate: float, now: float) -> "TokenBucket":
        """Return a full bucket that holds one second's units, at least one."""
        return cls(rate, max(1.0, rate * _BURST_S), now)

    def refill(self, now: float) -> None:
        """Add what has come in since the last call."""
        most = max(1.0, self.rate * _BURST_S)
        self.level = min(most, self.level + (now - self.updated_at) * self.rate)
        self.updated_at = now

    def wait_s(self, amount: float) -> float:
        """Return the seconds until ``amount`` is there; 0 if it is there now."""
        needed = min(amount, max(1.0, self.rate * _BURST_S))
        return max(0.0, (needed - self.level) / self.rate)


@dataclass(slots=True)
class _Rate:
    """One rate limit of one member, shared with the other routers through the totals.

    A call is admitted if the bucket is not empty, and if what this router has used since the last
    totals stays within its part: an equal part of the bucket, plus what the rate has brought since.
    Without the second condition each router could spend the whole burst before it hears of the
    others.

    :ivar unreported: own use that the last totals did not include.
    :ivar total: fleet-wide use by the last totals, or None before the first ones of an epoch.
    :ivar own: own use that these totals include.
    :ivar is_new: whether no totals have ever come.
    """

    bucket: TokenBucket
    part: float
    part_since: float
    unreported: float = 0.0
    total: float | None = None
    own: float = 0.0
    is_new: bool = True

    @classmethod
    def of(cls, rate: float, now: float) -> "_Rate":
        bucket = TokenBucket.full(rate, now)
        return cls(bucket, bucket.level, now)

    def use(self, amount: float) -> None:
        """Count own use."""
        self.bucket.level -= amount
        self.unreported += amount

    def wait_s(self, amount: float, now: float) -> float:
        """Return the seconds until ``amount`` may be used; 0 if it may be used now."""
        self.bucket.refill(now)
        rate = self.bucket.rate
        part = self.part + (now - self.part_since) * rate
        needed = self.unreported + amount - max(amount, part)
        return max(self.bucket.wait_s(amount), needed / rate)

    def on_total(self, total: float, own: float, sent_at: float, routers: int, now: float) -> None:
        """Take the fleet's total.

        :param own: own use that the total includes.
        :param sent_at: time at which the own part was reported.
        """
        self.bucket.refill(now)
        if self.total is not None:
            others = (total - self.total) - (own - self.own)
            self.bucket.level -= max(0.0, others)
        elif self.is_new:
            # When the others used the rest is not known; one unit is left, so that a member that
            # is new here but has been served elsewhere long ago is not refused.
            others = min(max(0.0, total - own), max(0.0, self.bucket.level - 1))
            self.bucket.level -= others
        self.is_new = False
        self.unreported = max(0.0, self.unreported - (own - self.own))
        self.total, self.own = total, own
        self.part = max(0.0, self.bucket.level + self.unreported) / routers
        self.part_since = sent_at


@dataclass(slots=True)
class MemberLimits:
    """Request and cost rates of one member in one pool, as one router knows them."""

    plan: Plan
    requests: _Rate
    cost: _Rate

    @classmethod
    def of(cls, plan: Plan, now: float, routers: int = 1) -> "MemberLimits":
        """Return fresh limits under a plan.

        :param routers: routers that share the member's burst.
        """
        limits = cls(plan, _Rate.of(plan.requests_per_s, now), _Rate.of(plan.cost_per_s, now))
        limits.requests.part /= routers
        limits.cost.part /= routers
        return limits

    def change_plan(self, plan: Plan) -> None:
        """Go on under another plan; what was used stays used."""
        self.plan = plan
        self.requests.bucket.rate = plan.requests_per_s
        self.cost.bucket.rate = plan.cost_per_s

    def check(self, estimate: float, now: float) -> Failure | None:
        """Return why a call may not be admitted now, or None."""
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
        """Count one admitted call of this router."""
        self.requests.use(1)

    def charge(self, cost: float) -> None:
        """Count cost served for this router's calls."""
        self.cost.use(cost)

    def on_total(
        self, total: MemberTotal, own: MemberReport, sent_at: float, routers: int, now: float
    ) -> None:
        """Drain what the other routers have used since the last totals.

        :param own: this router's report that the totals include, sent at ``sent_at``.
        """
        self.requests.on_total(total.admitted, own.admitted, sent_at, routers, now)
        self.cost.on_total(total.served, own.served, sent_at, routers, now)

    def begin_epoch(self) -> None:
        """Expect totals of a new coordinator, which counts from another start."""
        self.requests.total = self.cost.total = None
