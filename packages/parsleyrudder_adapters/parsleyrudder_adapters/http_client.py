"""HTTP/1.1 client in the event loop: many connections in one component, parsed by h11.

circuits' own ``TCPClient`` spins while it connects and holds one connection per component; its
``web.client`` collects the whole answer. This component streams answers and knows whether any byte
of a request can have reached the server.
"""

import contextlib
import math
import socket
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

import h11
from circuits.core import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from .timers import Timer, Timers

__all__ = ["Exchange", "HttpClient", "HttpRequest", "ResponseListener"]

_READ_BYTES = 65536
_IDLE_CONNECTIONS = 8


@dataclass(slots=True)
class HttpRequest:
    """A request to send.

    :ivar reuse: whether a connection that served another request may be used; it may turn out to
        be closed after the request was sent, so only a request that may be repeated allows it.
    :ivar valid_until: monotonic time from which on no first byte is sent, such as the end of the
        lease of the slot that the request uses. It is checked at the sending, because the process
        may have been stopped since the request was made.
    """

    method: str
    target: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    reuse: bool = False
    valid_until: float = math.inf


class ResponseListener(Protocol):
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


class Exchange:
    """One request and its answer."""

    __slots__ = ("_client", "connection", "listener", "request", "sent", "timer")

    def __init__(
        self, client: "HttpClient", request: HttpRequest, listener: ResponseListener
    ) -> None:
        self._client = client
        self.request = request
        self.listener: ResponseListener | None = listener
        self.connection: _Connection | None = None
        self.sent = False
        self.timer: Timer | None = None

    def cancel(self) -> None:
        """Drop the connection; the listener hears nothing more."""
        self.listener = None
        self._client.drop(self)

    def pause(self) -> None:
        """Stop reading the answer."""
        self._client.set_reading(self, False)

    def resume(self) -> None:
        """Go on reading the answer."""
        self._client.set_reading(self, True)


class _Connection:
    __slots__ = ("address", "connected", "exchange", "out", "parser", "reading", "sock", "writing")

    def __init__(self, address: str, sock: socket.socket) -> None:
        self.address = address
        self.sock = sock
        self.parser = h11.Connection(h11.CLIENT)
        self.exchange: Exchange | None = None
        self.out: deque[bytes] = deque()
        self.connected = False
        self.reading = False
        self.writing = False


class HttpClient(BaseComponent):
    """Sends requests and owns their connections."""

    channel = "http-client"

    def __init__(self, timers: Timers, connect_timeout_s: float = 2.0) -> None:
        super().__init__()
        self._timers = timers
        self._connect_timeout_s = connect_timeout_s
        self._connection_by_sock: dict[socket.socket, _Connection] = {}
        self._idle: dict[str, list[_Connection]] = {}

    @property
    def _poller(self) -> BasePoller:
        return findcmp(self.root, BasePoller)

    def send(
        self,
        address: str,
        request: HttpRequest,
        listener: ResponseListener,
        timeout_s: float | None = None,
    ) -> Exchange:
        """Send a request.

        :param address: ``host:port``, with the host as an IP number.
        :param timeout_s: time after which the whole exchange fails; None for no limit.
        """
        exchange = Exchange(self, request, listener)
        idle = self._idle.get(address)
        if request.reuse and idle:
            connection = idle.pop()
        else:
            connection = self._connect(address)
        connection.exchange = exchange
        exchange.connection = connection
        if not connection.connected:
            limit = self._connect_timeout_s
            self._timers.after(limit, lambda: self._on_connect_timeout(connection, exchange))
        if timeout_s is not None:
            exchange.timer = self._timers.after(timeout_s, lambda: self._fail(exchange, "timeout"))
        self._queue_request(connection, address, request)
        return exchange

    def drop(self, exchange: Exchange) -> None:
        """Close the connection of an exchange."""
        if exchange.timer is not None:
            exchange.timer.cancel()
        if exchange.connection is not None:
            self._close(exchange.connection)
            exchange.connection = None

    def set_reading(self, exchange: Exchange, reading: bool) -> None:
        """Switch reading from the server on or off."""
        if exchange.connection is not None and exchange.connection.connected:
            self._watch(exchange.connection, reading=reading)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connections in list(self._idle.values()):
            for connection in list(connections):
                self._close(connection)

    def _connect(self, address: str) -> _Connection:
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(address, sock)
        self._connection_by_sock[sock] = connection
        sock.connect_ex((host, int(port)))
        return connection

    def _queue_request(self, connection: _Connection, address: str, request: HttpRequest) -> None:
        headers = [("Host", address), *request.headers]
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers.append(("Content-Length", str(len(request.body))))
        event = h11.Request(method=request.method, target=request.target, headers=headers)
        parser = connection.parser
        parts = [parser.send(event)]
        if request.body:
            parts.append(parser.send(h11.Data(data=request.body)))
        parts.append(parser.send(h11.EndOfMessage()))
        connection.out.append(b"".join(part for part in parts if part))
        self._watch(connection, writing=True)

    def _watch(
        self, connection: _Connection, reading: bool | None = None, writing: bool | None = None
    ) -> None:
        poller = self._poller
        if reading is not None and reading != connection.reading:
            connection.reading = reading
            if reading:
                poller.addReader(self, connection.sock)
            else:
                poller.removeReader(connection.sock)
        if writing is not None and writing != connection.writing:
            connection.writing = writing
            if writing:
                poller.addWriter(self, connection.sock)
            else:
                poller.removeWriter(connection.sock)

    @handler("_write", priority=1)
    def _on_write(self, sock: socket.socket) -> None:
        connection = self._connection_by_sock.get(sock)
        if connection is None:
            return
        if not connection.connected:
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self._on_lost(connection, f"connect failed with error {error}")
                return
            connection.connected = True
            self._watch(connection, reading=True)
        if not self._may_send(connection):
            self._on_lost(connection, "no longer valid, nothing was sent")
            return
        try:
            while connection.out:
                data = connection.out.popleft()
                count = sock.send(data)
                if connection.exchange is not None and count:
                    connection.exchange.sent = True
                if count < len(data):
                    connection.out.appendleft(data[count:])
                    return
        except BlockingIOError:
            connection.out.appendleft(data)
            return
        except OSError as error:
            self._on_lost(connection, f"send failed: {error.strerror}")
            return
        self._watch(connection, writing=False)

    @staticmethod
    def _may_send(connection: _Connection) -> bool:
        exchange = connection.exchange
        if exchange is None or exchange.sent:
            return True
        return time.monotonic() < exchange.request.valid_until

    @handler("_read", priority=1)
    def _on_read(self, sock: socket.socket) -> None:
        connection = self._connection_by_sock.get(sock)
        if connection is None or not connection.reading:
            return
        try:
            data = sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._on_lost(connection, f"receive failed: {error.strerror}")
            return
        if connection.exchange is None:
            self._close(connection)
            return
        self._parse(connection, data)

    @handler("_disconnect", "_error", priority=1)
    def _on_poller_lost(self, sock: socket.socket, *args: object) -> None:
        connection = self._connection_by_sock.get(sock)
        if connection is not None:
            self._on_lost(connection, "connection lost")

    def _parse(self, connection: _Connection, data: bytes) -> None:
        """Feed received bytes to the parser; no bytes mean that the server closed."""
        exchange = connection.exchange
        try:
            connection.parser.receive_data(data)
            while exchange is not None and exchange.listener is not None:
                event = connection.parser.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    break
                if isinstance(event, h11.Response):
                    headers = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers]
                    exchange.listener.on_head(event.status_code, headers)
                elif isinstance(event, h11.Data):
                    exchange.listener.on_data(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self._finish(connection, exchange)
                    return
                elif isinstance(event, h11.ConnectionClosed):
                    self._on_lost(connection, "server closed the connection")
                    return
        except h11.RemoteProtocolError as error:
            self._on_lost(connection, f"protocol error: {error}")

    def _finish(self, connection: _Connection, exchange: Exchange) -> None:
        if exchange.timer is not None:
            exchange.timer.cancel()
        exchange.connection = None
        connection.exchange = None
        parser = connection.parser
        if parser.our_state is h11.DONE and parser.their_state is h11.DONE:
            parser.start_next_cycle()
            self._keep(connection)
        else:
            self._close(connection)
        listener, exchange.listener = exchange.listener, None
        if listener is not None:
            listener.on_end()

    def _keep(self, connection: _Connection) -> None:
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= _IDLE_CONNECTIONS:
            self._close(connection)
            return
        self._watch(connection, reading=True)
        idle.append(connection)

    def _on_connect_timeout(self, connection: _Connection, exchange: Exchange) -> None:
        if not connection.connected and connection.exchange is exchange:
            self._on_lost(connection, "connect timed out")

    def _on_lost(self, connection: _Connection, reason: str) -> None:
        exchange = connection.exchange
        self._close(connection)
        if exchange is not None:
            exchange.connection = None
            self._fail(exchange, reason)

    def _fail(self, exchange: Exchange, reason: str) -> None:
        listener, exchange.listener = exchange.listener, None
        self.drop(exchange)
        if listener is not None:
            listener.on_failed(exchange.sent, reason)

    def _close(self, connection: _Connection) -> None:
        if self._connection_by_sock.pop(connection.sock, None) is None:
            return
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
        self._poller.discard(connection.sock)
        with contextlib.suppress(OSError):
            connection.sock.close()
