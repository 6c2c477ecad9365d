"""Calls of model engines: chat completions, relayed as server-sent events or collected."""

import msgspec
from parsleyrudder import AttemptEnd, Call, ServerInfo, WaitingCall
from parsleyrudder_adapters.front import CallerExchange
from parsleyrudder_adapters.http_client import HttpRequest

from .call_task import Attempt, CallTask
from .context import Context
from .pool_task import PoolTask

__all__ = ["ChatRequest", "EngineCall", "prompt_of"]

_DONE = b"data: [DONE]"
_PAUSE_BYTES = 256 * 1024
_RESUME_CHECK_S = 0.05
_CHARS_PER_TOKEN = 4


class _ChatMessage(msgspec.Struct):
    role: str
    content: str | list = ""


class ChatRequest(msgspec.Struct):
    """The fields of a chat completion request that routing needs; others pass through."""

    model: str
    messages: list[_ChatMessage]
    stream: bool = False
    max_tokens: int | None = None


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    id: str = ""
    choices: list[_Choice] = []


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
        document = msgspec.json.decode(body)
        document["stream"] = True
        self._body = msgspec.json.encode(document)

    def new_attempt(self, number: int, server: ServerInfo) -> "Attempt":
        """Return the listener of an attempt."""
        return _StreamAttempt(self, number, server)

    def server_request(self, number: int) -> HttpRequest:
        """Return the request of an attempt."""
        headers = [
            ("Content-Type", "application/json"),
            ("X-Request-Id", self.call.id),
            ("X-Attempt", str(number)),
        ]
        if self.call.relayed:
            headers.append(("X-Resume-From", str(self.call.relayed)))
        return HttpRequest("POST", "/v1/chat/completions", headers, self._body, reuse=True)

    def on_events(self, events: bytes, tokens: int) -> None:
        """Relay whole server-sent events that hold some tokens."""
        now = self.context.now()
        if tokens:
            self._observe_tokens(now)
            self.generated += tokens
            self.call.relayed += tokens
        if not self.chat.stream:
            return
        if not self.call.head_relayed:
            self.call.head_relayed = True
            self.exchange.start_stream(200, [("Content-Type", "text/event-stream")])
        self.exchange.write(events)

    def accrue(self, now: float) -> None:
        """Charge prompt and generated tokens."""
        if self.generated:
            cost = self.pool.costs.tokens(self.prompt_tokens, self.generated)
            self.pool.scheduler.charge(self.waiting, cost)

    def complete(self) -> None:
        """Give the caller the end of the answer."""
        if self.chat.stream:
            if not self.call.head_relayed:
                self.exchange.start_stream(200, [("Content-Type", "text/event-stream")])
            self.exchange.write(_DONE + b"\n\n")
            self.exchange.finish_stream()
        else:
            self.exchange.answer_json(200, self._completion())
        self.succeed()

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
    """Splits the engine's answer into whole events and counts tokens."""

    task: EngineCall

    def __init__(self, task: EngineCall, number: int, server: ServerInfo) -> None:
        super().__init__(task, number, server)
        self._buffer = b""
        self._done = False
        self._paused = False

    def on_data(self, data: bytes) -> None:
        """Relay the whole events received so far."""
        if not self.is_current or self.status != 200:
            return
        data = self._buffer + data
        end = data.rfind(b"\n\n") + 2
        if end < 2:
            self._buffer = data
            return
        events, self._buffer = data[:end], data[end:]
        done_at = events.rfind(_DONE)
        if done_at >= 0:
            self._done = True
            events = events[:done_at]
        if events:
            self.task.on_events(events, self._count_tokens(events))
            self._bound_buffer()

    def on_end(self) -> None:
        """Complete the call, or treat a stream without its end mark as broken."""
        if not self.is_current:
            return
        if self.status == 200 and self._done:
            self.task.complete()
        elif self.said_not_run():
            self.task.attempt_failed(AttemptEnd.REFUSED, "server refused")
        elif self.status == 200:
            self.task.attempt_failed(AttemptEnd.BROKEN, "stream ended without its end mark")
        else:
            self.task.attempt_failed(AttemptEnd.FAILED, f"status {self.status}")

    def _count_tokens(self, events: bytes) -> int:
        tokens = 0
        for event in events.split(b"\n\n"):
            if not event.startswith(b"data: "):
                continue
            try:
                chunk = msgspec.json.decode(event[6:], type=_Chunk)
            except msgspec.DecodeError:
                continue
            for choice in chunk.choices:
                if choice.finish_reason:
                    self.task.finish_reason = choice.finish_reason
                if choice.delta.content:
                    tokens += 1
                    if not self.task.chat.stream:
                        self.task.text.append(choice.delta.content)
        return tokens

    def _bound_buffer(self) -> None:
        """Pause the engine's stream while the caller reads too slowly."""
        if self._paused or self.task.exchange.buffered_bytes() < _PAUSE_BYTES:
            return
        self._paused = True
        if self.exchange is not None:
            self.exchange.pause()
        self._check_resume(self.task.context.now())

    def _check_resume(self, paused_at: float) -> None:
        if not self.is_current or self.exchange is None:
            return
        if self.task.exchange.buffered_bytes() < _PAUSE_BYTES // 2:
            self._paused = False
            self.exchange.resume()
            return
        stalled_s = self.task.context.now() - paused_at
        if stalled_s >= self.task.context.settings.router.write_stall_s:
            self.task.exchange.abort()
            self.task._on_caller_gone()
            return
        timers = self.task.context.timers
        timers.after(_RESUME_CHECK_S, lambda: self._check_resume(paused_at))
