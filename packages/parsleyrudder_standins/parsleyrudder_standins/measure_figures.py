"""Computes fairness gap, utilisation and percentiles from samples."""

import itertools
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

__all__ = ["Gap", "Sample", "fairness_gap", "gap_bound", "percentile", "utilisation"]


@dataclass(slots=True)
class Sample:
    """State of a pool at one point in time.

    :ivar time_s: seconds since the load started.
    :ivar served_by_member: cumulative cost served by all servers.
    :ivar running_by_member: calls running at servers.
    :ivar outstanding_by_member: calls waiting or running.
    :ivar busy_by_server: cumulative slot-seconds in use.
    :ivar capacity_by_server: cumulative slot-seconds available.
    """

    time_s: float
    served_by_member: Mapping[str, float] = field(default_factory=dict)
    running_by_member: Mapping[str, int] = field(default_factory=dict)
    outstanding_by_member: Mapping[str, int] = field(default_factory=dict)
    busy_by_server: Mapping[str, float] = field(default_factory=dict)
    capacity_by_server: Mapping[str, float] = field(default_factory=dict)

    def is_backlogged(self, member: str) -> bool:
        """Whether any call of the member is waiting."""
        outstanding = self.outstanding_by_member.get(member, 0)
        return outstanding > self.running_by_member.get(member, 0)

    def has_waiting(self) -> bool:
        """Whether any call is waiting."""
        return any(self.is_backlogged(member) for member in self.outstanding_by_member)


@dataclass(slots=True, frozen=True)
class Gap:
    """Fairness gap, in cost units per share.

    :ivar worst: largest gap over all samples.
    :ivar p99: 99th percentile over all samples and pairs of members.
    :ivar pair: the two members of the worst gap.
    :ivar by_sample: largest gap over all pairs, by sample.
    """

    worst: float = 0.0
    p99: float = 0.0
    pair: tuple[str, str] = ("", "")
    by_sample: tuple[float, ...] = ()


def fairness_gap(samples: Sequence[Sample], share_by_member: Mapping[str, float]) -> Gap:
    """Return the largest difference in service per share between backlogged members.

    The gap of a sample is the largest difference in service per share received during an interval
    that ends at the sample, over all pairs of members and all such intervals in which both members
    are backlogged at every sample.

    :param share_by_member: the members to compare, with shares that average 1 over all members.
    """
    gaps = [0.0] * len(samples)
    all_gaps = []
    worst, pair = 0.0, ("", "")
    for first_member, second_member in itertools.combinations(sorted(share_by_member), 2):
        lowest, highest = math.inf, -math.inf
        for index, sample in enumerate(samples):
            if not (sample.is_backlogged(first_member) and sample.is_backlogged(second_member)):
                lowest, highest = math.inf, -math.inf
                continue
            difference = _service(sample, first_member, share_by_member) - _service(
                sample, second_member, share_by_member
            )
            lowest, highest = min(lowest, difference), max(highest, difference)
            gap = max(difference - lowest, highest - difference)
            gaps[index] = max(gaps[index], gap)
            all_gaps.append(gap)
            if gap > worst:
                worst, pair = gap, (first_member, second_member)
    return Gap(worst, percentile(all_gaps, 0.99), pair, tuple(gaps))


def _service(sample: Sample, member: str, share_by_member: Mapping[str, float]) -> float:
    return sample.served_by_member.get(member, 0.0) / share_by_member[member]


def gap_bound(largest_cost: float, service_rate: float, report_age_s: float) -> float:
    """Return the upper bound on the fairness gap.

    :param service_rate: cost per second that the pool serves when all slots are busy.

    >>> gap_bound(50.0, 2000.0, 0.2)
    900.0
    """
    return 2 * largest_cost + 2 * service_rate * report_age_s


def utilisation(samples: Sequence[Sample], excluded: Iterable[str] = ()) -> float:
    """Return the fraction of capacity used, over intervals with waiting calls at both ends.

    :param excluded: servers to ignore, such as those that are leaving.
    :returns: NaN if there is no such interval.
    """
    busy = capacity = 0.0
    for before, after in itertools.pairwise(samples):
        if before.has_waiting() and after.has_waiting():
            for server in after.busy_by_server.keys() - set(excluded):
                busy += after.busy_by_server[server] - before.busy_by_server[server]
                capacity += after.capacity_by_server[server] - before.capacity_by_server[server]
    return busy / capacity if capacity else math.nan


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return the smallest value that at least this fraction of the values does not exceed.

    :returns: NaN if there are no values.

    >>> percentile([4.0, 1.0, 3.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]
