"""Request guard before circuits.web: framing, limits and pipelining of what callers send.

The parser of circuits.web answers only the first of pipelined requests, accepts both length
headers, shows tracebacks, takes headers without bound, redirects paths with escapes and waits for
ever for a short body. The guard parses requests by h11, keeps them, and passes a minimal canonical
request on, one at a time per connection.
"""

import json
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

import h11
from circuits.core import BaseComponent, handler
from circuits.net.events import close, read, write
from parsleyrudder import Failure, failure

from .logs import log_event
from .timers import Timer, Timers

__all__ = ["CallerRequest", "Guard", "GuardLimits", "error_body"]

_LOGGER = logging.getLogger(__name__)
_CANONICAL = b"POST / HTTP/1.1\r\nHost: guard\r\nContent-Length: 0\r\n%s\r\n"
_CLOSE = b"Connection: close\r\n"


@dataclass(slots=True, frozen=True)
class GuardLimits:
    """Limits on what callers send.

    :ivar header_bytes: request line and headers together.
    :ivar target_bytes: path and query.
    :ivar connections: open connections.
    :ivar request_s: time in which a whole request must arrive.
    :ivar idle_s: time for which a connection may stay open without a request.
    """

    header_bytes: int = 16384
    target_bytes: int = 4096
    body_bytes: int = 1 << 20
    connections: int = 4096
    request_s: float = 10.0
    idle_s: float = 60.0


@dataclass(slots=True)
class CallerRequest:
    """A whole request of a caller, within all limits.

    :ivar headers: lower-case names; the last value of a repeated header.
    :ivar keep_alive: whether the connection stays open after the answer.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    keep_alive: bool
    http_1_0: bool = False


@dataclass(slots=True)
class _Connection:
    parser: h11.Connection
    request: h11.Request | None = None
    body: bytearray = field(default_factory=bytearray)
    waiting: bytearray = field(default_factory=bytearray)
    ready: CallerRequest | None = None
    busy: bool = False
    refused: bool = False
    passed: bytes | None = None
    timer: Timer | None = None


class Guard(BaseComponent):
    """Checks what goes into the parser of circuits.web.

    :param on_request: called with each refused request's failure, for logs and metrics.
    """

    channel = "web"

    def __init__(
        self,
        timers: Timers,
        limits: GuardLimits,
        on_refused: Callable[[Failure], None] = lambda failure: None,
    ) -> None:
        super().__init__()
        self._timers = timers
        self._limits = limits
        self._on_refused = on_refused
        self._connection_by_sock: dict[socket.socket, _Connection] = {}

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connection_by_sock)

    def take(self, sock: socket.socket) -> CallerRequest | None:
        """Return the request that is being answered on a connection."""
        connection = self._connection_by_sock.get(sock)
        return connection.ready if connection else None

    def done(self, sock: socket.socket) -> None:
        """Go on with the next request of a connection after an answer was written."""
        connection = self._connection_by_sock.get(sock)
        if connection is None or not connection.busy:
            return
        keep_alive = connection.ready is not None and connection.ready.keep_alive
        connection.busy = False
        connection.ready = None
        if not keep_alive:
            self.fire(close(sock), "web")
            return
        rest, closed = connection.parser.trailing_data
        connection.parser = self._parser()
        connection.request = None
        connection.body.clear()
        data = bytes(rest) + bytes(connection.waiting)
        connection.waiting.clear()
        self._start_timer(sock, connection, self._limits.idle_s)
        if data:
            self._feed(sock, connection, data)
        elif closed:
            self.fire(close(sock), "web")

    def _parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.header_bytes)

    @handler("connect", priority=10)
    def _on_connect(self, sock: socket.socket, *address: object) -> None:
        connection = _Connection(self._parser())
        self._connection_by_sock[sock] = connection
        if len(self._connection_by_sock) > self._limits.connections:
            text = f"{self._limits.connections} connections are open"
            self._refuse(sock, connection, failure("too_many_connections", text, 1.0))
            return
        self._start_timer(sock, connection, self._limits.idle_s)

    @handler("disconnect", priority=10)
    def _on_disconnect(self, sock: socket.socket) -> None:
        connection = self._connection_by_sock.pop(sock, None)
        if connection is not None and connection.timer is not None:
            connection.timer.cancel()

    @handler("read", priority=10)
    def _on_read(self, event: read, sock: socket.socket, data: bytes) -> None:
        connection = self._connection_by_sock.get(sock)
        if connection is None:
            event.stop()
            return
        if data is connection.passed:
            connection.passed = None
            return
        event.stop()
        if connection.refused:
            return
        if not connection.busy:
            self._feed(sock, connection, data)
            return
        connection.waiting += data
        if len(connection.waiting) > self._limits.header_bytes + self._limits.body_bytes:
            text = "too much was sent ahead of the answer"
            self._refuse(sock, connection, failure("bad_request", text))

    def _feed(self, sock: socket.socket, connection: _Connection, data: bytes) -> None:
        parser = connection.parser
        if connection.request is None and not parser.trailing_data[0]:
            self._start_timer(sock, connection, self._limits.request_s)
        try:
            parser.receive_data(data)
            if parser.they_are_waiting_for_100_continue:
                self.fire(write(sock, b"HTTP/1.1 100 Continue\r\n\r\n"), "web")
            refusal = self._advance(sock, connection)
        except h11.RemoteProtocolError as error:
            refusal = _protocol_failure(error)
        if refusal is not None:
            self._refuse(sock, connection, refusal)

    def _advance(self, sock: socket.socket, connection: _Connection) -> Failure | None:
        """Take parsed events; return why the request is refused, or None."""
        while True:
            event = connection.parser.next_event()
            if isinstance(event, h11.Request):
                connection.request = event
                refusal = self._check_head(event)
                if refusal is not None:
                    return refusal
                if connection.parser.they_are_waiting_for_100_continue:
                    self.fire(write(sock, b"HTTP/1.1 100 Continue\r\n\r\n"), "web")
            elif isinstance(event, h11.Data):
                connection.body += event.data
                if len(connection.body) > self._limits.body_bytes:
                    return failure("body_too_large", f"body over {self._limits.body_bytes} bytes")
            elif isinstance(event, h11.EndOfMessage):
                self._pass_on(sock, connection)
                return None
            else:
                if event is h11.ConnectionClosed or isinstance(event, h11.ConnectionClosed):
                    self.fire(close(sock), "web")
                return None

    def _check_head(self, request: h11.Request) -> Failure | None:
        names = [name for name, _ in request.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            return failure("bad_request", "both Content-Length and Transfer-Encoding are given")
        if len(request.target) > self._limits.target_bytes:
            return failure("uri_too_long", f"target over {self._limits.target_bytes} bytes")
        if not request.target.startswith(b"/"):
            return failure("bad_request", "the target does not start with a slash")
        length = dict(request.headers).get(b"content-length", b"0")
        if int(length) > self._limits.body_bytes:
            return failure("body_too_large", f"body over {self._limits.body_bytes} bytes")
        return None

    def _pass_on(self, sock: socket.socket, connection: _Connection) -> None:
        request = connection.request
        assert request is not None
        if connection.timer is not None:
            connection.timer.cancel()
        headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in request.headers}
        http_1_0 = request.http_version < b"1.1"
        keep_alive = not http_1_0 and "close" not in headers.get("connection", "").lower()
        connection.ready = CallerRequest(
            request.method.decode("latin-1"),
            request.target.decode("latin-1"),
            headers,
            bytes(connection.body),
            keep_alive,
            http_1_0,
        )
        connection.busy = True
        connection.passed = _CANONICAL % (b"" if keep_alive else _CLOSE)
        self.fire(read(sock, connection.passed), "web")

    def _start_timer(self, sock: socket.socket, connection: _Connection, delay_s: float) -> None:
        if connection.timer is not None:
            connection.timer.cancel()
        connection.timer = self._timers.after(delay_s, lambda: self._on_timeout(sock, connection))

    def _on_timeout(self, sock: socket.socket, connection: _Connection) -> None:
        if connection.busy or connection.refused:
            return
        if connection.request is None and not connection.parser.trailing_data[0]:
            self.fire(close(sock), "web")
            return
        text = f"the request was not whole after {self._limits.request_s:g} s"
        self._refuse(sock, connection, failure("request_timeout", text))

    def _refuse(self, sock: socket.socket, connection: _Connection, refusal: Failure) -> None:
        """Answer with an error and close, past circuits.web."""
        connection.refused = True
        if connection.timer is not None:
            connection.timer.cancel()
        self._on_refused(refusal)
        log_event(_LOGGER, "request_refused", code=refusal.kind.code, reason=refusal.message)
        body = error_body(refusal, "")
        head = (
            f"HTTP/1.1 {refusal.kind.status} Refused\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nX-Rudder-Outcome: {refusal.outcome}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.fire(write(sock, head.encode() + body), "web")
        self.fire(close(sock), "web")


def error_body(refusal: Failure, request_id: str) -> bytes:
    """Return the JSON body of an error answer."""
    error = {
        "code": refusal.kind.code,
        "outcome": refusal.outcome,
        "message": refusal.message,
        "remedy": refusal.kind.remedy,
        "request_id": request_id,
    }
    return json.dumps({"error": error}).encode()


def _protocol_failure(error: h11.RemoteProtocolError) -> Failure:
    if error.error_status_hint == 431:
        return failure("headers_too_large", "request line and headers are too large")
    return failure("bad_request", f"not a valid HTTP/1.1 request: {error}")
