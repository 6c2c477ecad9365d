"""Retry budget of a pool."""

from dataclasses import dataclass

__all__ = ["RetryBudget"]


@dataclass(slots=True)
class RetryBudget:
    """Allows retries as a part of first attempts, so that an outage causes no retry storm.

    :ivar ratio: retries allowed per first attempt.
    :ivar most: retries that can be saved up.
    """

    ratio: float = 0.1
    most: float = 10.0
    level: float = 1.0

    def on_first_attempt(self) -> None:
        """Count a first attempt."""
        self.level = min(self.most, self.level + self.ratio)

    def take(self) -> bool:
        """Use one retry if the budget allows it.

        >>> budget = RetryBudget(level=1.0)
        >>> budget.take(), budget.take()
        (True, False)
        """
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True
