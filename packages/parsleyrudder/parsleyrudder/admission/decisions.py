"""Decisions about requests: placed on a target, or refused."""

from dataclasses import dataclass

from ..targets import Target
from .requests import WaitingRequest

__all__ = ["Decision", "Placed", "Refused"]


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
class Refused:
    """Decision not to send a request to any target.

    :ivar retry_after_s: time after which a new request can be expected to be placed.
    :ivar code: error code; see :func:`parsleyrudder.failure`.
    """

    request: WaitingRequest
    reason: str
    retry_after_s: float
    code: str = "no_server"


Decision = Placed | Refused
