"""HTTP adapter for model engines: completions, load, cache events, state and orders."""

from collections.abc import Callable
from typing import TypeVar

import msgspec
from parsleyrudder import (
    BackendError,
    CacheEvents,
    DocumentDecoder,
    DocumentError,
    EngineLoad,
    EngineRequest,
    EngineState,
    Order,
    ResponseListener,
    decode_document,
)

from .http_client import Exchange, HttpClient, HttpRequest
from .http_messages import ONE_REQUEST_CONNECTION
from .response_collector import ResponseCollector

__all__ = ["HttpEngines"]

_T = TypeVar("_T", EngineLoad, EngineState, CacheEvents)
_JSON_CONTENT_TYPE = ("Content-Type", "application/json")
_REMEDY = "check the engine and its address in the settings"
_STALE_FENCE_STATUS = 409
_ORDER_TIMEOUT_S = 30.0
_READ_TIMEOUT_S = 2.0
_LOAD_DECODER = msgspec.json.Decoder(EngineLoad)
_STATE_DECODER = msgspec.json.Decoder(EngineState)
_CACHE_EVENTS_DECODER = msgspec.json.Decoder(CacheEvents)


class HttpEngines:
    """Access to model engines over HTTP; see :class:`parsleyrudder.EngineClient`."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def complete(
        self, address: str, request: EngineRequest, listener: ResponseListener
    ) -> Exchange:
        """Run a chat completion."""
        headers = [
            _JSON_CONTENT_TYPE,
            ("X-Request-Id", request.id),
            ("X-Attempt", str(request.attempt)),
            ONE_REQUEST_CONNECTION,
        ]
        if request.resume_from:
            headers.append(("X-Resume-From", str(request.resume_from)))
        message = HttpRequest(
            "POST",
            "/v1/chat/completions",
            headers,
            request.body,
            may_send=request.may_send,
        )
        return self._client.send(address, message, listener)

    def load(self, address: str, done: Callable[[EngineLoad | BackendError], None]) -> None:
        """Read the load of an engine."""
        self._read(address, "/load", _LOAD_DECODER, done)

    def cache_events(
        self, address: str, after: int, done: Callable[[CacheEvents | BackendError], None]
    ) -> None:
        """Read the cache events with a sequence number above ``after``."""
        self._read(address, f"/cache/events?after={after}", _CACHE_EVENTS_DECODER, done)

    def state(self, address: str, done: Callable[[EngineState | BackendError], None]) -> None:
        """Read which model an engine has loaded and which it is loading."""
        self._read(address, "/models", _STATE_DECODER, done)

    def _read(
        self,
        address: str,
        path: str,
        decoder: DocumentDecoder[_T],
        done: Callable[[_T | BackendError], None],
    ) -> None:
        operation = f"{path[1:]} of {address}"

        def on_response(status: int, headers: dict[str, str], body: bytes) -> None:
            if status != 200:
                done(BackendError(f"{operation}: status {status}", _REMEDY))
                return
            try:
                document = decode_document(decoder, body, operation)
            except DocumentError as error:
                done(BackendError(error.message, _REMEDY))
                return
            done(document)

        listener = ResponseCollector(on_response, _failure_callback(operation, done))
        request = HttpRequest("GET", path, reuse=True)
        listener.exchange = self._client.send(address, request, listener, _READ_TIMEOUT_S)

    def order(
        self, address: str, order: Order, done: Callable[[bool | BackendError], None]
    ) -> None:
        """Send an order to an engine.

        :param done: called with True if the engine accepted the order, with False if it refused the
            order because its fencing number is too old, or with the error.
        """

        def on_response(status: int, headers: dict[str, str], body: bytes) -> None:
            if status in (200, _STALE_FENCE_STATUS):
                done(status == 200)
            else:
                done(BackendError(f"order to {address}: status {status}", _REMEDY))

        body = msgspec.json.encode({"fence": order.fence, "wanted": order.wanted})
        listener = ResponseCollector(on_response, _failure_callback(f"order to {address}", done))
        request = HttpRequest("POST", "/orders", [_JSON_CONTENT_TYPE], body)
        listener.exchange = self._client.send(address, request, listener, _ORDER_TIMEOUT_S)


def _failure_callback(operation: str, done: Callable[..., None]) -> Callable[[str], None]:
    return lambda reason: done(BackendError(f"{operation}: {reason}", _REMEDY))
