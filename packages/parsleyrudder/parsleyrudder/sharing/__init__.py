"""Division of serving capacity between members: costs, queues, portions, coordination."""

from .authority import CoordinatorLease, LeaseRecord, LeaseRules, is_majority
from .baselines import POLICY_BY_NAME, SharingPolicy, divide_evenly
from .coordination import Coordinator, PoolRules
from .costs import CostEstimator, CostModel
from .limits import MemberLimits, TokenBucket
from .ordering import Claim, allocate, split
from .portions import Ledger, LostPortions, Portion, Portions
from .queueing import MemberQueue, WaitingCall
from .scheduling import Choose, PoolScheduler, SchedulerRules, normalised_shares
from .totals import ServiceTotals

__all__ = [
    "POLICY_BY_NAME",
    "Choose",
    "Claim",
    "Coordinator",
    "CoordinatorLease",
    "CostEstimator",
    "CostModel",
    "LeaseRecord",
    "LeaseRules",
    "Ledger",
    "LostPortions",
    "MemberLimits",
    "MemberQueue",
    "PoolRules",
    "PoolScheduler",
    "Portion",
    "Portions",
    "SchedulerRules",
    "ServiceTotals",
    "SharingPolicy",
    "TokenBucket",
    "WaitingCall",
    "allocate",
    "divide_evenly",
    "is_majority",
    "normalised_shares",
    "split",
]
