"""Processing of one call at this router, common to engines and plain services.

A call task owns its caller exchange, its waiting call, its attempt at a server and the claim on its
idempotency key. The key is claimed before the call waits for a slot, so that no slot is idle while
the table is written; if the call then ends without having been sent, its claim is released.
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
from .key_claim import KeyClaim, PendingClaim
from .pool_task import PoolTask

__all__ = ["CallTask"]

_LOGGER = logging.getLogger(__name__)


class CallTask:
    """One call; subclasses implement the protocol of the servers.

    :ivar waiting: the call as the pool's scheduler sees it.
    :ivar call: state that determines retries and the outcome.
    :ivar received_at: monotonic time at which the call was received.
    :ivar dispatched_at: monotonic time at which its first attempt started; 0 before that.
    """

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
        self.received_at = context.now()
        self.dispatched_at = 0.0
        self._attempt: Attempt | None = None
        self._ended = False
        self._last_server_id = ""
        self._deadline_timer: Timer | None = None
        self._pending_claim: PendingClaim | None = None
        self._claim: KeyClaim | None = None
        self._response: tuple[int, str, bytes | None] | None = None
        exchange.on_gone = self.on_caller_gone

    def begin(self) -> None:
        """Claim the call's idempotency key if it has one, then queue the call for a server."""
        request = self.exchange.request
        remaining_s = max(0.0, self.call.deadline - self.context.now())
        self._deadline_timer = self.context.timers.after(remaining_s, self._on_deadline)
        key = request.headers.get("idempotency-key")
        if key is None:
            self._enqueue()
        elif not is_valid_key(key):
            text = "Idempotency-Key must be 1 to 255 visible ASCII characters"
            self.refuse(failure("bad_request", text))
        elif self.pool.is_cut_off():
            # The call would be refused later anyway; refusing it now saves two writes to the table.
            self.refuse(self.pool.cut_off_failure())
        else:
            path = key_path(self.waiting.member, key)
            digest = request_digest(request.method, request.target, request.body)
            self._pending_claim = self.context.keys.claim(
                path, digest, remaining_s, self._on_claimed
            )

    def start(self, server: ServerInfo) -> None:
        """Start an attempt; see :class:`PoolCall`."""
        if self.context.now() >= self.call.deadline:
            # The process was paused, and the deadline timer has not fired yet.
            self.pool.finish(self.waiting, failed=None, learn=False)
            self.refuse(failure("deadline_unreachable", "no server was free in time", 1.0))
            return
        if not self.dispatched_at:
            self.dispatched_at = self.context.now()
            self.context.metrics.observe(
                "wait", self.pool.name, self.dispatched_at - self.received_at
            )
        number = self.call.start_attempt(self.pool.retry_budget)
        attempt = self.new_attempt(number, server)
        self._attempt = attempt
        self._last_server_id = server.id
        attempt.handle = self.send(server.address, number, attempt)
        attempt.start_silence_timer()

    def refuse(self, reason: Failure) -> None:
        """End the call while no attempt runs; see :class:`PoolCall`.

        The outcome is "not run", unless an earlier attempt may have run.
        """
        if not self._ended:
            reason = self.call.refusal(reason)
            self._end(reason.outcome, reason.kind.code)
            self.fail_caller(reason)

    def fail_caller(self, reason: Failure) -> None:
        """Send the final error to the caller."""
        self.exchange.fail(reason)

    def accrue(self, now: float) -> None:
        """Charge cost that accrues with time; see :class:`PoolCall`."""

    def new_attempt(self, number: int, server: ServerInfo) -> Attempt:
        """Return a new attempt, which listens to the response."""
        raise NotImplementedError

    def send(self, address: str, number: int, attempt: Attempt) -> AttemptHandle:
        """Send the request of an attempt."""
        raise NotImplementedError

    def succeed(self, status: int, content_type: str, body: bytes | None) -> None:
        """End the call as answered; the complete response has been passed to the caller's exchange.

        :param body: response to a repeated call with the same idempotency key, or None if it is
            too large to store.
        """
        if self._attempt is not None:
            self._attempt.cancel_silence_timer()
        self._attempt = None
        self._response = (status, content_type, body)
        self.accrue(self.context.now())
        self.pool.finish(self.waiting, failed=False, learn=True)
        self._end(Outcome.ANSWERED, "ok")

    def attempt_failed(self, end: AttemptEnd, reason: str) -> None:
        """Retry on another server, or end the call with an error."""
        server = self.waiting.server
        self._cancel_attempt()
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
            # The queue time limit applies to the first attempt only; a retry may wait until the
            # deadline.
            self.waiting.queue_until = self.call.deadline
            self.pool.retry(self.waiting, server)
            return
        self.accrue(self.context.now())
        inconclusive = end in (AttemptEnd.TIMED_OUT, AttemptEnd.TOO_LARGE)
        self.pool.finish(self.waiting, failed=None if inconclusive else True, learn=False)
        self._end(decision.outcome, decision.kind.code)
        self.fail_caller(decision)

    def is_current_attempt(self, attempt: Attempt) -> bool:
        """Whether an attempt is the current one; events of other attempts are ignored."""
        return self._attempt is attempt and self.call.is_current(attempt.number)

    def abort_stalled_caller(self) -> None:
        """Disconnect a caller that has stopped reading, and cancel the call."""
        self.exchange.abort(discard=True)
        self.on_caller_gone()

    def may_send(self) -> bool:
        """Whether the call may still be sent.

        The process may have been paused, so that the portion lease has expired or the deadline has
        passed since the attempt started.
        """
        return not self.pool.is_cut_off() and self.context.now() < self.call.deadline

    def _enqueue(self) -> None:
        refusal = self.pool.submit(self.waiting, self)
        if refusal is not None:
            self.refuse(refusal)

    def _on_claimed(self, result: KeyClaim | KeyReplay | Failure) -> None:
        if isinstance(result, KeyClaim):
            self._claim = result
            self._enqueue()
        elif isinstance(result, KeyReplay):
            self._end(Outcome.ANSWERED, "replayed")
            headers = [("X-Idempotent-Replay", "true")]
            if result.content_type:
                headers.append(("Content-Type", result.content_type))
            self.exchange.respond(result.status, result.body, headers)
        else:
            self.refuse(result)

    def _finish_claim(self, outcome: Outcome) -> None:
        """Write to the key's row how to respond to a repeated call, or release the key."""
        if self._pending_claim is not None:
            self._pending_claim.abandon()
        claim, self._claim = self._claim, None
        if claim is None:
            return
        if outcome is Outcome.ANSWERED and self._response is not None:
            self.context.keys.store(claim, *self._response)
        elif outcome is Outcome.NOT_RUN:
            self.context.keys.release(claim)
        else:
            self.context.keys.mark_lost(claim)

    def _on_deadline(self) -> None:
        if self._ended:
            return
        if self._attempt is not None:
            end = AttemptEnd.TIMED_OUT if self._attempt.sent else AttemptEnd.NOT_SENT
            self.attempt_failed(end, "the deadline passed")
            return
        self.pool.cancel(self.waiting)
        self.refuse(failure("deadline_unreachable", "no server was free in time", 1.0))

    def on_caller_gone(self) -> None:
        """Cancel the call, as its caller has disconnected."""
        if self._ended:
            return
        sent = self.call.may_have_run
        if self._attempt is None:
            self.pool.cancel(self.waiting)
        else:
            self.accrue(self.context.now())
            sent = sent or self._attempt.sent
            self._cancel_attempt()
            self.pool.finish(self.waiting, failed=None, learn=False)
        self._end(Outcome.UNKNOWN if sent else Outcome.NOT_RUN, "caller_gone")

    def _cancel_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel()

    def _end(self, outcome: Outcome, code: str) -> None:
        self._ended = True
        self._finish_claim(outcome)
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        seconds = self.context.now() - self.received_at
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
            server=self._last_server_id or None,
            cost=self.waiting.charged,
            seconds=seconds,
        )
