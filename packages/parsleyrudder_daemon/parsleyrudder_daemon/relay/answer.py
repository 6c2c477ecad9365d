"""The answer to one request on its way back to the caller."""

from dataclasses import dataclass, field

from parsleyrudder_adapters.http_server import CallerExchange
from parsleyrudder_adapters.timers import Timers

from .attempt import Attempt
from .dialect import AnswerHead

__all__ = ["CollectedAnswer", "StreamedAnswer"]

# A caller that reads slowly stops the reading from its target at this many buffered bytes.
_PAUSE_BYTES = 256 * 1024
_RESUME_CHECK_S = 0.05


@dataclass(slots=True)
class CollectedAnswer:
    """An answer that is passed on once it is whole."""

    head: AnswerHead
    body: bytearray = field(default_factory=bytearray)


class StreamedAnswer:
    """A stream of events that is passed on as it comes, with the head of its first target.

    :ivar attempt: attempt that the events come from.
    """

    __slots__ = ("_exchange", "_head", "_is_paused", "_is_started", "attempt")

    def __init__(self, exchange: CallerExchange, head: AnswerHead, attempt: Attempt | None) -> None:
        self._exchange = exchange
        self._head = head
        self._is_started = False
        self._is_paused = False
        self.attempt = attempt

    def write(self, events: bytes, timers: Timers) -> None:
        """Pass on whole events; the head goes before the first of them."""
        if not self._is_started:
            self._is_started = True
            self._exchange.start_stream(self._head.status, self._head.headers)
        self._exchange.write(events)
        if not self._is_paused and self._exchange.buffered_bytes() > _PAUSE_BYTES:
            self._is_paused = True
            if self.attempt is not None and self.attempt.exchange is not None:
                self.attempt.exchange.pause()
            timers.after(_RESUME_CHECK_S, lambda: self._check(timers))

    def finish(self) -> None:
        """End a stream that is complete."""
        self._exchange.finish_stream()

    def _check(self, timers: Timers) -> None:
        if self._exchange.ended:
            return
        if self._exchange.buffered_bytes() > _PAUSE_BYTES:
            timers.after(_RESUME_CHECK_S, lambda: self._check(timers))
            return
        self._is_paused = False
        if self.attempt is not None and self.attempt.exchange is not None:
            self.attempt.exchange.resume()
