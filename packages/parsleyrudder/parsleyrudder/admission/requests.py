"""Requests that wait for admission, and their sizes."""

from dataclasses import dataclass, field

from ..messages import PromptPart
from .crash_evidence import Suspect

__all__ = ["RequestSize", "WaitingRequest"]

# Generating one token costs an engine about as much as the prefill of two.
_OUTPUT_WEIGHT = 2.0


@dataclass(slots=True, frozen=True)
class RequestSize:
    """Size of a request to a model engine; all zero for a request to a plain service.

    :ivar parts: parts of the prompt in order; the last one belongs to this request alone.
    :ivar prompt_tokens: number of tokens of the prompt.
    :ivar output_tokens: number of tokens to be generated, as estimated by the caller.
    :ivar shared_parts: parts that other requests may share.
    """

    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    shared_parts: tuple[PromptPart, ...] = field(init=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "shared_parts", self.parts[:-1])

    @property
    def cost(self) -> float:
        """Cost in tokens, where generated tokens weigh more than prompt tokens."""
        return self.prompt_tokens + _OUTPUT_WEIGHT * self.output_tokens


@dataclass(slots=True)
class WaitingRequest:
    """A request to be placed on a target.

    :ivar organisation: empty for a request without a key.
    :ivar response_due_at: time by which the response, or its first event, is due according to the
        target latency of the route.
    :ivar deadline: time by which the caller must have its final response.
    :ivar digest: digest by which a repeat of the request is recognised; see
        :func:`repeat_digest`.
    :ivar suspects: what targets may crash on: the request itself, and the parts of its prompt that
        other requests may share.
    :ivar is_trial: whether the request is sent although one of them is quarantined.
    :ivar stream_id: id by which its caller can resume the stream; empty if it can't.
    :ivar required_version: software version of the only targets that may get the request, as they
        have begun its stream; None if any may get it.
    :ivar resume_by: for a request that goes on with a stream, time by which a target must take it,
        or it is refused; None for a request that begins a response, which is refused once the
        response can't begin on time.
    :ivar was_admitted: whether the fleet knows that it has begun this stream, so that the request
        is the rest of admitted work; a caller may name a stream that never began.
    :ivar excluded_target_ids: ids of the targets that have failed this request.
    """

    id: str
    organisation: str
    size: RequestSize
    arrived_at: float
    response_due_at: float
    deadline: float
    digest: str = ""
    suspects: tuple[Suspect, ...] = ()
    is_trial: bool = False
    stream_id: str = ""
    required_version: str | None = None
    resume_by: float | None = None
    was_admitted: bool = False
    excluded_target_ids: set[str] = field(default_factory=set)

    @property
    def resumes_stream(self) -> bool:
        """Whether the request is for the rest of a stream."""
        return self.resume_by is not None
