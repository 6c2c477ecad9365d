"""Settings of a pool that its coordinator needs."""

from dataclasses import dataclass

__all__ = ["PoolRules"]


@dataclass(slots=True, frozen=True)
class PoolRules:
    """Settings of a pool that its coordinator needs.

    :ivar portion_lease_s: time for which a router may use its portions after a report.
    :ivar lease_margin: part of the lease that is waited in addition, for clocks that differ.
    :ivar max_call_s: longest time that a call may run.
    :ivar default_cost: expected cost of a call as long as none has finished.
    :ivar largest_cost: largest cost that one call may have.
    :ivar report_interval_s: time between two computations of the targets.
    :ivar load_lag_s: age that a server's load report may have.
    """

    portion_lease_s: float = 5.0
    lease_margin: float = 0.25
    max_call_s: float = 120.0
    default_cost: float = 100.0
    largest_cost: float = 8000.0
    report_interval_s: float = 0.1
    load_lag_s: float = 2.0

    @property
    def reclaim_s(self) -> float:
        """Time after a router's last report at which its portions return."""
        return self.portion_lease_s * (1 + self.lease_margin)
