"""Engines, plain services and the instance list as the router sees them.

Attempts at a server are asynchronous: they return a handle at once, and their listener hears one
final event, unless the attempt is cancelled.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from .delivery import AttemptEnd
from .errors import RudderError
from .placement import EngineState, Order

__all__ = [
    "BackendError",
    "EngineAccess",
    "EngineListener",
    "EngineLoad",
    "EngineRequest",
    "Instance",
    "InstanceList",
    "RunningAttempt",
    "ServiceAccess",
    "ServiceListener",
    "ServiceRequest",
]


class BackendError(RudderError):
    """A server or the instance list did not answer as its protocol says."""

    code = "backend_failed"


class RunningAttempt(Protocol):
    """Handle of an attempt at a server."""

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
    """A chat completion.

    :ivar id: id of the call; the same in every attempt.
    :ivar body: JSON with ``stream`` true.
    :ivar resume_from: tokens that the caller has got already.
    """

    id: str
    attempt: int
    body: bytes
    resume_from: int = 0


class EngineListener(Protocol):
    """Receiver of an engine's stream."""

    def on_events(self, events: bytes, tokens: list[str]) -> None:
        """Receive whole server-sent events, without the end mark, and the tokens in them."""
        ...

    def on_done(self, finish_reason: str) -> None:
        """Receive the end mark of a whole stream."""
        ...

    def on_failed(self, end: AttemptEnd, reason: str) -> None:
        """Receive the failure of the attempt."""
        ...


class EngineLoad(msgspec.Struct, frozen=True):
    """Load of an engine, as of some time ago."""

    running: int
    waiting: int
    window: int


class EngineAccess(Protocol):
    """Asynchronous access to model engines."""

    def complete(
        self, address: str, request: EngineRequest, listener: EngineListener
    ) -> RunningAttempt:
        """Run a chat completion."""
        ...

    def load(self, address: str, done: Callable[[EngineLoad | BackendError], None]) -> None:
        """Read the load of an engine."""
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
    """

    id: str
    attempt: int
    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    repeatable: bool = False


class ServiceListener(Protocol):
    """Receiver of a plain service's answer."""

    def on_answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Receive a whole answer."""
        ...

    def on_failed(self, end: AttemptEnd, reason: str) -> None:
        """Receive the failure of the attempt."""
        ...


class ServiceAccess(Protocol):
    """Asynchronous access to plain services."""

    def call(
        self, address: str, request: ServiceRequest, listener: ServiceListener
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
