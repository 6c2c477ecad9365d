"""Calls of model engines: chat completions, relayed as server-sent events or collected."""

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

__all__ = ["ChatRequest", "EngineCall", "prompt_of"]

_DONE = b"data: [DONE]\n\n"
_EVENTS = "text/event-stream"
_MOST_REFUSAL_BYTES = 64 * 1024
_CHARS_PER_TOKEN = 4
_RETRIED_STATUSES = frozenset({408, 425, 429})


class _ChatMessage(msgspec.Struct):
    role: str
    content: str | list = ""


class ChatRequest(msgspec.Struct):
    """The fields of a chat completion request that routing needs; others pass through."""

    model: str
    messages: list[_ChatMessage]
    stream: bool = False
    max_tokens: int | None = None


def prompt_of(request: ChatRequest) -> str:
    """Return the text of a request's messages.

    >>> prompt_of(ChatRequest("m", [_ChatMessage("user", "hello")]))
    'user:hello'
    """
    return "\n".join(
        f"{message.role}:{message.content if isinstance(message.content, str) else ''}"
        for message in request.messages
    )


class EngineCall(CallTask):
    """A chat completion. The engine always streams, so that cost accrues and streams resume."""

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
        self.generated = 0
        self.text: list[str] = []
        self.last_token_at = 0.0
        self.finish_reason = "stop"
        self._recorded = bytearray()
        self._keyed = "idempotency-key" in exchange.request.headers
        document = msgspec.json.decode(body)
        document["stream"] = True
        self._body = msgspec.json.encode(document)

    def new_attempt(self, number: int, server: ServerInfo) -> Attempt:
        """Return the listener of an attempt."""
        return _StreamAttempt(self, number, server)

    def send(self, address: str, number: int, attempt: Attempt) -> AttemptHandle:
        """Send the request of an attempt."""
        request = EngineRequest(
            self.call.id, number, self._body, self.call.relayed_tokens, may_send=self.may_send
        )
        return self.context.engines.complete(address, request, attempt)

    def on_part(self, part: StreamPart) -> None:
        """Relay whole server-sent events that hold some tokens."""
        tokens = len(part.texts)
        if tokens:
            self._observe_tokens(self.context.now())
            self.generated += tokens
            self.call.relayed_tokens += tokens
        self.finish_reason = part.finish_reason or self.finish_reason
        if not self.chat.stream:
            self.text += part.texts
        elif part.events:
            self._write(part.events)

    def accrue(self, now: float) -> None:
        """Charge prompt and generated tokens."""
        if self.generated:
            cost = self.pool.cost_model.tokens(self.prompt_tokens, self.generated)
            self.pool.scheduler.charge(self.waiting, cost)

    def complete(self) -> None:
        """Give the caller the end of the answer."""
        if self.chat.stream:
            self._write(_DONE)
            self.exchange.finish_stream()
            whole = len(self._recorded) <= self.context.keys.most_body_bytes
            self.succeed(200, _EVENTS, bytes(self._recorded) if whole else None)
        else:
            body = self._completion()
            self.exchange.respond_json(200, body)
            self.succeed(200, "application/json", body)

    def refuse_as_server(self, status: int, content_type: str, body: bytes) -> None:
        """Give the caller the engine's own refusal of a request that is wrong."""
        self.exchange.respond(status, body, [("Content-Type", content_type)])
        self.succeed(status, content_type, body)

    def _write(self, events: bytes) -> None:
        if not self.call.head_relayed:
            self.call.head_relayed = True
            self.exchange.start_stream(200, [("Content-Type", _EVENTS)])
        self.exchange.write(events)
        # One part over the limit is kept, so that the length shows that the answer is too large.
        if self._keyed and len(self._recorded) <= self.context.keys.most_body_bytes:
            self._recorded += events

    def _completion(self) -> bytes:
        message = {"role": "assistant", "content": "".join(self.text)}
        usage = {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.generated,
            "total_tokens": self.prompt_tokens + self.generated,
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
            metrics.observe("first_token", pool, now - self.begun_at)
        else:
            metrics.observe("between_tokens", pool, now - self.last_token_at)
        self.last_token_at = now


class _StreamAttempt(Attempt):
    """Relays the engine's events as far as the caller lacks them."""

    task: EngineCall

    def __init__(self, task: EngineCall, number: int, server: ServerInfo) -> None:
        super().__init__(task, number, server)
        self._stream = CompletionStream(task.call.id, task.call.relayed_tokens)
        self._refusal = bytearray()

    def receive_head(self) -> None:
        """See :class:`Attempt`."""
        self._stream.begin(self.headers.get("x-resumed-from"))
        self._check_fault()

    def receive(self, data: bytes) -> None:
        """See :class:`Attempt`."""
        if self.status != 200:
            if len(self._refusal) < _MOST_REFUSAL_BYTES:
                self._refusal += data
            return
        part = self._stream.feed(data)
        if part.events:
            self.task.on_part(part)
            self.bound_buffer()
        self._check_fault()

    def receive_end(self) -> None:
        """Complete the call, or treat a stream without its end mark as broken."""
        if self._stream.done:
            self.task.complete()
        elif self.status == 200:
            self.task.attempt_failed(AttemptEnd.BROKEN, "stream ended without its end mark")
        elif 400 <= self.status < 500 and self._is_final():
            kind = self.headers.get("content-type", "application/json")
            self.task.refuse_as_server(self.status, kind, bytes(self._refusal))
        else:
            self.task.attempt_failed(AttemptEnd.FAILED, f"status {self.status}")

    def on_failed(self, sent: bool, reason: str) -> None:
        """Complete the call if only the end of the connection is missing."""
        if self._stream.done and self.is_current:
            self.task.complete()
        else:
            super().on_failed(sent, reason)

    def on_silent(self, reason: str) -> None:
        """See :meth:`on_failed`."""
        if self._stream.done:
            self.cancel()
            self.task.complete()
        else:
            super().on_silent(reason)

    def _is_final(self) -> bool:
        """Whether another engine would refuse as well, and the caller can still be told so."""
        return self.status not in _RETRIED_STATUSES and not self.task.call.head_relayed

    def _check_fault(self) -> None:
        if self._stream.error and self.is_current:
            self.task.attempt_failed(AttemptEnd.BROKEN, self._stream.error)
