"""Demand and usage of the pools by each organisation, summed over the whole fleet."""

import math
from dataclasses import dataclass, field

from ..messages import OrganisationUsage

__all__ = ["UsageLedger"]

# Reports of a router that has stopped still count the usage of its requests until it has decayed.
# Smaller sums do not change a share, and would be sent for ever after the last request.
_MIN_REPORTED = 1.0
_REPORT_EXPIRY_S = 10.0
# Fraction of its demand that must be unmet before an organisation counts as wanting more.
_MIN_UNMET_FRACTION = 0.1


@dataclass(slots=True)
class _DecayingUsage:
    demand: float = 0.0
    usage: float = 0.0


@dataclass(slots=True)
class UsageLedger:
    """Exponentially decaying sums of request cost by organisation.

    Demand is the cost of the requests that arrived, usage the cost of those sent to targets.

    :ivar decay_s: time constant of the decay, in which a sum falls to 1/e.
    :ivar capacity_per_s: declared capacity that the organisations share; 0 if unknown, in which
        case their total usage stands in for it.
    """

    decay_s: float = 3.0
    capacity_per_s: float = 0.0
    _local: dict[str, _DecayingUsage] = field(default_factory=dict)
    _report_by_router: dict[str, tuple[float, dict[str, OrganisationUsage]]] = field(
        default_factory=dict
    )
    _decayed_at: float = 0.0
    _share_level: float = 0.0
    _observed_share_level: float = 0.0
    _reported: dict[str, _DecayingUsage] = field(default_factory=dict)
    _with_unmet_demand: frozenset[str] = frozenset()

    def record_demand(self, organisation: str, cost: float, now: float) -> None:
        """Count a request that has arrived at this router."""
        self._decay(now)
        self._local.setdefault(organisation, _DecayingUsage()).demand += cost

    def record_usage(self, organisation: str, cost: float, now: float) -> None:
        """Count a request that is sent to a target; a negative cost refunds one."""
        self._decay(now)
        local = self._local.setdefault(organisation, _DecayingUsage())
        local.usage = max(0.0, local.usage + cost)

    def local_report(self, now: float) -> dict[str, OrganisationUsage]:
        """Return this router's sums, to report to other routers."""
        self._decay(now)
        # Rounded to integers, which take fewer bytes in messages.
        return {
            name: OrganisationUsage(round(local.demand), round(local.usage))
            for name, local in self._local.items()
            if local.demand >= _MIN_REPORTED or local.usage >= _MIN_REPORTED
        }

    def record_report(
        self, router: str, usage_by_organisation: dict[str, OrganisationUsage], now: float
    ) -> None:
        """Store the newest report of another router; :meth:`refresh` applies it."""
        self._report_by_router[router] = (now, usage_by_organisation)

    def remove_report(self, router: str) -> None:
        """Remove the report of another router, which is counted by other means now."""
        self._report_by_router.pop(router, None)

    def refresh(self, now: float) -> None:
        """Drop expired reports, and recompute the sums and the max-min fair shares."""
        self._decay(now)
        demand_by_name: dict[str, float] = {}
        usage_by_name: dict[str, float] = {}
        for router in list(self._report_by_router):
            received_at, usage_by_organisation = self._report_by_router[router]
            if now - received_at > _REPORT_EXPIRY_S:
                del self._report_by_router[router]
                continue
            factor = math.exp(-(now - received_at) / self.decay_s)
            for name, report in usage_by_organisation.items():
                demand_by_name[name] = demand_by_name.get(name, 0.0) + factor * report.demand
                usage_by_name[name] = usage_by_name.get(name, 0.0) + factor * report.usage
        reported = {
            name: _DecayingUsage(demand, usage_by_name[name])
            for name, demand in demand_by_name.items()
        }
        self._reported = reported
        totals = {name: self._total(name) for name in self._local.keys() | reported.keys()}
        demands = [total.demand for total in totals.values()]
        usage = sum(total.usage for total in totals.values())
        self._with_unmet_demand = frozenset(
            name
            for name, total in totals.items()
            if total.demand - total.usage > _MIN_UNMET_FRACTION * total.demand
        )
        self._share_level = _max_min_level(demands, self.capacity_per_s * self.decay_s or usage)
        self._observed_share_level = _max_min_level(demands, usage)

    def entitled_by_router(self, own_name: str) -> dict[str, float]:
        """Return the demand at each router, of each organisation up to its fair share.

        The share of an organisation of the observed usage is divided between the routers as its
        demand is. Routers that have reported nothing lately are not included.
        """
        demand_by_router = {
            router: {name: report.demand for name, report in usage_by_organisation.items()}
            for router, (_, usage_by_organisation) in self._report_by_router.items()
        }
        demand_by_router[own_name] = {name: own.demand for name, own in self._local.items()}
        return {
            router: sum(self._entitled(name, demand) for name, demand in demands.items())
            for router, demands in demand_by_router.items()
        }

    def _entitled(self, organisation: str, demand: float) -> float:
        """Return the part of an organisation's fair share for a part of its demand."""
        total = self._total(organisation).demand
        return demand * min(1.0, self._observed_share_level / total) if total > 0.0 else 0.0

    def share_ratio(self, organisation: str) -> float:
        """Return the usage of an organisation divided by the largest max-min fair share.

        Above 1, an organisation has used more than it is entitled to. 0 if it has used nothing, or
        before the shares have been computed.
        """
        if self._share_level <= 0.0:
            return 0.0
        return self._total(organisation).usage / self._share_level

    def observed_share_ratio(self, organisation: str) -> float:
        """Return the usage of an organisation divided by a fair share of the observed usage.

        Used to divide capacity beyond the declared one: below 1, an organisation has used less of
        it than others with the same demand.
        """
        if self._observed_share_level <= 0.0:
            return 0.0
        return self._total(organisation).usage / self._observed_share_level

    def others_have_unmet_demand(self, organisation: str) -> bool:
        """Whether the demand of any other organisation exceeds its usage noticeably."""
        return len(self._with_unmet_demand) > (organisation in self._with_unmet_demand)

    def _total(self, name: str) -> _DecayingUsage:
        local, reported = self._local.get(name), self._reported.get(name)
        if local is None or reported is None:
            return local or reported or _DecayingUsage()
        return _DecayingUsage(local.demand + reported.demand, local.usage + reported.usage)

    def _decay(self, now: float) -> None:
        elapsed = now - self._decayed_at
        if elapsed <= 0.0:
            return
        self._decayed_at = now
        factor = math.exp(-elapsed / self.decay_s)
        for local in self._local.values():
            local.demand *= factor
            local.usage *= factor


def _max_min_level(demands: list[float], capacity: float) -> float:
    """Return the largest share in a max-min fair division of a capacity.

    >>> _max_min_level([1.0, 4.0, 9.0], 9.0)
    4.0
    """
    remaining = capacity
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        level = remaining / (len(ordered) - index)
        if demand >= level:
            return level
        remaining -= demand
    return max(ordered, default=0.0)
