"""Log lines of one request: its failed sends, and the decision, its inputs and the outcome."""

import logging
from dataclasses import dataclass, field

from parsleyrudder import Placed, Refused, RelayedRequest, SendEnd, WaitingRequest
from parsleyrudder_adapters.logs import log_event

from .sends import Send

__all__ = ["RequestTrace"]

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True)
class RequestTrace:
    """Times and inputs of one request, in seconds of monotonic time.

    :ivar id: id that the caller gave the request.
    :ivar resumes: id of the request that brought the first event of the stream; None if the caller
        resumes none.
    :ivar versions: software versions of the targets of which events or a whole response came.
    :ivar placed: latest decision to place the request.
    :ivar placed_at: time of the first such decision.
    :ivar refused: decision to refuse the request.
    :ivar response_started_at: time at which the first response started.
    :ivar last_activity_at: time at which data last came from a target, or of the latest placement.
    :ivar longest_pause_s: longest pause between two parts of a response.
    """

    id: str
    resumes: str | None = None
    versions: list[str] = field(default_factory=list)
    placed: Placed | None = None
    placed_at: float | None = None
    refused: Refused | None = None
    response_started_at: float | None = None
    last_activity_at: float = 0.0
    longest_pause_s: float | None = None

    def record_placed(self, placed: Placed, at: float) -> None:
        """Record that the request is placed on a target."""
        self.placed = placed
        self.last_activity_at = at
        if self.placed_at is None:
            self.placed_at = at

    def record_activity(self, at: float) -> None:
        """Record that a part of a response was received."""
        if self.response_started_at is not None:
            self.longest_pause_s = max(self.longest_pause_s or 0.0, at - self.last_activity_at)
        self.last_activity_at = at

    def record_response_start(self, version: str, at: float) -> None:
        """Record that the response of a target has started; only the first one counts for the time.

        :param version: software version of the target.
        """
        if version not in self.versions:
            self.versions.append(version)
        if self.response_started_at is None:
            self.response_started_at = at

    def log_failed_send(self, send: Send, end: SendEnd, sent_count: int, reason: str) -> None:
        """Write the log line of a send that has failed.

        :param sent_count: number of sends so far that may have reached a target.
        """
        request, target = send.request, send.target
        log_event(
            _LOGGER,
            "send_failed",
            request=self.id,
            target=target.id,
            lifetime=target.lifetime,
            version=target.version or None,
            end=end,
            responding=send.has_answered,
            digest=request.digest,
            parts=",".join(part.id for part in request.size.parts) or None,
            organisation=request.organisation or None,
            sent_count=sent_count,
            reason=reason,
        )

    def log(
        self,
        relayed_request: RelayedRequest,
        waiting_request: WaitingRequest,
        pool: str,
        outcome: str,
        reason: str | None,
        at: float,
    ) -> None:
        """Write the log line at the end of the request."""
        placed = self.placed
        targets = self.refused.targets if self.refused else None
        since = waiting_request.arrived_at
        log_event(
            _LOGGER,
            "request_finished",
            request=self.id,
            route=relayed_request.route.name,
            pool=pool,
            organisation=waiting_request.organisation or None,
            digest=waiting_request.digest,
            outcome=outcome,
            reason=reason,
            resumes=self.resumes,
            required_version=waiting_request.required_version,
            versions=",".join(self.versions) or None,
            permitted=targets.permitted if targets else None,
            with_free_slot=targets.with_free_slot if targets else None,
            with_short_wait=targets.with_short_wait if targets else None,
            tried=",".join(sorted(relayed_request.tried_targets)) or None,
            position=placed.share_ratio if placed else None,
            tokens_in=waiting_request.size.prompt_tokens or None,
            unread=placed.uncached_tokens if placed else None,
            placed_ms=_ms(self.placed_at, since),
            expected_ms=_ms(placed.expected_start_s, 0.0) if placed else None,
            first_ms=_ms(self.response_started_at, since),
            longest_pause_ms=_ms(self.longest_pause_s, 0.0),
            took_ms=_ms(at, since),
        )


def _ms(at: float | None, since: float) -> int | None:
    """Return the time between two moments in milliseconds, or None if the later one is None."""
    return None if at is None else round(1000 * (at - since))
