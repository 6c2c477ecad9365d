"""What a request asks of a target."""

from dataclasses import dataclass, field

from ..messages import PromptPart

__all__ = ["WaitingRequest", "Work"]

# A generated token takes about as much of an engine as two tokens that are read.
_OUTPUT_WEIGHT = 2.0


@dataclass(slots=True, frozen=True)
class Work:
    """Size of a request; all zero for a request to a plain service.

    :ivar parts: parts of the prompt in order; the last one is the request's own.
    :ivar tokens_in: tokens of the prompt.
    :ivar tokens_out: tokens that will be generated, as far as the caller knows.
    :ivar shared_parts: parts that other requests may share.
    """

    parts: tuple[PromptPart, ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0
    shared_parts: tuple[PromptPart, ...] = field(init=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "shared_parts", self.parts[:-1])

    @property
    def cost(self) -> float:
        """Cost in tokens, of which a generated one counts more than one that is read."""
        return self.tokens_in + _OUTPUT_WEIGHT * self.tokens_out


@dataclass(slots=True)
class WaitingRequest:
    """A request that has to be placed on a target.

    :ivar organisation: empty for a request without a key.
    :ivar on_time_until: time until which an answer, or its first event, is on time.
    :ivar deadline: time at which the caller gets its final answer at the latest.
    :ivar excluded: targets that have failed this request.
    """

    id: str
    organisation: str
    work: Work
    arrived_at: float
    on_time_until: float
    deadline: float
    excluded: set[str] = field(default_factory=set)
