"""State of the HTTP client: its connections, and the exchanges on them."""

import math
import socket
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

import h11
from parsleyrudder import ResponseListener

from .http_messages import HttpRequest
from .timers import Timer

__all__ = ["Connection", "Exchange", "ExchangeOwner"]


class ExchangeOwner(Protocol):
    """The client that sends the request of an exchange."""

    def drop(self, exchange: "Exchange") -> None:
        """Close the connection of an exchange."""
        ...

    def set_reading(self, exchange: "Exchange", reading: bool) -> None:
        """Start or stop reading from the server."""
        ...


class Exchange:
    """One request and its response.

    :ivar sent: whether any byte of the request was sent.
    """

    __slots__ = ("_client", "connection", "listener", "request", "sent", "timer")

    def __init__(
        self, client: ExchangeOwner, request: HttpRequest, listener: ResponseListener
    ) -> None:
        self._client = client
        self.request = request
        self.listener: ResponseListener | None = listener
        self.connection: Connection | None = None
        self.sent = False
        self.timer: Timer | None = None

    def may_send(self) -> bool:
        """Whether sending the request may start or continue."""
        may_send = self.request.may_send
        return self.sent or may_send is None or may_send()

    def cancel(self) -> None:
        """Close the connection; the listener is not called any more."""
        self.listener = None
        self._client.drop(self)

    def pause(self) -> None:
        """Stop reading the response."""
        self._client.set_reading(self, False)

    def resume(self) -> None:
        """Continue reading the response."""
        self._client.set_reading(self, True)


@dataclass(slots=True, eq=False)
class Connection:
    """One connection to a server.

    :ivar write_failed: whether sending failed, after which the end of the input proves nothing.
    :ivar is_skipping_response: whether the current response belongs to an earlier request.
    :ivar is_reused: whether a request was sent on it before the current one.
    :ivar may_be_reused: whether another request may follow the current one.
    :ivar has_response_started: whether the head of the response has been received.
    :ivar received_bytes: bytes received since the request.
    :ivar body_bytes: those of them that are of the body of its response.
    :ivar interim_count: number of interim responses (1xx) received since the request.
    :ivar is_paused: whether the listener has paused the response.
    :ivar is_deferred: whether received bytes are handled in the next turn of the event loop.
    :ivar used_at: time at which a request was last sent or a response last completed.
    :ivar idle_until: time until which another request may reuse the connection.
    """

    address: str
    sock: socket.socket
    parser: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))
    exchange: Exchange | None = None
    send_queue: deque[bytes] = field(default_factory=deque)
    connected: bool = False
    write_failed: bool = False
    is_skipping_response: bool = False
    is_reused: bool = False
    may_be_reused: bool = True
    has_response_started: bool = False
    received_bytes: int = 0
    body_bytes: int = 0
    interim_count: int = 0
    is_paused: bool = False
    is_deferred: bool = False
    used_at: float = 0.0
    idle_until: float = math.inf
    timer: Timer | None = None
    reading: bool = False
    writing: bool = False

    @property
    def surplus_bytes(self) -> int:
        """Number of bytes received since the request that are not of its response's body."""
        return self.received_bytes - self.body_bytes

    def begin_response(self) -> None:
        """Expect the response to a request that is about to be sent."""
        self.has_response_started = False
        self.received_bytes = self.body_bytes = self.interim_count = 0
        self.is_paused = False
