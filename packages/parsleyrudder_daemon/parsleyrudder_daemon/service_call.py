"""Calls of plain services: one request, one answer; a large answer is streamed."""

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

_COLLECT_BYTES = 256 * 1024
_MOST_COLLECTED_BYTES = 8 << 20
_REFUSED_METHODS = frozenset({"CONNECT", "TRACE"})
_PASSED_REQUEST = (
    "content-type",
    "accept",
    "accept-language",
    "if-match",
    "if-none-match",
    "idempotency-key",
)
_DROPPED_ANSWER = frozenset(
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
    """A call of a plain service; its cost is the time that it takes, in milliseconds."""

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
        self._used_ms = 0.0

    def begin(self) -> None:
        """See :class:`CallTask`."""
        method = self.exchange.request.method
        if method in _REFUSED_METHODS:
            self.refuse(failure("bad_method", f"{method} is not passed on to services"))
        else:
            super().begin()

    def new_attempt(self, number: int, server: ServerInfo) -> Attempt:
        """Return the listener of an attempt."""
        return _ServiceAttempt(self, number, server)

    def send(self, address: str, number: int, attempt: Attempt) -> AttemptHandle:
        """Send the request of an attempt."""
        request = self.exchange.request
        headers = tuple((n, request.headers[n]) for n in _PASSED_REQUEST if n in request.headers)
        call = ServiceRequest(
            self.call.id,
            number,
            request.method,
            self._path,
            headers,
            request.body,
            self.call.idempotent,
            self.may_send,
        )
        return self.context.services.call(address, call, attempt)

    def accrue(self, now: float) -> None:
        """Charge the time that servers have spent."""
        if self._attempt is not None:
            elapsed_ms = (now - self._attempt.started_at) * 1000
            self.pool.scheduler.charge(self.waiting, self._used_ms + elapsed_ms)

    def attempt_failed(self, end: AttemptEnd, reason: str) -> None:
        """Keep the time of the failed attempt; see :class:`CallTask`."""
        self.accrue(self.context.now())
        self._used_ms = self.waiting.charged
        super().attempt_failed(end, reason)

    def leave(self) -> None:
        """Go on without the caller once the service may have begun.

        A service can't be told to stop. Its slot stays taken and its time is charged until it
        answers, and a repeat with the same idempotency key gets that answer.
        """
        attempt = self._attempt
        if attempt is None or not attempt.sent or self.call.head_relayed:
            super().leave()
        else:
            self.call.abandoned = True

    def fail_caller(self, reason: Failure) -> None:
        """Give the caller the final error; an answer that has begun is cut without an end mark."""
        if self.call.head_relayed:
            self.exchange.abort()
        else:
            super().fail_caller(reason)

    def complete(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Give the caller the server's answer."""
        kept = _kept(headers)
        length = headers.get("content-length")
        method = self.exchange.request.method
        if self.exchange.ended:
            pass
        elif status in _BODYLESS_STATUSES or (method == "HEAD" and length is not None):
            # The length is that of the answer to a GET; no body follows.
            if method == "HEAD" and length is not None:
                kept.append(("Content-Length", length))
            self.exchange.start_stream(status, kept)
            self.exchange.finish_stream()
        else:
            self.exchange.respond(status, body, kept)
        self.succeed(status, headers.get("content-type", ""), body)

    def start_stream(self, status: int, headers: dict[str, str]) -> bool:
        """Begin to relay an answer that is too large to be collected.

        :returns: whether the caller could tell if the answer is cut: it has a length, or the
            caller understands chunks.
        """
        length = headers.get("content-length")
        if length is None and self.exchange.request.http_1_0:
            return False
        kept = _kept(headers)
        if length is not None:
            kept.append(("Content-Length", length))
        if not self.exchange.ended:
            self.exchange.start_stream(status, kept)
        self.call.head_relayed = True
        return True

    def complete_stream(self, status: int, headers: dict[str, str]) -> None:
        """Give the caller the end of a streamed answer."""
        self.exchange.finish_stream()
        self.succeed(status, headers.get("content-type", ""), None)


def _kept(headers: dict[str, str]) -> list[tuple[str, str]]:
    """Return the headers of an answer that concern the caller."""
    return [(name, value) for name, value in headers.items() if name not in _DROPPED_ANSWER]


class _ServiceAttempt(Attempt):
    """Collects the answer of a plain service, or streams it once it is large."""

    task: ServiceCall

    def __init__(self, task: ServiceCall, number: int, server: ServerInfo) -> None:
        super().__init__(task, number, server)
        self._body = bytearray()
        self._streams = False

    def receive(self, data: bytes) -> None:
        """See :class:`Attempt`."""
        if self._is_failure() or self.said_not_run():
            return
        if self._streams:
            self.task.exchange.write(data)
            self.bound_buffer()
            return
        self._body += data
        if len(self._body) > _COLLECT_BYTES:
            self._stream_or_collect()

    def receive_end(self) -> None:
        """Complete the call."""
        if self._is_failure():
            self.task.attempt_failed(AttemptEnd.FAILED, f"status {self.status}")
        elif self._streams:
            self.task.complete_stream(self.status, self.headers)
        else:
            self.task.complete(self.status, self.headers, bytes(self._body))

    def _is_failure(self) -> bool:
        return self.status >= 500 and self.task.call.idempotent

    def _stream_or_collect(self) -> None:
        if self.task.start_stream(self.status, self.headers):
            self._streams = True
            self.task.exchange.write(bytes(self._body))
            self._body.clear()
            self.bound_buffer()
        elif len(self._body) > _MOST_COLLECTED_BYTES:
            text = "the answer has no length and the caller reads HTTP/1.0"
            self.task.attempt_failed(AttemptEnd.TOO_LARGE, text)
