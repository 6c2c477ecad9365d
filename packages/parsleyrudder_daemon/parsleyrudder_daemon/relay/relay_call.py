"""One caller's request on its way: waits for a place, is sent, perhaps sent again, is answered."""

import logging
from collections.abc import Callable

from parsleyrudder import (
    Decision,
    EventFilter,
    Failure,
    Placed,
    Refused,
    RelayedRequest,
    Route,
    RouteKind,
    SendEnd,
    Target,
    WaitingRequest,
    failure,
)
from parsleyrudder_adapters.http_client import HttpRequest
from parsleyrudder_adapters.http_server import CallerExchange
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.timers import Timer

from .answer import CollectedAnswer, StreamedAnswer
from .attempt import Attempt
from .context import RelayContext, now
from .dialect import AnswerHead, RelayRequest, Send
from .pools import Pool, Pools
from .trace import RequestTrace

__all__ = ["RelayCall"]

_LOGGER = logging.getLogger(__name__)
# A repeatable request is sent elsewhere if its target says nothing for so many target latencies.
_SILENCE_LATENCIES = 2.5
_LEAST_SILENCE_S = 0.4
_MOST_SILENCE_S = 1.8
# A request at a silent target asks so often for budget to go elsewhere.
_BUDGET_S = 0.2
# An answer that is no stream is collected before it is passed on, in the memory of the instance.
_MOST_ANSWER_BYTES = 8 << 20
# Time before the deadline that is left for the answer's way back.
_RETURN_S = 0.02


class RelayCall:
    """Course of one request.

    :param on_done: called once when the caller has its answer or has left.
    """

    def __init__(
        self,
        context: RelayContext,
        pools: Pools,
        pool: Pool,
        exchange: CallerExchange,
        request: RelayRequest,
        route: Route,
        waiting: WaitingRequest,
        on_done: Callable[["RelayCall"], None],
    ) -> None:
        self.context = context
        self.pool = pool
        self.waiting = waiting
        self._pools = pools
        self._exchange = exchange
        self._request = request
        self._on_done = on_done
        self._relay = RelayedRequest(waiting.id, route, waiting.deadline)
        self._frames = EventFilter(request.last_event_id)
        self._attempt: Attempt | None = None
        self._answer: CollectedAnswer | StreamedAnswer | None = None
        self._failed_answer: CollectedAnswer | None = None
        self._silence: Timer | None = None
        self._began = False
        self._is_over = False
        # Whether budget for the next repeat has been taken already.
        self._has_repeat = False
        self._trace = RequestTrace(request.id)
        exchange.on_gone = self._on_gone
        left_s = max(0.0, waiting.deadline - now() - _RETURN_S)
        self._deadline = context.timers.after(left_s, self._on_deadline)

    @property
    def id(self) -> str:
        """Id under which the request waits; unique in this process."""
        return self.waiting.id

    def begin(self) -> None:
        """Look for a place."""
        self._take(self.pool.admission.submit(self.waiting, now()))

    def decided(self, decision: Decision) -> None:
        """Take the decision about the request after it has waited."""
        self._take(decision)

    def _take(self, decision: Decision | None) -> None:
        if decision is None:
            self._pools.watch_waiting()
        elif isinstance(decision, Placed):
            if self._exchange.is_gone():
                self.context.loads.record_end(decision.target.id, self.id)
                self.pool.admission.refund(self.waiting, now())
                self._finish("caller_left")
            else:
                self._send(decision)
        else:
            self._refuse(decision)

    def _refuse(self, refused: Refused) -> None:
        if self._failed_answer is not None:
            self._answer_with(self._failed_answer, "passed_on")
            return
        reason = failure("no_server", refused.reason, refused.retry_after_s)
        if self._relay.may_have_run:
            reason = self._relay.final_failure(refused.reason, refused.retry_after_s)
        self._fail(reason)

    def _send(self, placed: Placed) -> None:
        target = placed.target
        self._relay.on_send_started(target.id)
        self.pool.health.record_call_start(target.id)
        self._trace.note_placed(placed, now())
        left_s = self._relay.deadline - now()
        send = Send(target, left_s, self.waiting.organisation, self._frames.last_id)
        caller = self._exchange.request
        request = HttpRequest(
            caller.method,
            caller.target,
            self.context.dialect.headers_for_target(caller, send),
            caller.body,
            reuse=True,
            may_send=lambda: self._may_send(target),
            accepts_response=lambda status, headers: self.context.dialect.is_answer_to(
                self._request.id, status, headers
            ),
        )
        self._began = False
        self._frames.begin_attempt()
        attempt = self._attempt = Attempt(self, self.context.dialect, target)
        attempt.exchange = self.context.client.send(target.address, request, attempt)
        self._watch_silence()

    def _may_send(self, target: Target) -> bool:
        """Whether the target is still the one that was chosen; asked just before the send."""
        listed = self.context.targets.by_id.get(target.id)
        return (
            listed is not None
            and not listed.is_leaving
            and listed.address == target.address
            and listed.started_ms == target.started_ms
            and now() < self._relay.deadline
            and not self._exchange.is_gone()
        )

    def on_attempt_head(self, head: AnswerHead) -> None:
        """See :class:`AttemptOwner`."""
        self._trace.note_heard(now())
        if head.is_event_stream and head.status == 200:
            if not isinstance(self._answer, StreamedAnswer):
                self._answer = StreamedAnswer(self._exchange, head, self._attempt)
            else:
                self._answer.attempt = self._attempt
        else:
            self._note_began()
            self._answer = CollectedAnswer(head)

    def on_attempt_data(self, data: bytes) -> None:
        """See :class:`AttemptOwner`."""
        self._trace.note_heard(now())
        if isinstance(self._answer, CollectedAnswer):
            self._answer.body += data
            if len(self._answer.body) > _MOST_ANSWER_BYTES:
                self._drop_attempt(SendEnd.BROKEN, f"answer over {_MOST_ANSWER_BYTES} bytes")
            return
        events = self._frames.feed(data)
        if events and isinstance(self._answer, StreamedAnswer):
            if not self._began:
                self._note_began()
            self._relay.head_relayed = True
            self._answer.write(events, self.context.timers)
        if self._frames.error:
            self._drop_attempt(SendEnd.BROKEN, self._frames.error)

    def on_attempt_end(self) -> None:
        """See :class:`AttemptOwner`."""
        answer = self._answer
        if isinstance(answer, CollectedAnswer):
            if self._relay.head_relayed:
                self.on_attempt_failed(SendEnd.FAILED, f"status {answer.head.status}")
            elif answer.head.status >= 500 and self._relay.route.is_repeatable:
                self._failed_answer = answer
                self.on_attempt_failed(SendEnd.FAILED, f"status {answer.head.status}")
            else:
                self._end_attempt(answer.head.status >= 500)
                self._answer_with(answer, "answered")
        elif not self._frames.is_between_events or not self._relay.head_relayed:
            self.on_attempt_failed(SendEnd.BROKEN, "the stream ended in the middle of an event")
        else:
            assert answer is not None
            self._end_attempt(False)
            answer.finish()
            self._finish("answered")

    def on_attempt_failed(self, end: SendEnd, reason: str) -> None:
        """See :class:`AttemptOwner`."""
        attempt = self._attempt
        assert attempt is not None
        if end is not SendEnd.NOT_SENT:
            self._relay.on_bytes_sent()
        # Withheld sends, as for a caller that has left, say nothing about the target.
        is_withheld = end is SendEnd.NOT_SENT and not self._may_send(attempt.target)
        self._end_attempt(None if is_withheld or end is SendEnd.REFUSED else True)
        log_event(
            _LOGGER,
            "send_failed",
            request=self._request.id,
            target=attempt.target.id,
            end=end,
            reason=reason,
        )
        self.context.metrics.count("sends_failed", end=end, pool=self.pool.name)
        if end in (SendEnd.NOT_SENT, SendEnd.REFUSED):
            self.pool.admission.refund(self.waiting, now())
        if is_withheld and self._exchange.is_gone():
            self._finish("caller_left")
            return
        self.waiting.excluded_target_ids.add(attempt.target.id)
        if self._relay.may_retry(end, now()) and self._has_budget():
            self._take(self.pool.admission.resubmit(self.waiting, now()))
        elif self._failed_answer is not None and not self._relay.head_relayed:
            self._answer_with(self._failed_answer, "passed_on")
        else:
            text = f"the send to {attempt.target.id} ended {end}"
            self._fail(self._relay.final_failure(text, self.pool.admission.retry_after_s()))

    def _has_budget(self) -> bool:
        """Whether a repeat may be sent; a request that has reached no target needs no budget."""
        if self._relay.sent_count == 0 or self._has_repeat:
            self._has_repeat = False
            return True
        return self._take_budget()

    def _take_budget(self) -> bool:
        return self.pool.budget.take(self.context.routers(), now())

    def _note_began(self) -> None:
        """Note the first sign of an answer: the target has read the request."""
        if self._began or self._attempt is None:
            return
        self._began = True
        self._trace.note_first(now())
        self.context.loads.record_first_event(self._attempt.target.id, self.id, now())
        waited_s = now() - self.waiting.arrived_at
        self.context.metrics.observe("first_byte", self.pool.name, waited_s)
        self._pools.watch_waiting()

    def _end_attempt(self, failed: bool | None) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        if self._silence is not None:
            self._silence.cancel()
        if self._relay.sent_count <= 1 and attempt.is_sent:
            self.pool.budget.on_request(now())
        self.context.loads.record_end(attempt.target.id, self.id)
        self._pools.note_end(self.pool, attempt.target, failed)
        self._pools.watch_waiting()

    def _drop_attempt(self, end: SendEnd, reason: str) -> None:
        """Give the attempt up and go on as after its failure."""
        assert self._attempt is not None
        self._attempt.cancel()
        self.on_attempt_failed(end, reason)

    def _watch_silence(self) -> None:
        if not self._relay.route.is_repeatable:
            return
        limit_s = _SILENCE_LATENCIES * self._relay.route.target_latency_s
        limit_s = min(_MOST_SILENCE_S, max(_LEAST_SILENCE_S, limit_s))
        if self._relay.route.kind is RouteKind.STREAM:
            limit_s = _MOST_SILENCE_S
        left_s = self._trace.heard_at + limit_s - now()
        if left_s > 0:
            self._silence = self.context.timers.after(left_s, self._watch_silence_of_current)
            return
        repeats_left = self._relay.sent_count + 1 < self._relay.route.max_attempts
        if not repeats_left or self._attempt is None:
            return
        # Without budget for a repeat, the silent target is still the best hope for an answer.
        if self._attempt.is_sent and not self._take_budget():
            self._silence = self.context.timers.after(_BUDGET_S, self._watch_silence_of_current)
            return
        self._has_repeat = self._attempt.is_sent
        self._drop_attempt(SendEnd.SILENT, f"nothing came for {limit_s:g} s")

    def _watch_silence_of_current(self) -> None:
        if self._attempt is not None and not self._is_over:
            self._watch_silence()

    def _on_deadline(self) -> None:
        if self._is_over:
            return
        in_flight = self._attempt is not None and self._attempt.is_sent
        if self._attempt is not None:
            self._attempt.cancel()
            self._end_attempt(None)
        if self._failed_answer is not None and not self._relay.head_relayed:
            self._answer_with(self._failed_answer, "passed_on")
            return
        retry_after_s = self.pool.admission.retry_after_s()
        self._fail(self._relay.deadline_failure(in_flight, retry_after_s))

    def _on_gone(self) -> None:
        if self._is_over:
            return
        if self._attempt is not None:
            self._attempt.cancel()
            self._end_attempt(None)
        self._finish("caller_left")

    def _answer_with(self, answer: CollectedAnswer, outcome: str) -> None:
        self._exchange.respond(answer.head.status, bytes(answer.body), answer.head.headers)
        self._finish(outcome)

    def _fail(self, reason: Failure) -> None:
        if self._relay.head_relayed:
            self._exchange.abort()
        else:
            self.context.dialect.refuse(self._exchange, reason)
        self.context.metrics.count("failed", code=reason.kind.code, pool=self.pool.name)
        self._finish(reason.kind.code, reason.message)

    def _finish(self, outcome: str, reason: str | None = None) -> None:
        self._is_over = True
        self._deadline.cancel()
        self.pool.admission.withdraw(self.id)
        self._trace.log(self._relay, self.waiting, self.pool.name, outcome, reason, now())
        self._on_done(self)
