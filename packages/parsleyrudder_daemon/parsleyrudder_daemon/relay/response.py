"""Relaying of a target's response to the caller."""

from dataclasses import dataclass, field

from parsleyrudder import Route
from parsleyrudder_adapters.http_server import CallerExchange
from parsleyrudder_adapters.timers import Timers

from .attempt import Attempt
from .dialect import ResponseHead

__all__ = ["BufferedResponse", "StreamedResponse"]

# Reading from the target pauses while more bytes than this are buffered for a slow caller.
_MAX_BUFFERED_BYTES = 256 * 1024
_RESUME_CHECK_INTERVAL_S = 0.05


@dataclass(slots=True)
class BufferedResponse:
    """A response that is relayed once it is complete."""

    head: ResponseHead
    body: bytearray = field(default_factory=bytearray)

    def is_misleading(self, route: Route) -> bool:
        """Whether its status tells the caller to send a request again that may not run twice.

        The target has not stated that it did not run the request, or this would be a refusal.
        """
        return self.head.has_not_run_status and not route.is_idempotent


class StreamedResponse:
    """A stream of events that is relayed as it arrives.

    The head is that of the response that the first event came with.

    :ivar attempt: attempt that the events are currently received from.
    """

    __slots__ = ("_exchange", "_head", "_is_head_sent", "_is_paused", "attempt")

    def __init__(
        self, exchange: CallerExchange, head: ResponseHead, attempt: Attempt | None
    ) -> None:
        self._exchange = exchange
        self._head = head
        self._is_head_sent = False
        self._is_paused = False
        self.attempt = attempt

    def go_on_from(self, head: ResponseHead, attempt: Attempt | None) -> None:
        """Relay the events of another attempt from now on."""
        self.attempt = attempt
        if not self._is_head_sent:
            self._head = head
        if self._is_paused and attempt is not None and attempt.exchange is not None:
            attempt.exchange.pause()

    def write(self, events: bytes, timers: Timers) -> None:
        """Relay complete events, and the head before the first of them."""
        if not self._is_head_sent:
            self._is_head_sent = True
            self._exchange.start_stream(self._head.status, self._head.headers)
        self._exchange.write(events)
        if not self._is_paused and self._exchange.buffered_bytes() > _MAX_BUFFERED_BYTES:
            self._is_paused = True
            if self.attempt is not None and self.attempt.exchange is not None:
                self.attempt.exchange.pause()
            timers.after(_RESUME_CHECK_INTERVAL_S, lambda: self._resume_if_drained(timers))

    def finish(self) -> None:
        """End a stream that is complete."""
        self._exchange.finish_stream()

    def _resume_if_drained(self, timers: Timers) -> None:
        if self._exchange.ended:
            return
        if self._exchange.buffered_bytes() > _MAX_BUFFERED_BYTES:
            timers.after(_RESUME_CHECK_INTERVAL_S, lambda: self._resume_if_drained(timers))
            return
        self._is_paused = False
        if self.attempt is not None and self.attempt.exchange is not None:
            self.attempt.exchange.resume()
