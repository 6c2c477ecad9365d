"""Adapter of plain services: one HTTP request per call."""

from parsleyrudder import ResponseListener, ServiceRequest

from .http_client import Exchange, HttpClient
from .http_messages import HttpRequest

__all__ = ["HttpServices"]


class HttpServices:
    """Plain services over the loop's HTTP client; see :class:`parsleyrudder.ServiceClient`."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def call(self, address: str, request: ServiceRequest, listener: ResponseListener) -> Exchange:
        """Run a call; only one that may be repeated uses a connection a second time."""
        headers = [("X-Request-Id", request.id), ("X-Attempt", str(request.attempt))]
        message = HttpRequest(
            request.method,
            request.target,
            [*request.headers, *headers],
            request.body,
            reuse=request.idempotent,
            may_send=request.may_send,
        )
        return self._client.send(address, message, listener)
