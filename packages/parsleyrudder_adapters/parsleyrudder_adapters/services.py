"""Adapter of plain services: one HTTP request, one whole answer."""

from parsleyrudder import AttemptEnd, ServiceListener, ServiceRequest

from .http_client import Exchange, HttpClient, HttpRequest
from .whole_answer import WholeAnswer, is_not_run

__all__ = ["HttpServices"]


class HttpServices:
    """Plain services over the loop's HTTP client; see :class:`parsleyrudder.ServiceAccess`."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def call(self, address: str, request: ServiceRequest, listener: ServiceListener) -> Exchange:
        """Run a call; a 5xx of a call that may be repeated is a failed attempt."""

        def on_answer(status: int, headers: dict[str, str], body: bytes) -> None:
            if is_not_run(status, headers):
                listener.on_failed(AttemptEnd.REFUSED, "server refused")
            elif status >= 500 and request.repeatable:
                listener.on_failed(AttemptEnd.FAILED, f"status {status}")
            else:
                listener.on_answer(status, headers, body)

        headers = [("X-Request-Id", request.id), ("X-Attempt", str(request.attempt))]
        message = HttpRequest(
            request.method,
            request.target,
            [*request.headers, *headers],
            request.body,
            reuse=request.repeatable,
        )
        answer = WholeAnswer(on_answer, listener.on_failed)
        answer.exchange = self._client.send(address, message, answer)
        return answer.exchange
