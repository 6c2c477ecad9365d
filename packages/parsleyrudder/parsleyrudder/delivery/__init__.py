"""Delivery of calls: attempts, retries, outcomes."""

from .calls import AttemptEnd, Call, Retry
from .retries import RetryBudget

__all__ = ["AttemptEnd", "Call", "Retry", "RetryBudget"]
