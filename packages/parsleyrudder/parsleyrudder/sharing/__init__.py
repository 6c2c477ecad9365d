"""Division of serving capacity between members: costs, queues, portions, coordination."""

from .baselines import POLICY_BY_NAME, SharingPolicy, divide_evenly
from .coordination import Coordinator
from .coordinator_lease import CoordinatorLease, LeaseRecord, LeaseRules, is_majority
from .costs import CostEstimator, CostModel
from .limits import MemberLimits, TokenBucket
from .ordering import Claim, allocate, normalised_shares, split_between_routers
from .pool_rules import PoolRules
from .portions import Ledger, LostPortions, Portion, Portions
from .queueing import MemberQueue, WaitingCall
from .scheduling import PoolScheduler, SchedulerRules, ServerChooser
from .targets import Targets, compute_targets
from .totals import ServiceTotals
from .waits import DrainRate, DurationEstimator
from .windows import LearnedWindows, WindowRules

__all__ = [
    "POLICY_BY_NAME",
    "Claim",
    "Coordinator",
    "CoordinatorLease",
    "CostEstimator",
    "CostModel",
    "DrainRate",
    "DurationEstimator",
    "LearnedWindows",
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
    "ServerChooser",
    "ServiceTotals",
    "SharingPolicy",
    "Targets",
    "TokenBucket",
    "WaitingCall",
    "WindowRules",
    "allocate",
    "compute_targets",
    "divide_evenly",
    "is_majority",
    "normalised_shares",
    "split_between_routers",
]
