"""Course of one caller's request: admission, attempts at targets, response to the caller."""

import math
from collections.abc import Callable

from parsleyrudder import (
    Decision,
    EventFilter,
    Failure,
    Placed,
    Refused,
    RelayedRequest,
    Route,
    SendEnd,
    Target,
    TargetSignals,
    WaitingRequest,
    failure,
)
from parsleyrudder_adapters.http_client import HttpRequest
from parsleyrudder_adapters.http_server import CallerExchange
from parsleyrudder_adapters.timers import Timer

from .attempt import Attempt
from .context import RelayContext, now
from .dialect import AttemptInfo, DecodedRequest, ResponseHead
from .pools import Pool, Pools
from .response import BufferedResponse, StreamedResponse
from .retry_claim import RetryClaim
from .sends import SendResult, Sends
from .silence import RESUMPTION_WAIT_S, silence_limit_s
from .trace import RequestTrace

__all__ = ["RelayCall"]

# Interval at which a request at a silent target looks for another one.
_SILENCE_CHECK_INTERVAL_S = 0.2
# A response that is not a stream is buffered in memory before it is relayed.
_MAX_RESPONSE_BYTES = 8 << 20
# A connection that has been idle for longer may have gone silent, and a request that may run only
# once can't be sent to another target to find out.
_MAX_IDLE_IF_RUN_ONCE_S = 2.0
# Time before the deadline that is reserved for sending the response to the caller.
_RESPONSE_MARGIN_S = 0.02


class RelayCall:
    """Relays one request.

    :param on_done: called once, when the caller has been sent a response or has left.
    """

    def __init__(
        self,
        context: RelayContext,
        pools: Pools,
        pool: Pool,
        exchange: CallerExchange,
        request: DecodedRequest,
        route: Route,
        waiting_request: WaitingRequest,
        on_done: Callable[["RelayCall"], None],
    ) -> None:
        self.context = context
        self.pool = pool
        self.waiting_request = waiting_request
        self._pools = pools
        self._exchange = exchange
        self._request = request
        self._on_done = on_done
        self._relayed_request = RelayedRequest(waiting_request.id, route, waiting_request.deadline)
        self._event_filter = EventFilter(request.last_event_id)
        self._attempt: Attempt | None = None
        # The stream that the caller gets; kept while another target responds with no stream.
        self._stream: StreamedResponse | None = None
        # Response of the current attempt, if it is not a stream.
        self._buffered: BufferedResponse | None = None
        self._failed_response: BufferedResponse | None = None
        self._silence_timer: Timer | None = None
        self._sends = Sends(waiting_request, pool.send_listeners)
        self._is_finished = False
        self._retry_claim = RetryClaim(
            lambda: pool.retry_budget.take(context.router_count(), now())
        )
        self._trace = RequestTrace(request.id, request.resumes)
        exchange.on_gone = self._on_caller_left
        remaining_s = max(0.0, waiting_request.deadline - now() - _RESPONSE_MARGIN_S)
        self._deadline_timer = context.timers.after(remaining_s, self._on_deadline)

    @property
    def id(self) -> str:
        """Id of the request in admission; unique in this process."""
        return self.waiting_request.id

    def begin(self) -> None:
        """Submit the request for admission."""
        self.on_decision(self.pool.admission.submit(self.waiting_request, now()))

    def stop(self) -> None:
        """End the request, as the time in which this router has to stop is over."""
        self._fail(self._relayed_request.stop_failure(in_flight=self._cancel_attempt()))

    def on_decision(self, decision: Decision | None) -> None:
        """Handle a decision about the request; None if it is queued."""
        if decision is None:
            self._pools.ensure_polling()
        elif isinstance(decision, Placed):
            if self._exchange.is_gone():
                self._sends.withdraw(decision.target, now())
                self._finish("caller_left")
            else:
                self._send(decision)
        else:
            self._refuse(decision)

    def _refuse(self, refused: Refused) -> None:
        self._trace.refused = refused
        reason = failure(refused.code, refused.reason, refused.retry_after_s)
        if self._relayed_request.may_have_run:
            reason = self._relayed_request.final_failure(refused.reason, refused.retry_after_s)
        self._fail(reason)

    def _send(self, placed: Placed) -> None:
        target = placed.target
        may_reuse_connection = self._relayed_request.may_reuse_connection(target.address)
        self._relayed_request.on_send_started(target.id, target.address)
        self._sends.begin(target, now())
        self._trace.record_placed(placed, now())
        remaining_s = self._relayed_request.deadline - now()
        attempt_info = AttemptInfo(
            target, remaining_s, self.waiting_request.organisation, self._event_filter.last_id
        )
        caller, route = self._exchange.request, self._relayed_request.route
        request = HttpRequest(
            caller.method,
            caller.target,
            self.context.dialect.headers_for_target(caller, attempt_info),
            caller.body,
            reuse=may_reuse_connection,
            max_idle_s=math.inf if route.is_idempotent else _MAX_IDLE_IF_RUN_ONCE_S,
            may_send=lambda: self._may_send(target),
            match_response=lambda headers: self.context.dialect.match_response(
                self._request.id, headers
            ),
        )
        self._event_filter.begin_attempt()
        self._buffered = None
        attempt = self._attempt = Attempt(self, self.context.dialect, target)
        attempt.exchange = self.context.client.send(target.address, request, attempt)
        self._check_silence()

    def _may_send(self, target: Target) -> bool:
        """Whether the request may still be sent to a target; checked just before it is sent.

        The target must be unchanged and still want the request, the caller still waiting before its
        deadline, and the request not quarantined meanwhile.
        """
        current = self.context.targets.by_id.get(target.id)
        crash_suspects = self.context.crash_suspects
        return (
            current is not None
            and not current.is_leaving
            and current.address == target.address
            and current.started_ms == target.started_ms
            and self.pool.admission.availability.may_send(target, self.waiting_request, now())
            and now() < self._relayed_request.deadline
            and not self._exchange.is_gone()
            and (
                self.waiting_request.is_trial
                or crash_suspects.quarantine(self.waiting_request.suspects, now()) is None
            )
        )

    def on_signals(self, signals: TargetSignals) -> None:
        """See :class:`AttemptOwner`."""
        self._sends.signals_received(signals, now())

    def on_attempt_head(self, head: ResponseHead) -> None:
        """See :class:`AttemptOwner`."""
        self._trace.record_activity(now())
        if not head.is_event_stream or head.status != 200:
            self._record_response_start()
            self._buffered = BufferedResponse(head)
        elif self._stream is None:
            self._stream = StreamedResponse(self._exchange, head, self._attempt)
        else:
            self._stream.go_on_from(head, self._attempt)

    def on_attempt_data(self, data: bytes) -> None:
        """See :class:`AttemptOwner`."""
        if self._buffered is not None:
            self._trace.record_activity(now())
            self._buffered.body += data
            if len(self._buffered.body) > _MAX_RESPONSE_BYTES:
                reason = f"response exceeds {_MAX_RESPONSE_BYTES} bytes"
                self._abandon_attempt(SendEnd.BROKEN, reason)
            return
        event_count = self._event_filter.event_count
        events = self._event_filter.feed(data)
        if self._event_filter.event_count > event_count:
            self._trace.record_activity(now())
        if events and self._stream is not None:
            self._record_first_event()
            self._stream.write(events, self.context.timers)
        if self._event_filter.error:
            self._abandon_attempt(SendEnd.BROKEN, self._event_filter.error)

    def on_attempt_end(self) -> None:
        """See :class:`AttemptOwner`."""
        response, relayed_request = self._buffered, self._relayed_request
        if response is not None:
            self._sends.answered(now())
            if relayed_request.head_relayed or response.is_misleading(relayed_request.route):
                self.on_attempt_failed(SendEnd.FAILED, f"status {response.head.status}")
            elif response.head.status >= 500 and relayed_request.route.is_idempotent:
                self._failed_response = response
                self.on_attempt_failed(SendEnd.FAILED, f"status {response.head.status}")
            else:
                self._end_attempt(None, is_failure=response.head.status >= 500)
                self._send_response(response, "answered")
        elif not self._event_filter.is_between_events or not relayed_request.head_relayed:
            self.on_attempt_failed(SendEnd.BROKEN, "the stream ended in the middle of an event")
        elif not self._shows_end():
            self.on_attempt_failed(SendEnd.BROKEN, "the stream ended without an event")
        else:
            assert self._stream is not None
            self._end_attempt(None, is_failure=False)
            self._stream.finish()
            self._finish("answered")

    def _shows_end(self) -> bool:
        """Whether a target that has closed a stream has shown that nothing more follows.

        One that goes on with a stream may have nothing left to send, but if it closes the
        connection after the head, it may as well have broken off.
        """
        attempt, send = self._attempt, self._sends.current
        assert attempt is not None
        assert attempt.head is not None
        return attempt.head.is_delimited or (send is not None and send.has_answered)

    def on_attempt_failed(self, end: SendEnd, reason: str) -> None:
        """See :class:`AttemptOwner`."""
        attempt, send = self._attempt, self._sends.current
        assert attempt is not None
        assert send is not None
        if end is not SendEnd.NOT_SENT:
            self._relayed_request.on_bytes_sent()
        # A send that was withheld, such as after the caller left, says nothing about the target.
        is_withheld = end is SendEnd.NOT_SENT and not self._may_send(attempt.target)
        is_failure = None if is_withheld or end is SendEnd.REFUSED else True
        self._end_attempt(end, is_failure)
        self._trace.log_failed_send(send, end, self._relayed_request.sent_count, reason)
        if is_withheld and self._exchange.is_gone():
            self._finish("caller_left")
            return
        self.waiting_request.excluded_target_ids.add(attempt.target.id)
        self._expect_next_event()
        if self._may_retry(end) and self._retry_claim.claim(self._relayed_request.sent_count):
            self.on_decision(self.pool.admission.resubmit(self.waiting_request, now()))
        else:
            text = f"the send to {attempt.target.id} ended {end}"
            retry_after_s = self.pool.admission.retry_after_s(now())
            self._fail(self._relayed_request.final_failure(text, retry_after_s))

    def _expect_next_event(self) -> None:
        """Set the times for the next event, if the caller has a part of the stream."""
        request, waiting = self._relayed_request, self.waiting_request
        if request.head_relayed or waiting.resumes_stream:
            waiting.response_due_at = now() + request.route.target_event_interval_s
            waiting.resume_by = now() + RESUMPTION_WAIT_S
        waiting.was_admitted |= request.head_relayed

    def _may_retry(self, end: SendEnd) -> bool:
        """Whether the request may be sent to another target after a failed send.

        A request on which a target crashed before, and that has broken off again, is not sent on:
        it may crash the next target too.
        """
        if not self._relayed_request.may_retry(end, now()):
            return False
        suspects = self.waiting_request.suspects
        return end is not SendEnd.BROKEN or not self.context.crash_suspects.has_crashed(suspects)

    def _record_response_start(self) -> None:
        """Record the start of the response, which shows that the prefill is complete."""
        send = self._sends.current
        if send is not None and self._sends.response_started(now()):
            self._trace.record_response_start(send.target.version, now())
            self._pools.ensure_polling()

    def _record_first_event(self) -> None:
        """Record the first event of an attempt; from then on its version is required."""
        send = self._sends.current
        if send is None or send.has_answered:
            return
        self._record_response_start()
        self._sends.answered(now())
        self._relayed_request.head_relayed = True
        self.waiting_request.required_version = send.target.version

    def _end_attempt(self, end: SendEnd | None, is_failure: bool | None) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        is_first = self._relayed_request.sent_count <= 1 and attempt.is_sent
        self._sends.end(SendResult(end, is_failure, is_first), now())
        self._pools.ensure_polling()

    def _abandon_attempt(self, end: SendEnd, reason: str) -> None:
        """Cancel the attempt and handle it as failed."""
        assert self._attempt is not None
        self._attempt.cancel()
        self.on_attempt_failed(end, reason)

    def _check_silence(self) -> None:
        request = self._relayed_request
        if not request.route.is_idempotent:
            return
        limit_s = silence_limit_s(request.route)
        remaining_s = self._trace.last_activity_at + limit_s - now()
        if remaining_s > 0:
            self._silence_timer = self.context.timers.after(remaining_s, self._on_silence_timer)
            return
        if self._attempt is None or request.sent_count + 1 >= request.route.max_attempts:
            return
        if not self._claim_other_target(self._attempt):
            self._silence_timer = self.context.timers.after(
                _SILENCE_CHECK_INTERVAL_S, self._on_silence_timer
            )
            return
        self._abandon_attempt(SendEnd.SILENT, f"no event or data received for {limit_s:g} s")

    def _claim_other_target(self, silent: Attempt) -> bool:
        """Whether another target takes the request now, and the budget allows the retry.

        Otherwise the silent target is kept, as only that one can still respond.
        """
        excluded = self.waiting_request.excluded_target_ids
        excluded.add(silent.target.id)
        self._expect_next_event()
        if not self.pool.admission.has_place(self.waiting_request, now()):
            excluded.discard(silent.target.id)
            return False
        return not silent.is_sent or self._retry_claim.reserve()

    def _on_silence_timer(self) -> None:
        if self._attempt is not None and not self._is_finished:
            self._check_silence()

    def _on_deadline(self) -> None:
        if self._is_finished:
            return
        retry_after_s = self.pool.admission.retry_after_s(now())
        self._fail(self._relayed_request.deadline_failure(self._cancel_attempt(), retry_after_s))

    def _on_caller_left(self) -> None:
        if not self._is_finished:
            self._cancel_attempt()
            self._finish("caller_left")

    def _cancel_attempt(self) -> bool:
        """Cancel the attempt in progress; return whether a target may be running the request."""
        attempt = self._attempt
        if attempt is None:
            return False
        attempt.cancel()
        self._end_attempt(None, is_failure=None)
        return attempt.is_sent

    def _send_response(self, response: BufferedResponse, outcome: str) -> None:
        self._exchange.respond(response.head.status, bytes(response.body), response.head.headers)
        self._finish(outcome)

    def _fail(self, reason: Failure) -> None:
        """End without an answer; the response of a target that failed is preferred to the reason.

        A stream that has begun is aborted.
        """
        if self._relayed_request.head_relayed:
            self._exchange.abort()
        elif self._failed_response is not None:
            self._send_response(self._failed_response, "passed_on")
            return
        else:
            self.context.dialect.refuse(self._exchange, reason)
        self.context.metrics.count("failed", code=reason.kind.code, pool=self.pool.name)
        self._finish(reason.kind.code, reason.message)

    def _finish(self, outcome: str, reason: str | None = None) -> None:
        self._is_finished = True
        self._deadline_timer.cancel()
        self.pool.admission.withdraw(self.id)
        self.context.metrics.count("finished", outcome=outcome, pool=self.pool.name)
        self._trace.log(
            self._relayed_request, self.waiting_request, self.pool.name, outcome, reason, now()
        )
        self._on_done(self)
