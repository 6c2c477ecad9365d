"""Interfaces to engines, plain services and the instance list.

Attempts at a server are asynchronous: starting one returns a handle at once, and its listener
receives exactly one final event unless the attempt is cancelled.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from .errors import RudderError
from .placement import EngineState, Order
from .routing import CacheEvents

__all__ = [
    "AttemptHandle",
    "BackendError",
    "EngineClient",
    "EngineLoad",
    "EngineRequest",
    "Instance",
    "InstanceList",
    "ResponseListener",
    "ServiceClient",
    "ServiceRequest",
]


class BackendError(RudderError):
    """A server or the instance list failed or violated its protocol."""

    code = "backend_failed"


class ResponseListener(Protocol):
    """Receiver of one response; ``on_end`` or ``on_failed`` is the last event that it receives."""

    def on_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Receive the status and headers."""
        ...

    def on_data(self, data: bytes) -> None:
        """Receive a chunk of the body."""
        ...

    def on_end(self) -> None:
        """Receive the end of a complete response."""
        ...

    def on_failed(self, sent: bool, reason: str) -> None:
        """Receive the failure of the request.

        :param sent: whether a byte of the request may have reached the server.
        """
        ...


class AttemptHandle(Protocol):
    """Handle of a running attempt at a server."""

    @property
    def sent(self) -> bool:
        """Whether a byte of the request may have reached the server."""
        ...

    def cancel(self) -> None:
        """Disconnect; the listener receives no more events."""
        ...

    def pause(self) -> None:
        """Stop reading the response until :meth:`resume` is called."""
        ...

    def resume(self) -> None:
        """Continue reading the response."""
        ...


@dataclass(slots=True, frozen=True)
class EngineRequest:
    """Chat completion request; :class:`parsleyrudder.CompletionStream` parses the response.

    :ivar id: id of the call; the same in every attempt.
    :ivar body: JSON document in which ``stream`` is true.
    :ivar resume_from: number of tokens that the caller has already received.
    :ivar may_send: called just before the first byte is sent; False prevents the send.
    """

    id: str
    attempt: int
    body: bytes
    resume_from: int = 0
    may_send: Callable[[], bool] | None = None


class EngineLoad(msgspec.Struct, frozen=True):
    """Load of an engine, as last reported; it may be outdated."""

    running: int
    waiting: int
    window: int


class EngineClient(Protocol):
    """Asynchronous access to model engines."""

    def complete(
        self, address: str, request: EngineRequest, listener: ResponseListener
    ) -> AttemptHandle:
        """Start a chat completion."""
        ...

    def load(self, address: str, done: Callable[[EngineLoad | BackendError], None]) -> None:
        """Fetch the load of an engine."""
        ...

    def cache_events(
        self, address: str, after: int, done: Callable[[CacheEvents | BackendError], None]
    ) -> None:
        """Fetch the cache events after a sequence number; they are delayed and may have gaps."""
        ...

    def state(self, address: str, done: Callable[[EngineState | BackendError], None]) -> None:
        """Fetch the state of an engine: what it has loaded, is loading and runs."""
        ...

    def order(
        self, address: str, order: Order, done: Callable[[bool | BackendError], None]
    ) -> None:
        """Send an order; the result is False if the engine rejected it because of its fence."""
        ...


@dataclass(slots=True, frozen=True)
class ServiceRequest:
    """Request to a plain service.

    :ivar id: id of the call; the same in every attempt.
    :ivar target: path and query.
    :ivar idempotent: whether the call may run more than once.
    :ivar may_send: called just before the first byte is sent; False prevents the send.
    """

    id: str
    attempt: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    idempotent: bool = False
    may_send: Callable[[], bool] | None = None


class ServiceClient(Protocol):
    """Asynchronous access to plain services."""

    def call(
        self, address: str, request: ServiceRequest, listener: ResponseListener
    ) -> AttemptHandle:
        """Start a call."""
        ...


class Instance(msgspec.Struct, frozen=True):
    """Entry of the platform's instance list; its state is ``live`` or ``leaving``."""

    id: str
    state: str


class InstanceList(Protocol):
    """Asynchronous access to the instance list, which may be outdated."""

    def read(self, done: Callable[[list[Instance] | BackendError], None]) -> None:
        """Fetch the list and call ``done`` once with its entries or the error."""
        ...
