"""Admission of requests to the targets of one pool: queueing, refusing and placing.

Load that it answers: more work than the pool can do in time, from organisations of very different
sizes, through several routers that each see a part of it.
"""

from .cached_parts import CachedParts, CacheMap
from .lanes import LongLane, ReadingMix
from .loads import TargetLoads
from .pool_admission import AdmissionRules, Decision, Placed, PoolAdmission, Refused
from .usage import UsageLedger
from .work import WaitingRequest, Work

__all__ = [
    "AdmissionRules",
    "CacheMap",
    "CachedParts",
    "Decision",
    "LongLane",
    "Placed",
    "PoolAdmission",
    "ReadingMix",
    "Refused",
    "TargetLoads",
    "UsageLedger",
    "WaitingRequest",
    "Work",
]
