"""Arithmetic of the measurements: fairness gap, utilisation and percentiles from samples."""

import itertools
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

__all__ = ["Gap", "Sample", "bound", "fairness_gap", "percentile", "utilisation"]


@dataclass(slots=True)
class Sample:
    """State of a pool at one time.

    :ivar at: seconds since the load began.
    :ivar served_by_member: cost served by all servers so far.
    :ivar running_by_member: calls that run at servers.
    :ivar outstanding_by_member: calls that wait or run.
    :ivar busy_by_server: slot-seconds used so far.
    :ivar offered_by_server: slot-seconds that existed so far.
    """

    at: float
    served_by_member: Mapping[str, float] = field(default_factory=dict)
    running_by_member: Mapping[str, int] = field(default_factory=dict)
    outstanding_by_member: Mapping[str, int] = field(default_factory=dict)
    busy_by_server: Mapping[str, float] = field(default_factory=dict)
    offered_by_server: Mapping[str, float] = field(default_factory=dict)

    def is_backlogged(self, member: str) -> bool:
        """Whether a call of the member waits anywhere."""
        outstanding = self.outstanding_by_member.get(member, 0)
        return outstanding > self.running_by_member.get(member, 0)

    def has_waiting(self) -> bool:
        """Whether any call waits anywhere."""
        return any(self.is_backlogged(member) for member in self.outstanding_by_member)


@dataclass(slots=True, frozen=True)
class Gap:
    """Fairness gap, in cost units per share.

    :ivar worst: largest over all samples.
    :ivar p99: 99th percentile over all samples and pairs of members.
    :ivar pair: the two members of the worst gap.
    :ivar by_sample: largest over the pairs, by sample.
    """

    worst: float = 0.0
    p99: float = 0.0
    pair: tuple[str, str] = ("", "")
    by_sample: tuple[float, ...] = ()


def fairness_gap(samples: Sequence[Sample], share_by_member: Mapping[str, float]) -> Gap:
    """Return the difference in service per share between members that were backlogged throughout.

    The gap of a sample is the largest, over pairs of members, of any interval that ends with it and
    at each sample of which both members were backlogged.

    :param share_by_member: the members to compare, with shares that average 1 over all members.
    """
    gaps = [0.0] * len(samples)
    all_gaps = []
    worst, pair = 0.0, ("", "")
    for first, second in itertools.combinations(sorted(share_by_member), 2):
        lowest, highest = math.inf, -math.inf
        for index, sample in enumerate(samples):
            if not (sample.is_backlogged(first) and sample.is_backlogged(second)):
                lowest, highest = math.inf, -math.inf
                continue
            difference = _service(sample, first, share_by_member) - _service(
                sample, second, share_by_member
            )
            lowest, highest = min(lowest, difference), max(highest, difference)
            gap = max(difference - lowest, highest - difference)
            gaps[index] = max(gaps[index], gap)
            all_gaps.append(gap)
            if gap > worst:
                worst, pair = gap, (first, second)
    return Gap(worst, percentile(all_gaps, 0.99), pair, tuple(gaps))


def _service(sample: Sample, member: str, share_by_member: Mapping[str, float]) -> float:
    return sample.served_by_member.get(member, 0.0) / share_by_member[member]


def bound(largest_cost: float, rate: float, report_age_s: float) -> float:
    """Return the bound on the fairness gap.

    :param rate: cost per second that the pool serves when all slots are busy.

    >>> bound(50.0, 2000.0, 0.2)
    900.0
    """
    return 2 * largest_cost + 2 * rate * report_age_s


def utilisation(samples: Sequence[Sample], without: Iterable[str] = ()) -> float:
    """Return busy capacity / capacity over the intervals at whose both ends calls waited.

    :param without: servers that do not count, as those that are leaving.
    :returns: NaN if no call ever waited.
    """
    busy = offered = 0.0
    for before, after in itertools.pairwise(samples):
        if before.has_waiting() and after.has_waiting():
            for server in after.busy_by_server.keys() - set(without):
                busy += after.busy_by_server[server] - before.busy_by_server[server]
                offered += after.offered_by_server[server] - before.offered_by_server[server]
    return busy / offered if offered else math.nan


def percentile(values: Iterable[float], part: float) -> float:
    """Return the smallest value that at least this part of the values does not exceed.

    :returns: NaN if there are no values.

    >>> percentile([4.0, 1.0, 3.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(part * len(ordered)) - 1)]
