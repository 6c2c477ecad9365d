"""Calls to model engines: chat completions, relayed as server-sent events or as one document."""

import msgspec
from parsleyrudder import (
    AttemptEnd,
    AttemptHandle,
    Call,
    CompletionStream,
    EngineRequest,
    ServerInfo,
    StreamPart,
    WaitingCall,
)
from parsleyrudder_adapters.http_server import CallerExchange

from .attempt import Attempt
from .call_task import CallTask
from .context import Context
from .pool_task import PoolTask

__all__ = ["ChatRequest", "EngineCall", "prompt_text"]

_DONE_EVENT = b"data: [DONE]\n\n"
_EVENT_STREAM = "text/event-stream"
_MAX_ERROR_BODY_BYTES = 64 * 1024
_CHARS_PER_TOKEN = 4
_RETRYABLE_STATUSES = frozenset({408, 425, 429})


class _ChatMessage(msgspec.Struct):
    role: str
    content: str | list = ""


class ChatRequest(msgspec.Struct):
    """Fields of a chat completion request that the router reads; the others are only forwarded."""

    model: str
    messages: list[_ChatMessage]
    stream: bool = False
    max_tokens: int | None = None


def prompt_text(request: ChatRequest) -> str:
    """Return the text of a request's messages.

    >>> prompt_text(ChatRequest("m", [_ChatMessage("user", "hello")]))
    'user:hello'
    """
    return "\n".join(
        f"{message.role}:{message.content if isinstance(message.content, str) else ''}"
        for message in request.messages
    )


class EngineCall(CallTask):
    """Chat completion call.

    The engine is always asked for a stream, so that the cost can be charged as it accrues and an
    interrupted response can be resumed on another engine.

    :ivar texts: texts of the tokens, if the caller did not ask for a stream.
    """

    def __init__(
        self,
        context: Context,
        pool: PoolTask,
        exchange: CallerExchange,
        waiting: WaitingCall,
        call: Call,
        chat: ChatRequest,
        body: bytes,
    ) -> None:
        super().__init__(context, pool, exchange, waiting, call)
        self.chat = chat
        self.prompt_tokens = max(1, len(waiting.prompt) // _CHARS_PER_TOKEN)
        self.generated_tokens = 0
        self.texts: list[str] = []
        self.last_token_at = 0.0
        self.finish_reason = "stop"
        self._replay_body = bytearray()
        self._has_key = "idempotency-key" in exchange.request.headers
        document = msgspec.json.decode(body)
        document["stream"] = True
        self._body = msgspec.json.encode(document)

    def new_attempt(self, number: int, server: ServerInfo) -> Attempt:
        """See :class:`CallTask`."""
        return _StreamAttempt(self, number, server)

    def send(self, address: str, number: int, attempt: Attempt) -> AttemptHandle:
        """See :class:`CallTask`."""
        request = EngineRequest(
            self.call.id, number, self._body, self.call.relayed_tokens, may_send=self.may_send
        )
        return self.context.engines.complete(address, request, attempt)

    def on_part(self, part: StreamPart) -> None:
        """Relay new events to the caller, or collect their texts if it did not ask for a stream."""
        tokens = len(part.texts)
        if tokens:
            self._observe_tokens(self.context.now())
            self.generated_tokens += tokens
            self.call.relayed_tokens += tokens
        self.finish_reason = part.finish_reason or self.finish_reason
        if not self.chat.stream:
            self.texts += part.texts
        elif part.events:
            self._write(part.events)

    def accrue(self, now: float) -> None:
        """Charge the tokens of the prompt and those generated so far."""
        if self.generated_tokens:
            cost = self.pool.cost_model.tokens(self.prompt_tokens, self.generated_tokens)
            self.pool.scheduler.charge(self.waiting, cost)

    def complete(self) -> None:
        """Complete the response to the caller."""
        if self.chat.stream:
            self._write(_DONE_EVENT)
            self.exchange.finish_stream()
            fits = len(self._replay_body) <= self.context.keys.max_stored_body_bytes
            self.succeed(200, _EVENT_STREAM, bytes(self._replay_body) if fits else None)
        else:
            body = self._completion_body()
            self.exchange.respond_json(200, body)
            self.succeed(200, "application/json", body)

    def relay_error_response(self, status: int, content_type: str, body: bytes) -> None:
        """Relay the engine's 4xx response to an invalid request."""
        self.exchange.respond(status, body, [("Content-Type", content_type)])
        self.succeed(status, content_type, body)

    def _write(self, events: bytes) -> None:
        if not self.call.head_relayed:
            self.call.head_relayed = True
            self.exchange.start_stream(200, [("Content-Type", _EVENT_STREAM)])
        self.exchange.write(events)
        # Recording stops after the part that exceeds the limit, so that the length shows that the
        # response is too large to store.
        if self._has_key and len(self._replay_body) <= self.context.keys.max_stored_body_bytes:
            self._replay_body += events

    def _completion_body(self) -> bytes:
        message = {"role": "assistant", "content": "".join(self.texts)}
        usage = {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.generated_tokens,
            "total_tokens": self.prompt_tokens + self.generated_tokens,
        }
        choice = {"index": 0, "message": message, "finish_reason": self.finish_reason}
        return msgspec.json.encode(
            {
                "id": self.call.id,
                "object": "chat.completion",
                "model": self.chat.model,
                "choices": [choice],
                "usage": usage,
            }
        )

    def _observe_tokens(self, now: float) -> None:
        metrics, pool = self.context.metrics, self.pool.name
        if not self.last_token_at:
            metrics.observe("first_token", pool, now - self.received_at)
        else:
            metrics.observe("between_tokens", pool, now - self.last_token_at)
        self.last_token_at = now


class _StreamAttempt(Attempt):
    """Relays those of the engine's events that the caller has not received yet."""

    task: EngineCall

    def __init__(self, task: EngineCall, number: int, server: ServerInfo) -> None:
        super().__init__(task, number, server)
        self._stream = CompletionStream(task.call.id, task.call.relayed_tokens)
        self._error_body = bytearray()

    def receive_head(self) -> None:
        """See :class:`Attempt`."""
        self._stream.begin(self.headers.get("x-resumed-from"))
        self._check_stream_error()

    def receive(self, data: bytes) -> None:
        """See :class:`Attempt`."""
        if self.status != 200:
            if len(self._error_body) < _MAX_ERROR_BODY_BYTES:
                self._error_body += data
            return
        part = self._stream.feed(data)
        if part.events:
            self.task.on_part(part)
            self.apply_backpressure()
        self._check_stream_error()

    def receive_end(self) -> None:
        """Complete the call, or fail the attempt if the stream lacks its ``[DONE]`` event."""
        if self._stream.done:
            self.task.complete()
        elif self.status == 200:
            self.task.attempt_failed(AttemptEnd.BROKEN, "the stream ended without its [DONE] event")
        elif 400 <= self.status < 500 and self._is_final_error():
            content_type = self.headers.get("content-type", "application/json")
            self.task.relay_error_response(self.status, content_type, bytes(self._error_body))
        else:
            self.task.attempt_failed(AttemptEnd.FAILED, f"status {self.status}")

    def on_failed(self, sent: bool, reason: str) -> None:
        """Complete the call if the stream was complete before the connection failed."""
        if self._stream.done and self.is_current:
            self.task.complete()
        else:
            super().on_failed(sent, reason)

    def on_silent(self, reason: str) -> None:
        """Complete the call if the stream was complete before the server stopped sending."""
        if self._stream.done:
            self.cancel()
            self.task.complete()
        else:
            super().on_silent(reason)

    def _is_final_error(self) -> bool:
        """Whether other engines would respond likewise and the response can still be relayed."""
        return self.status not in _RETRYABLE_STATUSES and not self.task.call.head_relayed

    def _check_stream_error(self) -> None:
        if self._stream.error and self.is_current:
            self.task.attempt_failed(AttemptEnd.BROKEN, self._stream.error)
