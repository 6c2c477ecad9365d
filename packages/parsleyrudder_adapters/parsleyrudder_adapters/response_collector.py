"""Collection of a complete response of bounded size."""

from collections.abc import Callable

from .http_client import Exchange

__all__ = ["ResponseCollector"]

_MAX_BODY_BYTES = 8 << 20


class ResponseCollector:
    """Response listener that buffers a response and reports it once it is complete.

    :ivar exchange: the exchange to cancel if the body exceeds the size limit.
    """

    __slots__ = ("_body", "_headers", "_on_response", "_on_failed", "_status", "exchange")

    def __init__(
        self,
        on_response: Callable[[int, dict[str, str], bytes], None],
        on_failed: Callable[[str], None],
    ) -> None:
        self._on_response = on_response
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
        if len(self._body) > _MAX_BODY_BYTES:
            if self.exchange is not None:
                self.exchange.cancel()
            self._on_failed("response body too large")

    def on_end(self) -> None:
        """See :class:`ResponseListener`."""
        self._on_response(self._status, self._headers, bytes(self._body))

    def on_failed(self, sent: bool, reason: str) -> None:
        """See :class:`ResponseListener`."""
        self._on_failed(reason)
