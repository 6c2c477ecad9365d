"""One send of a request to a target: listens to the answer and reports how it ended."""

from typing import Protocol

from parsleyrudder import SendEnd, Target
from parsleyrudder_adapters.http_client import Exchange

from .dialect import AnswerHead, Dialect

__all__ = ["Attempt", "AttemptOwner"]


class AttemptOwner(Protocol):
    """Receiver of what comes from the current attempt."""

    def on_attempt_head(self, head: AnswerHead) -> None:
        """Receive the head of an answer that is not a refusal."""
        ...

    def on_attempt_data(self, data: bytes) -> None:
        """Receive a part of the body."""
        ...

    def on_attempt_end(self) -> None:
        """Receive the end of a whole answer."""
        ...

    def on_attempt_failed(self, end: SendEnd, reason: str) -> None:
        """Receive the failure of the attempt."""
        ...


class Attempt:
    """Listener of one attempt; see :class:`parsleyrudder.ResponseListener`.

    :ivar exchange: set right after the request was handed to the client.
    :ivar head: head of the answer, once it has come.
    """

    __slots__ = ("_dialect", "_is_over", "_owner", "exchange", "head", "target")

    def __init__(self, owner: AttemptOwner, dialect: Dialect, target: Target) -> None:
        self._owner = owner
        self._dialect = dialect
        self._is_over = False
        self.target = target
        self.exchange: Exchange | None = None
        self.head: AnswerHead | None = None

    @property
    def is_sent(self) -> bool:
        """Whether a byte of the request may have reached the target."""
        return self.exchange is not None and self.exchange.sent

    def cancel(self) -> None:
        """Drop the connection; the target takes that as a cancellation."""
        self._is_over = True
        if self.exchange is not None:
            self.exchange.cancel()

    def on_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Take the head of the answer."""
        self.head = self._dialect.decode_answer(status, headers)
        if not self.head.is_not_run and not self._is_over:
            self._owner.on_attempt_head(self.head)

    def on_data(self, data: bytes) -> None:
        """Take a part of the body; that of a refusal is of no use."""
        if self.head is not None and not self.head.is_not_run and not self._is_over:
            self._owner.on_attempt_data(data)

    def on_end(self) -> None:
        """Take the end of a whole answer."""
        if self._is_over:
            return
        self._is_over = True
        if self.head is not None and self.head.is_not_run:
            self._owner.on_attempt_failed(SendEnd.REFUSED, f"status {self.head.status}")
        else:
            self._owner.on_attempt_end()

    def on_failed(self, sent: bool, reason: str) -> None:
        """Take the failure of the connection."""
        if self._is_over:
            return
        self._is_over = True
        if self.head is not None and self.head.is_not_run:
            end = SendEnd.REFUSED
        else:
            end = SendEnd.BROKEN if sent else SendEnd.NOT_SENT
        self._owner.on_attempt_failed(end, reason)
