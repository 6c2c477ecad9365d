"""Calls of plain services: one request, one whole answer."""

from parsleyrudder import AttemptEnd, Call, ServerInfo, WaitingCall
from parsleyrudder_adapters.front import CallerExchange
from parsleyrudder_adapters.http_client import HttpRequest

from .call_task import Attempt, CallTask
from .context import Context
from .pool_task import PoolTask

__all__ = ["ServiceCall"]

_MOST_BODY_BYTES = 8 << 20
_PASSED_REQUEST = ("content-type", "accept", "accept-language", "if-match", "if-none-match")
_DROPPED_ANSWER = ("connection", "transfer-encoding", "content-length", "date", "server")


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

    def new_attempt(self, number: int, server: ServerInfo) -> "Attempt":
        """Return the listener of an attempt."""
        return _WholeAttempt(self, number, server)

    def server_request(self, number: int) -> HttpRequest:
        """Return the request of an attempt."""
        request = self.exchange.request
        headers = [(n, request.headers[n]) for n in _PASSED_REQUEST if n in request.headers]
        headers += [("X-Request-Id", self.call.id), ("X-Attempt", str(number))]
        key = request.headers.get("idempotency-key")
        if key is not None:
            headers.append(("Idempotency-Key", key))
        reuse = self.call.idempotent
        return HttpRequest(request.method, self._path, headers, request.body, reuse)

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

    def complete(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Give the caller the server's answer."""
        self.accrue(self.context.now())
        kept = [(name, value) for name, value in headers.items() if name not in _DROPPED_ANSWER]
        self.exchange.answer(status, body, kept)
        self.succeed()


class _WholeAttempt(Attempt):
    """Collects the answer of a plain service."""

    task: ServiceCall

    def __init__(self, task: ServiceCall, number: int, server: ServerInfo) -> None:
        super().__init__(task, number, server)
        self._body = bytearray()

    def on_data(self, data: bytes) -> None:
        """Collect a part of the answer."""
        if not self.is_current:
            return
        self._body += data
        if len(self._body) > _MOST_BODY_BYTES:
            self.task.attempt_failed(AttemptEnd.BROKEN, "answer too large")

    def on_end(self) -> None:
        """Complete the call."""
        if not self.is_current:
            return
        if self.said_not_run():
            self.task.attempt_failed(AttemptEnd.REFUSED, "server refused")
        elif self.status >= 500 and self.task.call.idempotent:
            self.task.attempt_failed(AttemptEnd.FAILED, f"status {self.status}")
        else:
            self.task.complete(self.status, self.headers, bytes(self._body))
