"""Engines, plain services and the instance list as the router sees them.

Attempts at a server are asynchronous: they return a handle at once, and their listener hears one
final event, unless the attempt is cancelled.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from .errors import RudderError
from .placement import EngineState, Order
from .routing import CacheEvents

__all__ = [
    "AnswerListener",
    "BackendError",
    "EngineAccess",
    "EngineLoad",
    "EngineRequest",
    "Instance",
    "InstanceList",
    "RunningAttempt",
    "ServiceAccess",
    "ServiceRequest",
]


class BackendError(RudderError):
    """A server or the instance list did not answer as its protocol says."""

    code = "backend_failed"


class AnswerListener(Protocol):
    """Receiver of one answer; after ``on_end`` or ``on_failed`` it hears nothing more."""

    def on_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Receive status and headers."""
        ...

    def on_data(self, data: bytes) -> None:
        """Receive a part of the body."""
        ...

    def on_end(self) -> None:
        """Receive the end of a whole answer."""
        ...

    def on_failed(self, sent: bool, reason: str) -> None:
        """Receive the failure of the request.

        :param sent: whether a byte of the request may have reached the server.
        """
        ...


class RunningAttempt(Protocol):
    """Handle of an attempt at a server."""

    @property
    def sent(self) -> bool:
        """Whether a byte of the request may have reached the server."""
        ...

    def cancel(self) -> None:
        """Disconnect; the listener hears nothing more."""
        ...

    def pause(self) -> None:
        """Stop reading the answer."""
        ...

    def resume(self) -> None:
        """Go on reading the answer."""
        ...


@dataclass(slots=True, frozen=True)
class EngineRequest:
    """A chat completion; the answer is read by :class:`parsleyrudder.EventStream`.

    :ivar id: id of the call; the same in every attempt.
    :ivar body: JSON with ``stream`` true.
    :ivar resume_from: tokens that the caller has got already.
    :ivar may_send: asked just before the first byte is sent.
    """

    id: str
    attempt: int
    body: bytes
    resume_from: int = 0
    may_send: Callable[[], bool] | None = None


class EngineLoad(msgspec.Struct, frozen=True):
    """Load of an engine, as of some time ago."""

    running: int
    waiting: int
    window: int


class EngineAccess(Protocol):
    """Asynchronous access to model engines."""

    def complete(
        self, address: str, request: EngineRequest, listener: AnswerListener
    ) -> RunningAttempt:
        """Run a chat completion."""
        ...

    def load(self, address: str, done: Callable[[EngineLoad | BackendError], None]) -> None:
        """Read the load of an engine."""
        ...

    def cache_events(
        self, address: str, after: int, done: Callable[[CacheEvents | BackendError], None]
    ) -> None:
        """Read the cache events after a number, which come late and with gaps."""
        ...

    def state(self, address: str, done: Callable[[EngineState | BackendError], None]) -> None:
        """Read what an engine holds and loads."""
        ...

    def order(
        self, address: str, order: Order, done: Callable[[bool | BackendError], None]
    ) -> None:
        """Give an order; the result tells whether it was taken, or refused for its fence."""
        ...


@dataclass(slots=True, frozen=True)
class ServiceRequest:
    """A call of a plain service.

    :ivar target: path and query.
    :ivar repeatable: whether the call may run more than once.
    :ivar may_send: asked just before the first byte is sent.
    """

    id: str
    attempt: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    repeatable: bool = False
    may_send: Callable[[], bool] | None = None


class ServiceAccess(Protocol):
    """Asynchronous access to plain services."""

    def call(
        self, address: str, request: ServiceRequest, listener: AnswerListener
    ) -> RunningAttempt:
        """Run a call."""
        ...


class Instance(msgspec.Struct, frozen=True):
    """An entry of the platform's instance list; its state is ``live`` or ``leaving``."""

    id: str
    state: str


class InstanceList(Protocol):
    """Asynchronous access to the instance list, which lags."""

    def read(self, done: Callable[[list[Instance] | BackendError], None]) -> None:
        """Read the list and call ``done`` once with its entries or the error."""
        ...
