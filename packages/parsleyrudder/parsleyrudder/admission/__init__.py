"""Admission control for the targets of one pool: queueing, placing and refusing requests.

Designed for overload: organisations of very different sizes send more requests than the pool can
serve in time, through several routers that each see only a part of the traffic.
"""

from .admission_rules import AdmissionRules
from .crash_evidence import Crash, Suspect
from .crash_suspects import CrashSuspects, Quarantine
from .decisions import Decision, Placed, Refused, TargetCounts
from .load_digests import LoadAggregator, OwnReports
from .load_shedding import LoadShedder, SheddingRules
from .loads import TargetLoads
from .long_prompts import LongPromptTargets, PromptVolume
from .pool_admission import PoolAdmission
from .prompt_cache import PromptCacheIndex, TargetPromptCache
from .rate_limits import TargetRateLimits
from .repeat_digest import repeat_digest
from .requests import RequestSize, WaitingRequest
from .suspicion import CrashRules
from .target_availability import TargetAvailability
from .target_notices import TargetNotices, TargetSignals
from .usage import UsageLedger

__all__ = [
    "AdmissionRules",
    "Crash",
    "CrashRules",
    "CrashSuspects",
    "Decision",
    "LoadAggregator",
    "LoadShedder",
    "LongPromptTargets",
    "OwnReports",
    "Placed",
    "PoolAdmission",
    "PromptCacheIndex",
    "PromptVolume",
    "Quarantine",
    "Refused",
    "RequestSize",
    "SheddingRules",
    "Suspect",
    "TargetAvailability",
    "TargetCounts",
    "TargetLoads",
    "TargetNotices",
    "TargetPromptCache",
    "TargetRateLimits",
    "TargetSignals",
    "UsageLedger",
    "WaitingRequest",
    "repeat_digest",
]
