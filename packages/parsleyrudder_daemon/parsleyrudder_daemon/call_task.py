"""The course of one call at this router, common to engines and plain services.

A call task owns its caller exchange, its waiting call and its attempt at a server. Each attempt has
its own listener, so a late answer of an abandoned attempt reaches nobody.
"""

import logging
import time

from parsleyrudder import (
    AttemptEnd,
    Call,
    Failure,
    Outcome,
    Retry,
    ServerInfo,
    WaitingCall,
    failure,
)
from parsleyrudder_adapters.front import CallerExchange
from parsleyrudder_adapters.http_client import Exchange, HttpRequest
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.timers import Timer

from .context import Context
from .pool_task import PoolTask

__all__ = ["Attempt", "CallTask"]

_LOGGER = logging.getLogger(__name__)
_STATUS_NOT_RUN = 503


class CallTask:
    """One call; subclasses know the protocol of the servers."""

    def __init__(
        self,
        context: Context,
        pool: PoolTask,
        exchange: CallerExchange,
        waiting: WaitingCall,
        call: Call,
    ) -> None:
        self.context = context
        self.pool = pool
        self.exchange = exchange
        self.waiting = waiting
        self.call = call
        self.begun_at = context.now()
        self.dispatched_at = 0.0
        self._attempt: Attempt | None = None
        self._ended = False
        self._last_server = ""
        self._deadline_timer: Timer | None = None
        exchange.on_gone = self._on_caller_gone

    def begin(self) -> None:
        """Let the call wait for a server."""
        refused = self.pool.submit(self.waiting, self)
        if refused is not None:
            self.refuse(refused)
            return
        if not self._ended:
            delay = max(0.0, self.call.deadline - self.context.now())
            self._deadline_timer = self.context.timers.after(delay, self._on_deadline)

    def start(self, server: ServerInfo) -> None:
        """Begin an attempt; see :class:`PoolUser`."""
        if not self.dispatched_at:
            self.dispatched_at = self.context.now()
            self.context.metrics.observe("wait", self.pool.name, self.dispatched_at - self.begun_at)
        number = self.call.start_attempt(self.pool.budget)
        attempt = self.new_attempt(number, server)
        self._attempt = attempt
        self._last_server = server.id
        request = self.server_request(number)
        request.valid_until = self.pool.scheduler.slots.expires_at
        attempt.exchange = self.context.client.send(server.address, request, attempt)

    def refuse(self, reason: Failure) -> None:
        """End as not run; see :class:`PoolUser`."""
        if not self._ended:
            self._end(reason.outcome, reason.kind.code)
            self.exchange.fail(reason)

    def accrue(self, now: float) -> None:
        """Charge cost that accrues with time; see :class:`PoolUser`."""

    def new_attempt(self, number: int, server: ServerInfo) -> "Attempt":
        """Return the listener of an attempt."""
        raise NotImplementedError

    def server_request(self, number: int) -> HttpRequest:
        """Return the request of an attempt."""
        raise NotImplementedError

    def succeed(self) -> None:
        """End as answered; the caller has got, or is getting, the whole answer."""
        self._attempt = None
        self.accrue(self.context.now())
        self.pool.finish(self.waiting, failed=False, learn=True)
        self._end(Outcome.ANSWERED, "ok")

    def attempt_failed(self, end: AttemptEnd, reason: str) -> None:
        """Try another server, or end with an error."""
        server = self.waiting.server
        self._drop_attempt()
        decision = self.call.on_failed(end, self.pool.budget, self.context.now())
        log_event(
            _LOGGER,
            "attempt_failed",
            logging.WARNING,
            request=self.call.id,
            pool=self.pool.name,
            server=server,
            attempt=self.call.attempt,
            end=end,
            reason=reason,
            retry=isinstance(decision, Retry),
        )
        if isinstance(decision, Retry):
            self.context.metrics.count("retries", pool=self.pool.name)
            self.pool.retry(self.waiting, server)
            return
        self.accrue(self.context.now())
        self.pool.finish(self.waiting, failed=end is not AttemptEnd.TIMED_OUT, learn=False)
        self._end(decision.outcome, decision.kind.code)
        self.exchange.fail(decision)

    def _on_deadline(self) -> None:
        if self._ended:
            return
        if self._attempt is not None:
            self.attempt_failed(AttemptEnd.TIMED_OUT, "deadline")
            return
        self.pool.cancel(self.waiting)
        if self.call.sent:
            self.refuse(failure("deadline_exceeded", "the deadline passed during a retry"))
        else:
            self.refuse(failure("deadline_unreachable", "no server was free in time", 1.0))

    def _on_caller_gone(self) -> None:
        """Cancel the call: nobody is there for its answer."""
        if self._ended:
            return
        if self._attempt is None:
            self.pool.cancel(self.waiting)
        else:
            self._drop_attempt()
            self.accrue(self.context.now())
            self.pool.finish(self.waiting, failed=False, learn=False)
        outcome = Outcome.UNKNOWN if self.call.attempt else Outcome.NOT_RUN
        self._end(outcome, "caller_gone")

    def _drop_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None and attempt.exchange is not None:
            attempt.exchange.cancel()

    def _end(self, outcome: Outcome, code: str) -> None:
        self._ended = True
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        seconds = self.context.now() - self.begun_at
        self.context.metrics.observe("call", self.pool.name, seconds)
        self.context.metrics.count("calls", pool=self.pool.name, outcome=outcome, code=code)
        log_event(
            _LOGGER,
            "call_ended",
            request=self.call.id,
            member=self.waiting.member,
            pool=self.pool.name,
            outcome=outcome,
            code=code,
            attempts=self.call.attempt,
            server=self._last_server or None,
            cost=self.waiting.charged,
            seconds=seconds,
        )


class Attempt:
    """Listener of one attempt; drops what comes after the attempt has been abandoned."""

    def __init__(self, task: CallTask, number: int, server: ServerInfo) -> None:
        self.task = task
        self.number = number
        self.server = server
        self.exchange: Exchange | None = None
        self.status = 0
        self.headers: dict[str, str] = {}
        self.started_at = time.monotonic()

    @property
    def is_current(self) -> bool:
        """Whether the call still waits for this attempt."""
        return self.task.call.is_current(self.number) and self.task._attempt is self

    def on_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """See :class:`ResponseListener`."""
        self.status = status
        self.headers = dict(headers)

    def on_data(self, data: bytes) -> None:
        """See :class:`ResponseListener`."""
        raise NotImplementedError

    def on_end(self) -> None:
        """See :class:`ResponseListener`."""
        raise NotImplementedError

    def on_failed(self, sent: bool, reason: str) -> None:
        """See :class:`ResponseListener`."""
        if self.is_current:
            end = AttemptEnd.BROKEN if sent else AttemptEnd.NOT_SENT
            self.task.attempt_failed(end, reason)

    def said_not_run(self) -> bool:
        """Whether the server refused the call without running it."""
        return self.status == _STATUS_NOT_RUN and self.headers.get("x-not-run") == "true"
