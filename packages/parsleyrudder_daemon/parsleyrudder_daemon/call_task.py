"""The course of one call at this router, common to engines and plain services.

A call task owns its caller exchange, its waiting call, its attempt at a server and the claim on its
idempotency key. The key is claimed before the call waits for a slot, so that no slot idles while
the table is written; a call that then ends without having been sent gives its claim back.
"""

import logging

from parsleyrudder import (
    AttemptEnd,
    AttemptHandle,
    Call,
    Failure,
    KeyReplay,
    Outcome,
    Retry,
    ServerInfo,
    WaitingCall,
    failure,
    is_valid_key,
    key_path,
    request_digest,
)
from parsleyrudder_adapters.http_server import CallerExchange
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.timers import Timer

from .attempt import Attempt
from .context import Context
from .key_claim import Claiming, KeyClaim
from .pool_task import PoolTask

__all__ = ["CallTask"]

_LOGGER = logging.getLogger(__name__)


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
        self._claiming: Claiming | None = None
        self._claim: KeyClaim | None = None
        self._stored: tuple[int, str, bytes | None] | None = None
        exchange.on_gone = self.leave

    def begin(self) -> None:
        """Claim the call's idempotency key if it has one, then let it wait for a server."""
        request = self.exchange.request
        left_s = max(0.0, self.call.deadline - self.context.now())
        self._deadline_timer = self.context.timers.after(left_s, self._on_deadline)
        key = request.headers.get("idempotency-key")
        if key is None:
            self._wait()
        elif not is_valid_key(key):
            text = "Idempotency-Key must be 1 to 255 visible ASCII characters"
            self.refuse(failure("bad_request", text))
        elif self.pool.is_cut_off():
            # Known already, so the table need not be written twice for nothing.
            self.refuse(self.pool.cut_off_failure())
        else:
            path = key_path(self.waiting.member, key)
            digest = request_digest(request.method, request.target, request.body)
            self._claiming = self.context.keys.claim(path, digest, left_s, self._on_claimed)

    def start(self, server: ServerInfo) -> None:
        """Begin an attempt; see :class:`PoolCall`."""
        if self.context.now() >= self.call.deadline:
            # The process was paused; its deadline timer has not been served yet.
            self.pool.finish(self.waiting, failed=None, learn=False)
            self.refuse(failure("deadline_unreachable", "no server was free in time", 1.0))
            return
        if not self.dispatched_at:
            self.dispatched_at = self.context.now()
            self.context.metrics.observe("wait", self.pool.name, self.dispatched_at - self.begun_at)
        number = self.call.start_attempt(self.pool.retry_budget)
        attempt = self.new_attempt(number, server)
        self._attempt = attempt
        self._last_server = server.id
        attempt.exchange = self.send(server.address, number, attempt)
        attempt.watch()

    def refuse(self, reason: Failure) -> None:
        """End while no attempt runs; as not run, unless an earlier attempt may have run.

        See :class:`PoolCall`.
        """
        if not self._ended:
            reason = self.call.refusal(reason)
            self._end(reason.outcome, reason.kind.code)
            self.fail_caller(reason)

    def fail_caller(self, reason: Failure) -> None:
        """Give the caller the final error."""
        self.exchange.fail(reason)

    def accrue(self, now: float) -> None:
        """Charge cost that accrues with time; see :class:`PoolCall`."""

    def new_attempt(self, number: int, server: ServerInfo) -> Attempt:
        """Return the listener of an attempt."""
        raise NotImplementedError

    def send(self, address: str, number: int, attempt: Attempt) -> AttemptHandle:
        """Send the request of an attempt."""
        raise NotImplementedError

    def succeed(self, status: int, content_type: str, body: bytes | None) -> None:
        """End as answered; the caller has got, or is getting, the whole answer.

        :param body: what a repeat with the same idempotency key gets, or None if it is too large.
        """
        if self._attempt is not None:
            self._attempt.unwatch()
        self._attempt = None
        self._stored = (status, content_type, body)
        self.accrue(self.context.now())
        self.pool.finish(self.waiting, failed=False, learn=True)
        self._end(Outcome.ANSWERED, "ok")

    def attempt_failed(self, end: AttemptEnd, reason: str) -> None:
        """Try another server, or end with an error."""
        server = self.waiting.server
        self._drop_attempt()
        decision = self.call.on_failed(end, self.pool.retry_budget, self.context.now())
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
            # The limit of the first wait does not apply: the deadline bounds the wait for a retry.
            self.waiting.queue_until = self.call.deadline
            self.pool.retry(self.waiting, server)
            return
        self.accrue(self.context.now())
        neutral = end in (AttemptEnd.TIMED_OUT, AttemptEnd.TOO_LARGE)
        self.pool.finish(self.waiting, failed=None if neutral else True, learn=False)
        self._end(decision.outcome, decision.kind.code)
        self.fail_caller(decision)

    def is_attempt(self, attempt: Attempt) -> bool:
        """Whether the call still waits for an attempt; what others bring is dropped."""
        return self._attempt is attempt and self.call.is_current(attempt.number)

    def stall(self) -> None:
        """Cut off a caller that has stopped reading."""
        self.exchange.abort(discard=True)
        self.leave()

    def may_send(self) -> bool:
        """Whether portion lease and deadline still hold, as the process may have been paused."""
        return not self.pool.is_cut_off() and self.context.now() < self.call.deadline

    def _wait(self) -> None:
        refused = self.pool.submit(self.waiting, self)
        if refused is not None:
            self.refuse(refused)

    def _on_claimed(self, result: KeyClaim | KeyReplay | Failure) -> None:
        if isinstance(result, KeyClaim):
            self._claim = result
            self._wait()
        elif isinstance(result, KeyReplay):
            self._end(Outcome.ANSWERED, "replayed")
            headers = [("X-Idempotent-Replay", "true")]
            if result.content_type:
                headers.append(("Content-Type", result.content_type))
            self.exchange.respond(result.status, result.body, headers)
        else:
            self.refuse(result)

    def _settle_key(self, outcome: Outcome) -> None:
        """Store in the key's row what a repeat is to be told."""
        if self._claiming is not None:
            self._claiming.abandon()
        claim, self._claim = self._claim, None
        if claim is None:
            return
        if outcome is Outcome.ANSWERED and self._stored is not None:
            self.context.keys.store(claim, *self._stored)
        elif outcome is Outcome.NOT_RUN:
            self.context.keys.release(claim)
        else:
            self.context.keys.lose(claim)

    def _on_deadline(self) -> None:
        if self._ended:
            return
        if self._attempt is not None:
            end = AttemptEnd.TIMED_OUT if self._attempt.sent else AttemptEnd.NOT_SENT
            self.attempt_failed(end, "deadline")
            return
        self.pool.cancel(self.waiting)
        self.refuse(failure("deadline_unreachable", "no server was free in time", 1.0))

    def leave(self) -> None:
        """Cancel the call: nobody is there for its answer."""
        if self._ended:
            return
        sent = self.call.may_have_run
        if self._attempt is None:
            self.pool.cancel(self.waiting)
        else:
            self.accrue(self.context.now())
            sent = sent or self._attempt.sent
            self._drop_attempt()
            self.pool.finish(self.waiting, failed=None, learn=False)
        self._end(Outcome.UNKNOWN if sent else Outcome.NOT_RUN, "caller_gone")

    def _drop_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel()

    def _end(self, outcome: Outcome, code: str) -> None:
        self._ended = True
        self._settle_key(outcome)
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
