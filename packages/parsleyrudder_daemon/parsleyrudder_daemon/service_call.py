"""Calls to plain services: one request and one response; a large response is streamed."""

from parsleyrudder import (
    AttemptEnd,
    AttemptHandle,
    Call,
    Failure,
    ServerInfo,
    ServiceRequest,
    WaitingCall,
    failure,
)
from parsleyrudder_adapters.http_server import CallerExchange

from .attempt import Attempt
from .call_task import CallTask
from .context import Context
from .pool_task import PoolTask

__all__ = ["ServiceCall"]

_STREAM_THRESHOLD_BYTES = 256 * 1024
_MAX_COLLECTED_BYTES = 8 << 20
_REFUSED_METHODS = frozenset({"CONNECT", "TRACE"})
_FORWARDED_REQUEST_HEADERS = (
    "content-type",
    "accept",
    "accept-language",
    "if-match",
    "if-none-match",
    "idempotency-key",
)
_DROPPED_RESPONSE_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "server",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-idempotent-replay",
        "x-rudder-outcome",
        "x-request-id",
    }
)
_BODYLESS_STATUSES = frozenset({204, 304})


class ServiceCall(CallTask):
    """Call to a plain service; its cost is the time that it takes, in milliseconds."""

    def __init__(
        self,
        context: Context,
        pool: PoolTask,
        exchange: CallerExchange,
        waiting: WaitingCall,
        call: Call,
        path: str,
    ) -> None:
        super().__init__(context, pool, exchange, waiting, call)
        self._path = path
        self._earlier_attempts_ms = 0.0

    def begin(self) -> None:
        """See :class:`CallTask`."""
        method = self.exchange.request.method
        if method in _REFUSED_METHODS:
            self.refuse(failure("bad_method", f"{method} is not passed on to services"))
        else:
            super().begin()

    def new_attempt(self, number: int, server: ServerInfo) -> Attempt:
        """See :class:`CallTask`."""
        return _ServiceAttempt(self, number, server)

    def send(self, address: str, number: int, attempt: Attempt) -> AttemptHandle:
        """See :class:`CallTask`."""
        request = self.exchange.request
        headers = tuple(
            (n, request.headers[n]) for n in _FORWARDED_REQUEST_HEADERS if n in request.headers
        )
        service_request = ServiceRequest(
            self.call.id,
            number,
            request.method,
            self._path,
            headers,
            request.body,
            self.call.idempotent,
            self.may_send,
        )
        return self.context.services.call(address, service_request, attempt)

    def accrue(self, now: float) -> None:
        """Charge the time of the current and earlier attempts."""
        if self._attempt is not None:
            elapsed_ms = (now - self._attempt.started_at) * 1000
            self.pool.scheduler.charge(self.waiting, self._earlier_attempts_ms + elapsed_ms)

    def attempt_failed(self, end: AttemptEnd, reason: str) -> None:
        """Add the time of the failed attempt to that of earlier ones; see :class:`CallTask`."""
        self.accrue(self.context.now())
        self._earlier_attempts_ms = self.waiting.charged
        super().attempt_failed(end, reason)

    def on_caller_gone(self) -> None:
        """Cancel the call, unless the service may have started to run it.

        A running service call can't be cancelled. It occupies its slot and its time is charged
        until the service responds; a repeated call with the same idempotency key gets that
        response.
        """
        attempt = self._attempt
        if attempt is None or not attempt.sent or self.call.head_relayed:
            super().on_caller_gone()
        else:
            self.call.abandoned = True

    def fail_caller(self, reason: Failure) -> None:
        """Send the final error to the caller.

        If the head of the response has been relayed, the response is truncated in a way that the
        caller can detect.
        """
        if self.call.head_relayed:
            self.exchange.abort()
        else:
            super().fail_caller(reason)

    def complete(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Relay a complete response to the caller."""
        forwarded = _forwarded_headers(headers)
        length = headers.get("content-length")
        method = self.exchange.request.method
        if self.exchange.ended:
            pass
        elif status in _BODYLESS_STATUSES or (method == "HEAD" and length is not None):
            # A Content-Length here is that of the response to a GET request; no body follows.
            if method == "HEAD" and length is not None:
                forwarded.append(("Content-Length", length))
            self.exchange.start_stream(status, forwarded)
            self.exchange.finish_stream()
        else:
            self.exchange.respond(status, body, forwarded)
        self.succeed(status, headers.get("content-type", ""), body)

    def start_stream(self, status: int, headers: dict[str, str]) -> bool:
        """Start to stream a large response to the caller, if the caller could detect truncation.

        :returns: whether it could: the response has a length, or the caller supports chunked
            encoding.
        """
        length = headers.get("content-length")
        if length is None and self.exchange.request.http_1_0:
            return False
        forwarded = _forwarded_headers(headers)
        if length is not None:
            forwarded.append(("Content-Length", length))
        if not self.exchange.ended:
            self.exchange.start_stream(status, forwarded)
        self.call.head_relayed = True
        return True

    def complete_stream(self, status: int, headers: dict[str, str]) -> None:
        """Complete a streamed response."""
        self.exchange.finish_stream()
        self.succeed(status, headers.get("content-type", ""), None)


def _forwarded_headers(headers: dict[str, str]) -> list[tuple[str, str]]:
    """Return the response headers that are forwarded to the caller."""
    return [
        (name, value) for name, value in headers.items() if name not in _DROPPED_RESPONSE_HEADERS
    ]


class _ServiceAttempt(Attempt):
    """Collects the response of a plain service, or streams it if it is large."""

    task: ServiceCall

    def __init__(self, task: ServiceCall, number: int, server: ServerInfo) -> None:
        super().__init__(task, number, server)
        self._body = bytearray()
        self._is_streaming = False

    def receive(self, data: bytes) -> None:
        """See :class:`Attempt`."""
        if self._is_failure() or self.is_refusal():
            return
        if self._is_streaming:
            self.task.exchange.write(data)
            self.apply_backpressure()
            return
        self._body += data
        if len(self._body) > _STREAM_THRESHOLD_BYTES:
            self._stream_or_collect()

    def receive_end(self) -> None:
        """Complete the call, or fail the attempt on a 5xx response to an idempotent call."""
        if self._is_failure():
            self.task.attempt_failed(AttemptEnd.FAILED, f"status {self.status}")
        elif self._is_streaming:
            self.task.complete_stream(self.status, self.headers)
        else:
            self.task.complete(self.status, self.headers, bytes(self._body))

    def _is_failure(self) -> bool:
        return self.status >= 500 and self.task.call.idempotent

    def _stream_or_collect(self) -> None:
        if self.task.start_stream(self.status, self.headers):
            self._is_streaming = True
            self.task.exchange.write(bytes(self._body))
            self._body.clear()
            self.apply_backpressure()
        elif len(self._body) > _MAX_COLLECTED_BYTES:
            reason = "the response has no Content-Length and the caller uses HTTP/1.0"
            self.task.attempt_failed(AttemptEnd.TOO_LARGE, reason)
