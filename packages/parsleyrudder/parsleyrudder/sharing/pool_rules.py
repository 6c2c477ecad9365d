"""Settings of a pool that its coordinator uses."""

from dataclasses import dataclass

__all__ = ["PoolRules"]


@dataclass(slots=True, frozen=True)
class PoolRules:
    """Settings of a pool that its coordinator uses.

    :ivar portion_lease_s: time after a report for which a router may use its portions.
    :ivar clock_margin: fraction of the lease that is waited in addition, because clocks differ.
    :ivar max_call_s: maximum duration of a call.
    :ivar default_cost: expected cost of a call until a call has finished.
    :ivar largest_cost: maximum cost of one call.
    :ivar report_interval_s: time between two computations of the targets.
    :ivar load_lag_s: maximum age of a server's load report.
    """

    portion_lease_s: float = 5.0
    clock_margin: float = 0.25
    max_call_s: float = 120.0
    default_cost: float = 100.0
    largest_cost: float = 8000.0
    report_interval_s: float = 0.1
    load_lag_s: float = 2.0

    @property
    def reclaim_s(self) -> float:
        """Time after a router's last report at which its portions are reclaimed."""
        return self.portion_lease_s * (1 + self.clock_margin)
