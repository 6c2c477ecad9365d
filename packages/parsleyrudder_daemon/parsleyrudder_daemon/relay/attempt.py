"""One attempt to send a request to a target: receives the response and reports how it ended."""

from typing import Protocol

from parsleyrudder import SendEnd, Target, TargetSignals
from parsleyrudder_adapters.http_client import Exchange

from .dialect import Dialect, ResponseHead

__all__ = ["Attempt", "AttemptOwner"]

# A refusal with a longer body ends without waiting for the rest, which may never end.
_MAX_REFUSAL_BODY_BYTES = 65536


class AttemptOwner(Protocol):
    """Receiver of the events of the current attempt."""

    def on_signals(self, signals: TargetSignals) -> None:
        """Receive what the head of a response or refusal states about the target."""
        ...

    def on_attempt_head(self, head: ResponseHead) -> None:
        """Receive the head of a response that is not a refusal."""
        ...

    def on_attempt_data(self, data: bytes) -> None:
        """Receive a part of the body."""
        ...

    def on_attempt_end(self) -> None:
        """Receive the end of a complete response."""
        ...

    def on_attempt_failed(self, end: SendEnd, reason: str) -> None:
        """Receive the failure of the attempt."""
        ...


class Attempt:
    """Listener of one attempt; see :class:`parsleyrudder.ResponseListener`.

    :ivar exchange: set right after the request is passed to the HTTP client.
    :ivar head: head of the response, once it has been received.
    """

    __slots__ = (
        "_dialect",
        "_is_finished",
        "_owner",
        "_refusal_bytes",
        "exchange",
        "head",
        "target",
    )

    def __init__(self, owner: AttemptOwner, dialect: Dialect, target: Target) -> None:
        self._owner = owner
        self._dialect = dialect
        self._is_finished = False
        self._refusal_bytes = 0
        self.target = target
        self.exchange: Exchange | None = None
        self.head: ResponseHead | None = None

    @property
    def is_sent(self) -> bool:
        """Whether a byte of the request may have reached the target."""
        return self.exchange is not None and self.exchange.sent

    def cancel(self) -> None:
        """Close the connection, which cancels the request at the target."""
        self._is_finished = True
        if self.exchange is not None:
            self.exchange.cancel()

    def on_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Handle the head of the response."""
        self.head = self._dialect.decode_response(status, headers)
        self._owner.on_signals(self.head.signals)
        if not self.head.is_not_run and not self._is_finished:
            self._owner.on_attempt_head(self.head)

    def on_data(self, data: bytes) -> None:
        """Handle a part of the body; the body of a refusal is ignored."""
        if self.head is None or self._is_finished:
            return
        if not self.head.is_not_run:
            self._owner.on_attempt_data(data)
            return
        self._refusal_bytes += len(data)
        if self._refusal_bytes > _MAX_REFUSAL_BODY_BYTES:
            self.cancel()
            self._owner.on_attempt_failed(SendEnd.REFUSED, f"status {self.head.status}")

    def on_end(self) -> None:
        """Handle the end of a complete response."""
        if self._is_finished:
            return
        self._is_finished = True
        if self.head is not None and self.head.is_not_run:
            self._owner.on_attempt_failed(SendEnd.REFUSED, f"status {self.head.status}")
        else:
            self._owner.on_attempt_end()

    def on_failed(self, sent: bool, reason: str) -> None:
        """Handle a failure of the connection."""
        if self._is_finished:
            return
        self._is_finished = True
        if self.head is not None and self.head.is_not_run:
            end = SendEnd.REFUSED
        else:
            end = SendEnd.BROKEN if sent else SendEnd.NOT_SENT
        self._owner.on_attempt_failed(end, reason)
