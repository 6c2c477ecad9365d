"""HTTP adapter for plain services: one request per call."""

from parsleyrudder import ResponseListener, ServiceRequest

from .http_client import Exchange, HttpClient
from .http_messages import ONE_REQUEST_CONNECTION, HttpRequest

__all__ = ["HttpServices"]


class HttpServices:
    """Access to plain services over HTTP; see :class:`parsleyrudder.ServiceClient`."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def call(self, address: str, request: ServiceRequest, listener: ResponseListener) -> Exchange:
        """Send a call."""
        headers = [
            ("X-Request-Id", request.id),
            ("X-Attempt", str(request.attempt)),
            ONE_REQUEST_CONNECTION,
        ]
        message = HttpRequest(
            request.method,
            request.target,
            [*request.headers, *headers],
            request.body,
            may_send=request.may_send,
        )
        return self._client.send(address, message, listener)
