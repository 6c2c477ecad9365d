"""HTTP/1.1 client in the event loop: many connections in one component, parsed by h11.

circuits' own ``TCPClient`` spins while it connects and holds one connection per component; its
``web.client`` collects the whole answer. This component streams answers and knows whether any byte
of a request can have reached the server.
"""

import contextlib
import ipaddress
import math
import socket
import time
from collections import deque
from dataclasses import dataclass, field

import h11
from circuits.core import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp
from parsleyrudder import ResponseListener

from .http_messages import HttpRequest, idle_limit_s, request_bytes
from .timers import Timer, Timers

__all__ = ["Exchange", "HttpClient", "HttpRequest"]

_READ_BYTES = 65536
_IDLE_CONNECTIONS = 8


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

    def may_send(self) -> bool:
        """Whether the request may be sent, or go on being sent."""
        may_send = self.request.may_send
        return self.sent or may_send is None or may_send()

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


@dataclass(slots=True, eq=False)
class _Connection:
    """One connection to a server.

    :ivar skipping: whether the present answer belongs to an earlier request.
    :ivar idle_until: time until which another request may use it.
    """

    address: str
    sock: socket.socket
    parser: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))
    exchange: Exchange | None = None
    out: deque[bytes] = field(default_factory=deque)
    connected: bool = False
    broken: bool = False
    skipping: bool = False
    idle_until: float = math.inf
    timer: Timer | None = None
    reading: bool = False
    writing: bool = False


class HttpClient(BaseComponent):
    """Sends requests and owns their connections."""

    channel = "http-client"

    def __init__(self, timers: Timers, connect_timeout_s: float = 2.0) -> None:
        super().__init__()
        self._timers = timers
        self._connect_timeout_s = connect_timeout_s
        self._connection_by_sock: dict[socket.socket, _Connection] = {}
        self._idle: dict[str, list[_Connection]] = {}
        self._found_poller: BasePoller | None = None

    @property
    def _poller(self) -> BasePoller:
        # Looked up once: the search walks the whole tree of components.
        if self._found_poller is None:
            self._found_poller = findcmp(self.root, BasePoller)
        return self._found_poller

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
        connection = self._take_idle(address) if request.reuse else None
        try:
            if connection is None:
                connection = self._connect(address)
            data = request_bytes(connection.parser, address, request)
        except (OSError, ValueError, h11.LocalProtocolError) as error:
            if connection is not None:
                self._close(connection)
            # Not from within this call: the caller has no exchange yet.
            reason = f"can't send to {address}: {error}"
            self._timers.after(0.0, lambda: self._fail(exchange, reason))
            return exchange
        connection.exchange = exchange
        exchange.connection = connection
        if not connection.connected:
            limit = self._connect_timeout_s
            connection.timer = self._timers.after(
                limit, lambda: self._on_lost(connection, "connect timed out")
            )
        if timeout_s is not None:
            exchange.timer = self._timers.after(timeout_s, lambda: self._fail(exchange, "timeout"))
        connection.out.append(data)
        if connection.connected:
            self._flush(connection)
        else:
            self._watch(connection, writing=True)
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

    def _take_idle(self, address: str) -> _Connection | None:
        """Return an idle connection that the server has not closed, as far as is known here."""
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if time.monotonic() >= connection.idle_until:
                self._close(connection)
                continue
            try:
                connection.sock.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return connection
            except OSError:
                pass
            self._close(connection)
        return None

    def _connect(self, address: str) -> _Connection:
        """Open a connection.

        :raises ValueError: if the host is not an IPv4 number; a name would block the loop.
        :raises OSError: if there is no socket to be had.
        """
        host, _, port = address.rpartition(":")
        numeric = ipaddress.IPv4Address(host).compressed
        number = int(port)
        if not 0 < number < 65536:
            raise ValueError(f"{port} is no port")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(address, sock)
        self._connection_by_sock[sock] = connection
        sock.connect_ex((numeric, number))
        return connection

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
        self.on_writable(sock)

    def on_writable(self, sock: socket.socket) -> None:
        """Send what waits; called by the poller."""
        connection = self._connection_by_sock.get(sock)
        if connection is None:
            return
        if not connection.connected:
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self._on_lost(connection, f"connect failed with error {error}")
                return
            connection.connected = True
            if connection.timer is not None:
                connection.timer.cancel()
            self._watch(connection, reading=True)
        self._flush(connection)

    def _flush(self, connection: _Connection) -> None:
        """Send what is queued, as far as the kernel takes it; failures show on reading."""
        exchange = connection.exchange
        if exchange is not None and not exchange.may_send():
            # Not at once, as the caller of send() does not hold the exchange yet.
            self._timers.after(0.0, lambda: self._refuse(connection, exchange))
            return
        try:
            while connection.out:
                data = connection.out.popleft()
                count = connection.sock.send(data)
                if exchange is not None and count:
                    exchange.sent = True
                if count < len(data):
                    connection.out.appendleft(data[count:])
                    self._watch(connection, writing=True)
                    return
        except BlockingIOError:
            connection.out.appendleft(data)
            self._watch(connection, writing=True)
            return
        except OSError:
            # The server may have answered before it closed; reading tells.
            connection.out.clear()
            connection.broken = True
        self._watch(connection, writing=False)

    def _refuse(self, connection: _Connection, exchange: Exchange) -> None:
        if connection.exchange is exchange:
            self._on_lost(connection, "the request may not be sent any more")

    @handler("_read", priority=1)
    def _on_read(self, sock: socket.socket) -> None:
        self.on_readable(sock)

    def on_readable(self, sock: socket.socket) -> None:
        """Read what has come; called by the poller."""
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
                    self._take_head(connection, exchange, event)
                elif isinstance(event, h11.Data):
                    if not connection.skipping:
                        exchange.listener.on_data(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    if connection.skipping:
                        self._await_next_answer(connection, exchange)
                        continue
                    self._finish(connection, exchange)
                    return
                elif isinstance(event, h11.ConnectionClosed):
                    self._on_lost(connection, "server closed the connection")
                    return
        except h11.RemoteProtocolError as error:
            self._on_lost(connection, f"protocol error: {error}")

    def _take_head(
        self, connection: _Connection, exchange: Exchange, response: h11.Response
    ) -> None:
        headers = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in response.headers]
        is_answer = exchange.request.is_answer
        if is_answer is not None and not is_answer(response.status_code, headers):
            connection.skipping = True
            return
        connection.idle_until = time.monotonic() + idle_limit_s(headers)
        if exchange.listener is not None:
            exchange.listener.on_head(response.status_code, headers)

    def _await_next_answer(self, connection: _Connection, exchange: Exchange) -> None:
        """Go on with the bytes after an answer that belonged to an earlier request."""
        rest = connection.parser.trailing_data[0]
        connection.skipping = False
        connection.parser = h11.Connection(h11.CLIENT)
        # The request was sent before; this only tells the new parser.
        request_bytes(connection.parser, connection.address, exchange.request)
        if rest:
            # No bytes would mean that the server has closed the connection.
            connection.parser.receive_data(rest)

    def _finish(self, connection: _Connection, exchange: Exchange) -> None:
        if exchange.timer is not None:
            exchange.timer.cancel()
        exchange.connection = None
        connection.exchange = None
        parser = connection.parser
        reusable = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        # Bytes after the answer would be taken for the answer to the next request.
        surplus = parser.trailing_data[0]
        if reusable and not surplus and not connection.out and not connection.broken:
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
        if connection.timer is not None:
            connection.timer.cancel()
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
        self._poller.discard(connection.sock)
        with contextlib.suppress(OSError):
            connection.sock.close()
