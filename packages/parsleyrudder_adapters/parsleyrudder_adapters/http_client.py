"""HTTP/1.1 client in the event loop: many connections in one component, parsed by h11.

circuits' own ``TCPClient`` busy-waits while it connects and has one connection per component; its
``web.client`` buffers the complete response. This component streams responses and tracks whether
any byte of a request may have reached the server.
"""

import contextlib
import ipaddress
import socket
import time

import h11
from circuits.core import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp
from parsleyrudder import ResponseListener

from .http_exchange import Connection, Exchange
from .http_messages import HttpRequest, ResponseMatch, max_idle_s, serialize_request
from .idle_connections import IdleConnections
from .timers import Timers

__all__ = ["Exchange", "HttpClient", "HttpRequest", "ResponseMatch"]

_RECV_BYTES = 65536
# Time without a response after which other idle connections to the same server are not trusted.
_SILENCE_S = 1.0
# Bytes that a server may send besides the body of a response, and as many more as the body has:
# heads, sizes of chunks, interim responses, and late other responses.
_MAX_SURPLUS_BYTES = 262144
_MAX_INTERIM_RESPONSES = 100
# Parsed events, such as chunks of a body, after which other connections have their turn.
_MAX_EVENTS_PER_TURN = 128


class HttpClient(BaseComponent):
    """Sends requests and manages their connections."""

    channel = "http-client"

    def __init__(self, timers: Timers, connect_timeout_s: float = 2.0) -> None:
        super().__init__()
        self._timers = timers
        self._connect_timeout_s = connect_timeout_s
        self._connection_by_sock: dict[socket.socket, Connection] = {}
        self._idle = IdleConnections(self._close)
        self._cached_poller: BasePoller | None = None

    @property
    def connection_count(self) -> int:
        """Number of open connections, idle ones included."""
        return len(self._connection_by_sock)

    @property
    def _poller(self) -> BasePoller:
        # Cached, since the lookup searches the whole tree of components.
        if self._cached_poller is None:
            self._cached_poller = findcmp(self.root, BasePoller)
        return self._cached_poller

    def send(
        self,
        address: str,
        request: HttpRequest,
        listener: ResponseListener,
        timeout_s: float | None = None,
    ) -> Exchange:
        """Send a request.

        :param address: ``host:port``, with the host as an IPv4 address.
        :param timeout_s: time within which the exchange must complete; None for no limit.
        """
        exchange = Exchange(self, request, listener)
        connection = self._idle.pop(address, request.max_idle_s) if request.reuse else None
        try:
            if connection is None:
                connection = self._connect(address)
            data = serialize_request(connection.parser, address, request)
        except (OSError, ValueError, h11.LocalProtocolError) as error:
            if connection is not None:
                self._close(connection)
            # Deferred, since the code that calls send() does not have the exchange yet.
            reason = f"can't send to {address}: {error}"
            self._timers.after(0.0, lambda: self._fail(exchange, reason))
            return exchange
        connection.exchange = exchange
        connection.used_at = time.monotonic()
        connection.begin_response()
        exchange.connection = connection
        if not connection.connected:
            limit = self._connect_timeout_s
            connection.timer = self._timers.after(
                limit, lambda: self._fail_connection(connection, "connect timed out")
            )
        if timeout_s is not None:
            exchange.timer = self._timers.after(timeout_s, lambda: self._fail(exchange, "timeout"))
        connection.send_queue.append(data)
        if connection.connected:
            self._send_queued(connection)
        else:
            self._set_interest(connection, writing=True)
        return exchange

    def drop(self, exchange: Exchange) -> None:
        """Close the connection of an exchange."""
        if exchange.timer is not None:
            exchange.timer.cancel()
        connection, exchange.connection = exchange.connection, None
        if connection is None:
            return
        self._close(connection)
        waited_s = time.monotonic() - connection.used_at
        if exchange.sent and not connection.has_response_started and waited_s >= _SILENCE_S:
            self._idle.close_unused_since(connection.address, connection.used_at)

    def set_reading(self, exchange: Exchange, reading: bool) -> None:
        """Start or stop reading from the server."""
        connection = exchange.connection
        if connection is not None and connection.connected:
            connection.is_paused = not reading
            self._update_reading(connection)

    def close_idle(self) -> None:
        """Close all idle connections."""
        self._idle.close_all()

    def _connect(self, address: str) -> Connection:
        """Open a connection.

        :raises ValueError: if the host is not an IPv4 address, as resolving a name would block the
            loop, or if the port is invalid.
        :raises OSError: if no socket can be created.
        """
        host, _, port = address.rpartition(":")
        ip_address = ipaddress.IPv4Address(host).compressed
        port_number = int(port)
        if not 0 < port_number < 65536:
            raise ValueError(f"port {port} is not between 1 and 65535")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(address, sock)
        self._connection_by_sock[sock] = connection
        sock.connect_ex((ip_address, port_number))
        return connection

    def _set_interest(
        self, connection: Connection, reading: bool | None = None, writing: bool | None = None
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

    def _update_reading(self, connection: Connection) -> None:
        if connection.sock in self._connection_by_sock:
            is_held = connection.is_paused or connection.is_deferred
            self._set_interest(connection, reading=not is_held)

    @handler("_write", priority=1)
    def _on_write(self, sock: socket.socket) -> None:
        self.on_writable(sock)

    def on_writable(self, sock: socket.socket) -> None:
        """Send queued bytes; called by the poller."""
        connection = self._connection_by_sock.get(sock)
        if connection is None:
            return
        if not connection.connected:
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self._fail_connection(connection, f"connect failed with error {error}")
                return
            connection.connected = True
            if connection.timer is not None:
                connection.timer.cancel()
            self._set_interest(connection, reading=True)
        self._send_queued(connection)

    def _send_queued(self, connection: Connection) -> None:
        """Send queued bytes until the socket would block; errors are reported on reading."""
        exchange = connection.exchange
        if exchange is not None and not exchange.may_send():
            # Deferred, since the code that calls send() does not have the exchange yet.
            self._timers.after(0.0, lambda: self._fail_unsent(connection, exchange))
            return
        try:
            while connection.send_queue:
                data = connection.send_queue.popleft()
                count = connection.sock.send(data)
                if exchange is not None and count:
                    exchange.sent = True
                if count < len(data):
                    connection.send_queue.appendleft(data[count:])
                    self._set_interest(connection, writing=True)
                    return
        except BlockingIOError:
            connection.send_queue.appendleft(data)
            self._set_interest(connection, writing=True)
            return
        except OSError:
            # The server may have responded before it closed; reading shows this.
            connection.send_queue.clear()
            connection.write_failed = True
        self._set_interest(connection, writing=False)

    def _fail_unsent(self, connection: Connection, exchange: Exchange) -> None:
        if connection.exchange is exchange:
            self._fail_connection(connection, "the request may not be sent any more")

    @handler("_read", priority=1)
    def _on_read(self, sock: socket.socket) -> None:
        self.on_readable(sock)

    def on_readable(self, sock: socket.socket) -> None:
        """Read the available input; called by the poller."""
        connection = self._connection_by_sock.get(sock)
        if connection is None or not connection.reading:
            return
        try:
            data = sock.recv(_RECV_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail_connection(connection, f"receive failed: {error.strerror}")
            return
        if connection.exchange is None:
            self._close(connection)
            return
        if not data and connection.write_failed:
            # The failed write has taken the error of the connection, so that a reset looks like
            # the end of a response without a length.
            self._fail_connection(connection, "connection lost while the request was sent")
            return
        self._parse(connection, data)

    @handler("_disconnect", "_error", priority=1)
    def _on_disconnect(self, sock: socket.socket, *args: object) -> None:
        connection = self._connection_by_sock.get(sock)
        if connection is not None:
            self._fail_connection(connection, "connection lost")

    def _parse(self, connection: Connection, data: bytes) -> None:
        """Parse received bytes; empty ``data`` means that the server closed the connection."""
        connection.received_bytes += len(data)
        if connection.surplus_bytes > _MAX_SURPLUS_BYTES + connection.body_bytes:
            self._fail_connection(connection, "too many bytes that are no body of a response")
            return
        try:
            connection.parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._fail_connection(connection, f"protocol error: {error}")
            return
        self._handle_events(connection)

    def _handle_events(self, connection: Connection) -> None:
        """Handle what has been parsed; if it is much, the rest after a turn of the event loop."""
        exchange = connection.exchange
        try:
            for _ in range(_MAX_EVENTS_PER_TURN):
                if exchange is None or exchange.listener is None:
                    return
                event = connection.parser.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                if not self._handle_event(connection, exchange, exchange.listener, event):
                    return
        except h11.RemoteProtocolError as error:
            self._fail_connection(connection, f"protocol error: {error}")
            return
        self._handle_rest_later(connection)

    def _handle_rest_later(self, connection: Connection) -> None:
        """Let other connections have their turn before the rest of what has been parsed."""
        connection.is_deferred = True
        self._update_reading(connection)

        def go_on() -> None:
            connection.is_deferred = False
            if connection.sock in self._connection_by_sock:
                self._handle_events(connection)
                self._update_reading(connection)

        self._timers.after(0.0, go_on)

    def _handle_event(
        self,
        connection: Connection,
        exchange: Exchange,
        listener: ResponseListener,
        event: object,
    ) -> bool:
        """Handle a parsed event; return whether another one may follow."""
        if isinstance(event, h11.Response):
            self._handle_head(connection, exchange, event)
        elif isinstance(event, h11.Data):
            if not connection.is_skipping_response:
                connection.body_bytes += len(event.data)
                listener.on_data(bytes(event.data))
        elif isinstance(event, h11.InformationalResponse):
            connection.interim_count += 1
            if connection.interim_count > _MAX_INTERIM_RESPONSES:
                self._fail_connection(connection, "too many interim responses")
                return False
        elif isinstance(event, h11.EndOfMessage):
            if not connection.is_skipping_response:
                self._complete(connection, exchange)
                return False
            self._skip_to_next_response(connection, exchange)
        elif isinstance(event, h11.ConnectionClosed):
            self._fail_connection(connection, "server closed the connection")
            return False
        return True

    def _handle_head(
        self, connection: Connection, exchange: Exchange, response: h11.Response
    ) -> None:
        headers = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in response.headers]
        match_response = exchange.request.match_response
        match = match_response(headers) if match_response else ResponseMatch.OWN
        if match is ResponseMatch.OTHER:
            connection.is_skipping_response = True
            # The next superfluous response may name no request.
            connection.may_be_reused = False
            return
        if match is ResponseMatch.UNKNOWN:
            if connection.is_reused:
                # It may be a second copy of an earlier response.
                self._fail_connection(connection, "a response names no request")
                return
            connection.may_be_reused = False
        connection.has_response_started = True
        connection.idle_until = time.monotonic() + max_idle_s(headers)
        if exchange.listener is not None:
            exchange.listener.on_head(response.status_code, headers)

    def _skip_to_next_response(self, connection: Connection, exchange: Exchange) -> None:
        """Parse the bytes after a response that belonged to an earlier request."""
        trailing_bytes = connection.parser.trailing_data[0]
        connection.is_skipping_response = False
        connection.parser = h11.Connection(h11.CLIENT)
        # The request was sent before; this only sets the state of the new parser.
        serialize_request(connection.parser, connection.address, exchange.request)
        if trailing_bytes:
            # Empty data would mean that the server has closed the connection.
            connection.parser.receive_data(trailing_bytes)

    def _complete(self, connection: Connection, exchange: Exchange) -> None:
        if exchange.timer is not None:
            exchange.timer.cancel()
        exchange.connection = None
        connection.exchange = None
        parser = connection.parser
        is_parser_done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        # Bytes after the response would be taken for the response to the next request.
        has_surplus = bool(parser.trailing_data[0])
        is_sent = not connection.send_queue and not connection.write_failed
        if connection.may_be_reused and is_parser_done and is_sent and not has_surplus:
            parser.start_next_cycle()
            self._keep_idle(connection)
        else:
            self._close(connection)
        listener, exchange.listener = exchange.listener, None
        if listener is not None:
            listener.on_end()

    def _keep_idle(self, connection: Connection) -> None:
        if self._idle.add(connection):
            self._set_interest(connection, reading=True)
        else:
            self._close(connection)

    def _fail_connection(self, connection: Connection, reason: str) -> None:
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

    def _close(self, connection: Connection) -> None:
        if self._connection_by_sock.pop(connection.sock, None) is None:
            return
        if connection.timer is not None:
            connection.timer.cancel()
        self._idle.discard(connection)
        self._poller.discard(connection.sock)
        with contextlib.suppress(OSError):
            connection.sock.close()
