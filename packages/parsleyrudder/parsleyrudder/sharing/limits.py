"""Rate limits of members, drained by the whole fleet's totals."""

from dataclasses import dataclass, field

from ..lists import Plan
from ..messages import MemberTotal
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
class MemberLimits:
    """Request and cost rates of one member in one pool, as one router knows them."""

    plan: Plan
    requests: TokenBucket
    cost: TokenBucket
    _seen: MemberTotal | None = field(default=None)
    _own_admitted: int = 0
    _own_served: float = 0.0

    @classmethod
    def of(cls, plan: Plan, now: float) -> "MemberLimits":
        """Return fresh limits under a plan."""
        requests = TokenBucket.full(plan.requests_per_s, now)
        return cls(plan, requests, TokenBucket.full(plan.cost_per_s, now))

    def change_plan(self, plan: Plan) -> None:
        """Go on under another plan; what was used stays used."""
        self.plan = plan
        self.requests.rate = plan.requests_per_s
        self.cost.rate = plan.cost_per_s

    def check(self, estimate: float, now: float) -> Failure | None:
        """Return why a call may not be admitted now, or None."""
        self.requests.refill(now)
        self.cost.refill(now)
        if estimate > self.plan.largest_request:
            text = f"expected cost {estimate:g} is over the plan's {self.plan.largest_request:g}"
            return failure("request_too_costly", text)
        if wait := self.requests.wait_s(1.0):
            text = f"over {self.plan.requests_per_s:g} requests/s"
            return failure("rate_limited", text, wait)
        if self.cost.level <= 0:
            text = f"over {self.plan.cost_per_s:g} cost units/s"
            return failure("rate_limited", text, self.cost.wait_s(1.0))
        return None

    def admit(self) -> None:
        """Count one admitted call of this router."""
        self.requests.level -= 1
        self._own_admitted += 1

    def charge(self, cost: float) -> None:
        """Count cost served for this router's calls."""
        self.cost.level -= cost
        self._own_served += cost

    def on_total(self, total: MemberTotal) -> None:
        """Drain what the other routers have used since the last totals."""
        seen = self._seen
        if seen is not None and total.admitted >= seen.admitted:
            others = total.admitted - seen.admitted - self._own_admitted
            self.requests.level -= max(0, others)
            self.cost.level -= max(0.0, total.served - seen.served - self._own_served)
        self._seen = total
        self._own_admitted = 0
        self._own_served = 0.0
