"""Retry budget of a pool."""

from dataclasses import dataclass

__all__ = ["RetryBudget"]


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that limits retries to a fraction of first attempts.

    It prevents an outage from causing a retry storm.

    :ivar ratio: retries allowed per first attempt.
    :ivar capacity: largest number of unused retries that accumulate.
    :ivar level: retries available now.
    """

    ratio: float = 0.1
    capacity: float = 10.0
    level: float = 1.0

    def on_first_attempt(self) -> None:
        """Count a first attempt."""
        self.level = min(self.capacity, self.level + self.ratio)

    def take(self) -> bool:
        """Consume one retry if the budget allows it; return whether it did.

        >>> budget = RetryBudget(level=1.0)
        >>> budget.take(), budget.take()
        (True, False)
        """
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True
