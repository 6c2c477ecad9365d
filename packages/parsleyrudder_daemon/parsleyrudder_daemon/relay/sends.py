"""What is learned from the sends of one request, passed on to everything that learns from it."""

from dataclasses import dataclass
from typing import Protocol

from parsleyrudder import SendEnd, Target, TargetSignals, WaitingRequest

__all__ = ["Send", "SendListener", "SendResult", "Sends"]


@dataclass(slots=True)
class Send:
    """One send of a request to a target.

    :ivar has_started: whether the response has begun.
    :ivar has_answered: whether an event of a stream or a whole response has been received.
    """

    request: WaitingRequest
    target: Target
    has_started: bool = False
    has_answered: bool = False


@dataclass(slots=True, frozen=True)
class SendResult:
    """How a send ended.

    :ivar end: why it failed; None if it is complete or was cancelled.
    :ivar is_failure: whether the target caused a failure; None if that is unknown.
    :ivar is_first: whether this is the first send of its request that reached a target.
    """

    end: SendEnd | None
    is_failure: bool | None
    is_first: bool = False

    @property
    def is_complete(self) -> bool:
        """Whether the target has completed the request without a failure."""
        return self.end is None and self.is_failure is False


class SendListener(Protocol):
    """Something that learns from sends; times are in seconds of monotonic time.

    Each method does nothing unless it is overridden.
    """

    def on_withdrawn(self, send: Send, at: float) -> None:
        """Learn that a request was placed on a target and is not going to be sent to it."""
        return

    def on_sent(self, send: Send, at: float) -> None:
        """Learn that a request is about to be sent to a target."""
        return

    def on_signals(self, send: Send, signals: TargetSignals, at: float) -> None:
        """Learn what the head of a response states about the target."""
        return

    def on_response_start(self, send: Send, at: float) -> None:
        """Learn that the response has begun, which shows that the prefill is complete."""
        return

    def on_answer(self, send: Send, at: float) -> None:
        """Learn that the first event of a stream, or a whole response, has been received."""
        return

    def on_end(self, send: Send, result: SendResult, at: float) -> None:
        """Learn how the send has ended."""
        return


class Sends:
    """The sends of one request, one after the other.

    :ivar current: the send in progress, or None.
    """

    __slots__ = ("_listeners", "_request", "current")

    def __init__(self, request: WaitingRequest, listeners: tuple[SendListener, ...]) -> None:
        self._request = request
        self._listeners = listeners
        self.current: Send | None = None

    def withdraw(self, target: Target, at: float) -> None:
        """Record that the request was placed on a target and is not going to be sent to it."""
        for listener in self._listeners:
            listener.on_withdrawn(Send(self._request, target), at)

    def begin(self, target: Target, at: float) -> None:
        """Record that the request is about to be sent to a target."""
        send = self.current = Send(self._request, target)
        for listener in self._listeners:
            listener.on_sent(send, at)

    def signals_received(self, signals: TargetSignals, at: float) -> None:
        """Record what the head of a response states about the target."""
        if self.current is not None:
            for listener in self._listeners:
                listener.on_signals(self.current, signals, at)

    def response_started(self, at: float) -> bool:
        """Record that the response has begun; return False if that was known."""
        send = self.current
        if send is None or send.has_started:
            return False
        send.has_started = True
        for listener in self._listeners:
            listener.on_response_start(send, at)
        return True

    def answered(self, at: float) -> None:
        """Record that an event or a whole response has been received; only the first counts."""
        send = self.current
        if send is None or send.has_answered:
            return
        send.has_answered = True
        for listener in self._listeners:
            listener.on_answer(send, at)

    def end(self, result: SendResult, at: float) -> None:
        """Record the end of the send in progress, if there is one."""
        send, self.current = self.current, None
        if send is None:
            return
        for listener in self._listeners:
            listener.on_end(send, result, at)
