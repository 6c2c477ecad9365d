"""Collecting a whole answer of bounded size."""

from collections.abc import Callable

from .http_client import Exchange

__all__ = ["WholeAnswer"]

_MOST_BODY_BYTES = 8 << 20


class WholeAnswer:
    """Listener that collects an answer of bounded size.

    :ivar exchange: the exchange, which is cancelled if the answer is too large.
    """

    __slots__ = ("_body", "_headers", "_on_answer", "_on_failed", "_status", "exchange")

    def __init__(
        self,
        on_answer: Callable[[int, dict[str, str], bytes], None],
        on_failed: Callable[[str], None],
    ) -> None:
        self._on_answer = on_answer
        self._on_failed = on_failed
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self.exchange: Exchange | None = None

    def on_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """See :class:`ResponseListener`."""
        self._status, self._headers = status, dict(headers)

    def on_data(self, data: bytes) -> None:
        """See :class:`ResponseListener`."""
        self._body += data
        if len(self._body) > _MOST_BODY_BYTES:
            if self.exchange is not None:
                self.exchange.cancel()
            self._on_failed("answer too large")

    def on_end(self) -> None:
        """See :class:`ResponseListener`."""
        self._on_answer(self._status, self._headers, bytes(self._body))

    def on_failed(self, sent: bool, reason: str) -> None:
        """See :class:`ResponseListener`."""
        self._on_failed(reason)
