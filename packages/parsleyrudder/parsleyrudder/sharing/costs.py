"""Cost of calls: the cost model of a pool, and estimates of the cost of new calls."""

from dataclasses import dataclass, field

__all__ = ["CostEstimator", "CostModel"]

_LEARNING_RATE = 0.2


@dataclass(slots=True, frozen=True)
class CostModel:
    """Weights that convert work into the cost units of a pool.

    :ivar prompt_weight: cost of one prompt token.
    :ivar token_weight: cost of one generated token.
    """

    prompt_weight: float = 0.1
    token_weight: float = 1.0

    def tokens(self, prompt: int, generated: int) -> float:
        """Return the cost of processing some prompt tokens and generating some tokens.

        >>> CostModel(0.1, 1.0).tokens(100, 20)
        30.0
        """
        return prompt * self.prompt_weight + generated * self.token_weight


@dataclass(slots=True)
class CostEstimator:
    """Expected cost of a call by member and kind, learned from finished calls.

    A caller's hint is used only until the first call of the same member and kind has finished, so
    that callers cannot gain by false hints.

    :ivar default: expected cost if neither a mean nor a hint is known.
    """

    default: float
    mean_by_kind: dict[tuple[str, str], float] = field(default_factory=dict)

    def estimate(self, member: str, kind: str, hint: float | None = None) -> float:
        """Return the expected cost of a call.

        :param kind: key that separates cheap calls from costly ones, such as class or route.
        :param hint: the caller's own estimate.
        """
        mean = self.mean_by_kind.get((member, kind))
        if mean is not None:
            return mean
        return hint if hint is not None and hint > 0 else self.default

    def learn(self, member: str, kind: str, cost: float) -> None:
        """Update the mean with the cost of a finished call."""
        mean = self.mean_by_kind.get((member, kind))
        step = 0.0 if mean is None else _LEARNING_RATE * (cost - mean)
        self.mean_by_kind[member, kind] = cost if mean is None else mean + step
