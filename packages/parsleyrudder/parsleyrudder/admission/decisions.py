"""Decisions about requests: placed on a target, or refused."""

from dataclasses import dataclass

from ..targets import Target
from .requests import WaitingRequest

__all__ = ["Decision", "Placed", "Refused", "TargetCounts"]


@dataclass(slots=True, frozen=True)
class Placed:
    """Decision to send a request to a target now.

    :ivar expected_start_s: expected time until the response begins.
    :ivar uncached_tokens: number of prompt tokens that the target has to prefill.
    :ivar share_ratio: usage of the organisation as a multiple of its fair share; see
        :meth:`UsageLedger.share_ratio`.
    """

    request: WaitingRequest
    target: Target
    expected_start_s: float = 0.0
    uncached_tokens: int = 0
    share_ratio: float = 0.0


@dataclass(slots=True, frozen=True)
class TargetCounts:
    """How many targets were left by each limit when a request was refused.

    :ivar permitted: targets that may get the request, now or later.
    :ivar with_free_slot: those of them that want a request now and have a free slot.
    :ivar with_short_wait: those of these whose pending prefills are within the allowed wait.
    """

    permitted: int
    with_free_slot: int
    with_short_wait: int


@dataclass(slots=True, frozen=True)
class Refused:
    """Decision not to send a request to any target.

    :ivar retry_after_s: time after which a new request can be expected to be placed.
    :ivar code: error code; see :func:`parsleyrudder.failure`.
    :ivar targets: what kept the targets from getting the request; None if they were not evaluated.
    """

    request: WaitingRequest
    reason: str
    retry_after_s: float
    code: str = "no_server"
    targets: TargetCounts | None = None


Decision = Placed | Refused
