"""What one request's log line says: what was decided, on which inputs, and what came of it."""

import logging
from dataclasses import dataclass

from parsleyrudder import Placed, RelayedRequest, WaitingRequest
from parsleyrudder_adapters.logs import log_event

__all__ = ["RequestTrace"]

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True)
class RequestTrace:
    """Times and inputs of one request; times are steady seconds.

    :ivar id: id that the caller gave the request.
    :ivar placed: the last decision to send it.
    :ivar placed_at: time of the first such decision.
    :ivar first_at: time of the first part of an answer.
    :ivar heard_at: time of the last sign of a target.
    :ivar longest_pause_s: longest pause between two parts of a stream.
    """

    id: str
    placed: Placed | None = None
    placed_at: float | None = None
    first_at: float | None = None
    heard_at: float = 0.0
    longest_pause_s: float | None = None

    def note_placed(self, placed: Placed, at: float) -> None:
        """Note that the request is sent to a target."""
        self.placed = placed
        self.heard_at = at
        if self.placed_at is None:
            self.placed_at = at

    def note_heard(self, at: float) -> None:
        """Note a part of an answer."""
        if self.first_at is not None:
            self.longest_pause_s = max(self.longest_pause_s or 0.0, at - self.heard_at)
        self.heard_at = at

    def note_first(self, at: float) -> None:
        """Note that an answer has begun."""
        if self.first_at is None:
            self.first_at = at

    def log(
        self,
        relay: RelayedRequest,
        waiting: WaitingRequest,
        pool: str,
        outcome: str,
        reason: str | None,
        at: float,
    ) -> None:
        """Write the line of a request that has ended."""
        placed = self.placed
        since = waiting.arrived_at
        log_event(
            _LOGGER,
            "request_finished",
            request=self.id,
            route=relay.route.name,
            pool=pool,
            organisation=waiting.organisation or None,
            outcome=outcome,
            reason=reason,
            tried=",".join(sorted(relay.tried_targets)) or None,
            position=placed.share_ratio if placed else None,
            tokens_in=waiting.size.prompt_tokens or None,
            unread=placed.uncached_tokens if placed else None,
            placed_ms=_ms(self.placed_at, since),
            expected_ms=_ms(placed.expected_start_s, 0.0) if placed else None,
            first_ms=_ms(self.first_at, since),
            longest_pause_ms=_ms(self.longest_pause_s, 0.0),
            took_ms=_ms(at, since),
        )


def _ms(at: float | None, since: float) -> int | None:
    """Return a time in milliseconds."""
    return None if at is None else round(1000 * (at - since))
