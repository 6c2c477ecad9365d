"""Engine adapter: chat completions as server-sent events, load and orders over HTTP."""

from collections.abc import Callable
from typing import TypeVar

import msgspec
from parsleyrudder import (
    AttemptEnd,
    BackendError,
    EngineListener,
    EngineLoad,
    EngineRequest,
    EngineState,
    Order,
)

from .http_client import Exchange, HttpClient, HttpRequest
from .whole_answer import WholeAnswer, attempt_end, is_not_run

__all__ = ["HttpEngines"]

_T = TypeVar("_T", EngineLoad, EngineState)
_DONE = b"data: [DONE]"
_JSON = ("Content-Type", "application/json")
_REMEDY = "check the engine and its address in the settings"
_OLD_FENCE = 409
_ORDER_TIMEOUT_S = 30.0
_READ_TIMEOUT_S = 2.0
# An engine that sends no end of event in so many bytes does not speak the protocol.
_LONGEST_EVENT_BYTES = 1 << 20


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []


_decode_chunk = msgspec.json.Decoder(_Chunk).decode


class HttpEngines:
    """Model engines over the event loop's HTTP client; see :class:`parsleyrudder.EngineAccess`."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def complete(self, address: str, request: EngineRequest, listener: EngineListener) -> Exchange:
        """Run a chat completion."""
        headers = [_JSON, ("X-Request-Id", request.id), ("X-Attempt", str(request.attempt))]
        if request.resume_from:
            headers.append(("X-Resume-From", str(request.resume_from)))
        message = HttpRequest("POST", "/v1/chat/completions", headers, request.body, reuse=True)
        stream = _Stream(listener)
        stream.exchange = self._client.send(address, message, stream)
        return stream.exchange

    def load(self, address: str, done: Callable[[EngineLoad | BackendError], None]) -> None:
        """Read the load of an engine."""
        self._read(address, "/load", EngineLoad, done)

    def state(self, address: str, done: Callable[[EngineState | BackendError], None]) -> None:
        """Read what an engine holds and loads."""
        self._read(address, "/models", EngineState, done)

    def _read(
        self,
        address: str,
        path: str,
        kind: type[_T],
        done: Callable[[_T | BackendError], None],
    ) -> None:
        what = f"{path[1:]} of {address}"

        def on_answer(status: int, headers: dict[str, str], body: bytes) -> None:
            if status != 200:
                done(BackendError(f"{what}: status {status}", _REMEDY))
                return
            try:
                document = msgspec.json.decode(body, type=kind)
            except msgspec.MsgspecError as error:
                done(BackendError(f"{what}: {error}", _REMEDY))
                return
            done(document)

        listener = WholeAnswer(on_answer, _failure(what, done))
        request = HttpRequest("GET", path, reuse=True)
        listener.exchange = self._client.send(address, request, listener, _READ_TIMEOUT_S)

    def order(
        self, address: str, order: Order, done: Callable[[bool | BackendError], None]
    ) -> None:
        """Give an order; the result tells whether it was taken, or refused for its fence."""

        def on_answer(status: int, headers: dict[str, str], body: bytes) -> None:
            if status in (200, _OLD_FENCE):
                done(status == 200)
            else:
                done(BackendError(f"order to {address}: status {status}", _REMEDY))

        body = msgspec.json.encode({"fence": order.fence, "wanted": order.wanted})
        listener = WholeAnswer(on_answer, _failure(f"order to {address}", done))
        request = HttpRequest("POST", "/orders", [_JSON], body)
        listener.exchange = self._client.send(address, request, listener, _ORDER_TIMEOUT_S)


class _Stream:
    """Splits an engine's answer into whole events and finds the tokens in them."""

    __slots__ = (
        "_buffer",
        "_done",
        "_finish_reason",
        "_headers",
        "_listener",
        "_status",
        "exchange",
    )

    def __init__(self, listener: EngineListener) -> None:
        self._listener = listener
        self._buffer = b""
        self._status = 0
        self._headers: dict[str, str] = {}
        self._done = False
        self._finish_reason = "stop"
        self.exchange: Exchange | None = None

    def on_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        self._status, self._headers = status, dict(headers)

    def on_data(self, data: bytes) -> None:
        if self._status != 200 or self._done:
            return
        if self._buffer:
            data = self._buffer + data
        end = data.rfind(b"\n\n") + 2
        if end < 2:
            self._buffer = data
            if len(data) > _LONGEST_EVENT_BYTES:
                self._break("an event is too long")
            return
        events, self._buffer = data[:end], data[end:]
        # The mark counts only at the start of an event; a token may hold the same text.
        done_at = 0 if events.startswith(_DONE) else events.find(b"\n\n" + _DONE)
        if done_at >= 0:
            self._done = True
            events = events[: done_at + 2] if done_at else b""
        if events:
            tokens = self._tokens(events)
            if tokens is not None:
                self._listener.on_events(events, tokens)

    def on_end(self) -> None:
        if self._status == 200 and self._done:
            self._listener.on_done(self._finish_reason)
        elif is_not_run(self._status, self._headers):
            self._listener.on_failed(AttemptEnd.REFUSED, "server refused")
        elif self._status == 200:
            self._listener.on_failed(AttemptEnd.BROKEN, "stream ended without its end mark")
        else:
            self._listener.on_failed(AttemptEnd.FAILED, f"status {self._status}")

    def on_failed(self, sent: bool, reason: str) -> None:
        self._listener.on_failed(attempt_end(sent), reason)

    def _tokens(self, events: bytes) -> list[str] | None:
        """Return the tokens in some events; None if one is no event of the protocol."""
        tokens = []
        for event in events[:-2].split(b"\n\n"):
            if not event.startswith(b"data:"):
                continue  # A comment or another field, which may be passed on.
            try:
                chunk = _decode_chunk(event[5:])
            except msgspec.MsgspecError as error:
                self._break(f"bad event: {error}")
                return None
            for choice in chunk.choices:
                if choice.finish_reason:
                    self._finish_reason = choice.finish_reason
                if choice.delta.content:
                    tokens.append(choice.delta.content)
        return tokens

    def _break(self, reason: str) -> None:
        if self.exchange is not None:
            self.exchange.cancel()
        self._listener.on_failed(AttemptEnd.BROKEN, reason)


def _failure(what: str, done: Callable[..., None]) -> Callable[[AttemptEnd, str], None]:
    return lambda end, reason: done(BackendError(f"{what}: {reason}", _REMEDY))
