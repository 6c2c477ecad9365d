"""Reads the requests of callers: framing, size limits, time limits and pipelining.

The parser of circuits.web answers only the first of several pipelined requests, accepts
Content-Length together with Transfer-Encoding, sends tracebacks to the caller, does not limit the
size of headers, redirects paths with escapes, and waits without limit for the rest of a body.
Therefore the request reader checks the bytes of each head itself, has h11 parse the request, and
delivers complete requests, one at a time per connection.
"""

import json
import logging
import math
import re
import socket
import time
from collections.abc import Callable

import h11
from parsleyrudder import Failure, failure

from .caller_connection import CallerConnection
from .caller_request import CallerRequest, RequestLimits, origin_form
from .caller_sockets import CallerSockets
from .chunk_sizes import ChunkSizeParser
from .logs import log_event
from .timers import Timers

__all__ = ["CallerRequest", "RequestLimits", "RequestReader", "error_body"]

_LOGGER = logging.getLogger(__name__)
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_HEAD_END = b"\r\n\r\n"
# h11 accepts bare LF and folded lines, which other parsers interpret differently (request
# smuggling).
_INVALID_HEAD = re.compile(rb"\x00|\r[^\n]|(?<!\r)\n|\n[ \t]")
_METHOD_START = re.compile(rb"[A-Za-z]")
_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length[ \t]*:[ \t]*([^\r]*)", re.IGNORECASE)
_CONTENT_LENGTH_VALUE = re.compile(rb"[0-9]{1,18}[ \t]*")
# A second value of one of these headers would make it ambiguous who the caller is, or whether the
# request may be repeated.
_SINGLE_VALUE_HEADERS = frozenset(
    (
        b"authorization",
        b"expect",
        b"idempotency-key",
        b"x-class",
        b"x-cost-hint",
        b"x-deadline-s",
        b"x-request-id",
    )
)
# Number of connections beyond the limit that still get an error response; further ones are closed
# at once.
_MAX_REFUSED_CONNECTIONS = 64
# Time in which a request is expected on a connection that was just accepted or answered, when the
# server stops.
_LAST_REQUEST_S = 0.5


class RequestReader:
    """Reads and checks the requests on all connections.

    :param on_request: called with each complete request; the next one on the connection is
        delivered after :meth:`finish_response`.
    :param on_gone: called when a connection closes before a response on it is complete.
    :param on_refused: called with each refused request's failure, for logs and metrics.
    """

    def __init__(
        self,
        timers: Timers,
        limits: RequestLimits,
        on_request: Callable[[socket.socket, CallerRequest], None],
        on_gone: Callable[[socket.socket], None],
        on_refused: Callable[[Failure], None] = lambda failure: None,
    ) -> None:
        self.sockets = CallerSockets(timers, self)
        self._timers = timers
        self._limits = limits
        self._on_request = on_request
        self._on_gone = on_gone
        self._on_refused = on_refused
        self._connection_by_sock: dict[socket.socket, CallerConnection] = {}
        self._is_stopping = False
        # Times of the last responses on connections that wait for a request, in this order.
        self._idle_since_by_sock: dict[socket.socket, float] = {}

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connection_by_sock)

    def set_limits(self, limits: RequestLimits) -> None:
        """Replace the limits; they apply to input received from now on."""
        self._limits = limits

    def close_after_response(self, sock: socket.socket) -> None:
        """Close a connection once the response to its current request is written."""
        connection = self._connection_by_sock.get(sock)
        if connection is not None:
            connection.keep_alive = False

    @property
    def has_open_requests(self) -> bool:
        """Whether a request may still be received or answered on any connection."""
        return any(not connection.refused for connection in self._connection_by_sock.values())

    def begin_stop(self) -> None:
        """Close the connections on which no request has started, and the others when they are idle.

        One with unread input stays open, and so does for a short time one that has had no request
        yet or was just answered, as its caller may be about to send one.
        """
        self._is_stopping = True
        for sock, connection in list(self._connection_by_sock.items()):
            if connection.is_receiving or self.sockets.has_input(sock):
                continue
            idle_since = self._idle_since_by_sock.get(sock, time.monotonic())
            remaining_s = idle_since + _LAST_REQUEST_S - time.monotonic()
            if remaining_s > 0:
                self._set_deadline(sock, connection, remaining_s)
            else:
                self.sockets.close(sock)

    def add_connection(self, sock: socket.socket) -> None:
        """Take over an accepted connection; beyond the limit, it replaces the longest idle one.

        One with an unread request is not idle.
        """
        if len(self._connection_by_sock) >= self._limits.connections:
            idle = (s for s in self._idle_since_by_sock if not self.sockets.has_input(s))
            replaced = next(idle, None)
            if replaced is not None:
                self.sockets.close(replaced)
        excess = len(self._connection_by_sock) - self._limits.connections
        if excess >= _MAX_REFUSED_CONNECTIONS:
            sock.close()
            return
        connection = self._connection_by_sock[sock] = CallerConnection()
        self.sockets.add(sock)
        if excess >= 0:
            text = f"{self._limits.connections} connections are open"
            self._refuse(sock, connection, failure("too_many_connections", text, 1.0))
            return
        self._set_deadline(sock, connection, self._limits.idle_s)

    def finish_response(self, sock: socket.socket) -> None:
        """Process the next request on a connection, after a response was written."""
        connection = self._connection_by_sock.get(sock)
        if connection is None or not connection.responding:
            return
        connection.responding = False
        if not connection.keep_alive:
            self.sockets.close(sock)
            return
        assert connection.parser is not None
        connection.input[:0] = connection.parser.trailing_data[0]
        connection.parser = None
        connection.chunk_sizes = None
        connection.request = None
        connection.body.clear()
        self.sockets.set_reading(sock, True)
        # The close of a connection that is still kept has not been announced to its caller.
        idle_s = _LAST_REQUEST_S if self._is_stopping else self._limits.idle_s
        self._set_deadline(sock, connection, idle_s)
        if connection.input:
            self._parse(sock, connection, is_new_request=True)
        else:
            self._idle_since_by_sock[sock] = time.monotonic()

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """See :class:`SocketEventHandler`."""
        connection = self._connection_by_sock[sock]
        if connection.refused:
            return
        self._idle_since_by_sock.pop(sock, None)
        is_new_request = not connection.input and connection.parser is None
        connection.input += data
        if not connection.responding:
            self._parse(sock, connection, is_new_request)
        elif len(connection.input) > self._limits.header_bytes:
            # Further pipelined requests stay in the kernel's buffer until the response is written.
            self.sockets.set_reading(sock, False)

    def on_eof(self, sock: socket.socket) -> None:
        """Close: the end of input counts as a disconnect, as a response may be costly."""
        if self._connection_by_sock[sock].responding:
            self.sockets.drop(sock)
        else:
            self.sockets.close(sock)

    def on_closed(self, sock: socket.socket) -> None:
        """See :class:`SocketEventHandler`."""
        connection = self._connection_by_sock.pop(sock, None)
        if connection is None:
            return
        self._idle_since_by_sock.pop(sock, None)
        if connection.timer is not None:
            connection.timer.cancel()
        if connection.responding:
            self._on_gone(sock)

    def _parse(
        self, sock: socket.socket, connection: CallerConnection, is_new_request: bool
    ) -> None:
        """Parse the available input.

        :param is_new_request: whether the input begins with the first bytes of a request.
        """
        try:
            refusal = None if connection.parser else self._parse_head(connection)
            if refusal is None and connection.parser is not None:
                data = bytes(connection.input)
                connection.input.clear()
                connection.parser.receive_data(data)
                refusal = self._process_events(sock, connection) or self._check_chunk_sizes(
                    connection, data
                )
        except h11.RemoteProtocolError as error:
            refusal = failure("bad_request", f"not a valid HTTP/1.1 request: {error}")
        if refusal is not None:
            self._refuse(sock, connection, refusal)
        elif is_new_request and not connection.responding:
            self._set_deadline(sock, connection, self._limits.request_s)

    def _parse_head(self, connection: CallerConnection) -> Failure | None:
        """Check the bytes of the head; create a parser once the head is complete."""
        head = connection.input
        if head.startswith(b"\r\n"):
            del head[:2]  # RFC 9112 section 2.2: ignore an empty line before a request.
        if head in (b"", b"\r"):
            return None
        if not _METHOD_START.match(head):
            return failure("bad_request", "the input does not begin with an HTTP method")
        end = head.find(_HEAD_END, max(0, connection.scanned_bytes - 3))
        length = len(head) if end < 0 else end + len(_HEAD_END)
        invalid = _INVALID_HEAD.search(head, max(0, connection.scanned_bytes - 2), length)
        if invalid is not None:
            folded = invalid[0].startswith(b"\n") and len(invalid[0]) > 1
            what = "a folded line" if folded else "a bare CR, a bare LF or a NUL"
            return failure("bad_request", f"{what} in the request line or headers")
        if length > self._limits.header_bytes:
            if b"\r\n" not in head[: self._limits.header_bytes]:
                return failure("uri_too_long", f"target over {self._limits.target_bytes} bytes")
            text = f"request line and headers over {self._limits.header_bytes} bytes"
            return failure("headers_too_large", text)
        if end < 0:
            connection.scanned_bytes = length
            return None
        lengths = _CONTENT_LENGTH.findall(head, 0, end)
        if len(lengths) > 1 or any(not _CONTENT_LENGTH_VALUE.fullmatch(value) for value in lengths):
            return failure("bad_request", "bad or repeated Content-Length")
        connection.scanned_bytes = 0
        connection.head_bytes = length
        limit = self._limits.header_bytes
        connection.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        return None

    def _process_events(self, sock: socket.socket, connection: CallerConnection) -> Failure | None:
        """Process the parsed events; return why the request is refused, or None."""
        parser = connection.parser
        assert parser is not None
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Request):
                connection.request = event
                refusal = self._check_request(event)
                if refusal is not None:
                    return refusal
                if b"transfer-encoding" in dict(event.headers):
                    connection.chunk_sizes = ChunkSizeParser()
                if parser.they_are_waiting_for_100_continue:
                    self.sockets.write(sock, _CONTINUE_RESPONSE)
            elif isinstance(event, h11.Data):
                connection.body += event.data
                if len(connection.body) > self._limits.body_bytes:
                    return failure("body_too_large", f"body over {self._limits.body_bytes} bytes")
            elif isinstance(event, h11.EndOfMessage):
                self._deliver(sock, connection)
                return None
            else:
                return None

    def _check_chunk_sizes(self, connection: CallerConnection, data: bytes) -> Failure | None:
        """Refuse a body by the declared sizes of its chunks, before its data has arrived."""
        body = data[connection.head_bytes :]
        connection.head_bytes = 0
        if connection.chunk_sizes is None or connection.responding:
            return None
        if connection.chunk_sizes.feed(body) <= self._limits.body_bytes:
            return None
        return failure("body_too_large", f"body over {self._limits.body_bytes} bytes")

    def _check_request(self, request: h11.Request) -> Failure | None:
        names = [name for name, _ in request.headers]
        chunked = b"transfer-encoding" in names
        if chunked and b"content-length" in names:
            return failure("bad_request", "both Content-Length and Transfer-Encoding are given")
        if request.http_version not in (b"1.0", b"1.1"):
            return failure("bad_request", "the protocol is not HTTP/1.0 or HTTP/1.1")
        if chunked and request.http_version == b"1.0":
            return failure("bad_request", "Transfer-Encoding is given in HTTP/1.0")
        if len(names) != len(set(names)):
            for name in _SINGLE_VALUE_HEADERS:
                if names.count(name) > 1:
                    return failure("bad_request", f"{name.decode()} is given more than once")
        if len(request.target) > self._limits.target_bytes:
            return failure("uri_too_long", f"target over {self._limits.target_bytes} bytes")
        if not origin_form(request.target.decode("ascii")).startswith("/"):
            return failure("bad_request", "the target is neither a path nor an http URL")
        length = dict(request.headers).get(b"content-length", b"0")
        if int(length) > self._limits.body_bytes:
            return failure("body_too_large", f"body over {self._limits.body_bytes} bytes")
        return None

    def _deliver(self, sock: socket.socket, connection: CallerConnection) -> None:
        request = connection.request
        assert request is not None
        connection.deadline = math.inf
        headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in request.headers}
        http_1_0 = request.http_version == b"1.0"
        options = [option.strip() for option in headers.get("connection", "").lower().split(",")]
        connection.keep_alive = not http_1_0 and "close" not in options
        connection.responding = True
        caller_request = CallerRequest(
            request.method.decode("ascii"),
            origin_form(request.target.decode("ascii")),
            headers,
            bytes(connection.body),
            connection.keep_alive,
            http_1_0,
            tuple(
                (k.decode("latin-1"), v.decode("latin-1")) for k, v in request.headers.raw_items()
            ),
        )
        self._on_request(sock, caller_request)

    def _set_deadline(
        self, sock: socket.socket, connection: CallerConnection, delay_s: float
    ) -> None:
        """Set a new deadline; a timer that fires before it is kept, which is the usual case."""
        connection.deadline = time.monotonic() + delay_s
        if connection.timer_due > connection.deadline:
            if connection.timer is not None:
                connection.timer.cancel()
            self._set_timer(sock, connection)

    def _set_timer(self, sock: socket.socket, connection: CallerConnection) -> None:
        connection.timer_due = connection.deadline
        delay_s = connection.deadline - time.monotonic()
        connection.timer = self._timers.after(delay_s, lambda: self._on_timer(sock, connection))

    def _on_timer(self, sock: socket.socket, connection: CallerConnection) -> None:
        connection.timer, connection.timer_due = None, math.inf
        if connection.responding or connection.refused:
            return
        if connection.deadline > time.monotonic():
            self._set_timer(sock, connection)
            return
        if connection.parser is None and not connection.input:
            if not self.sockets.has_input(sock):
                self.sockets.close(sock)
            return
        text = f"the request was not whole after {self._limits.request_s:g} s"
        self._refuse(sock, connection, failure("request_timeout", text))

    def _refuse(self, sock: socket.socket, connection: CallerConnection, refusal: Failure) -> None:
        """Send an error response and close, as the start of the next request is not known."""
        connection.refused = True
        connection.input.clear()
        if connection.timer is not None:
            connection.timer.cancel()
        self._on_refused(refusal)
        log_event(_LOGGER, "request_refused", code=refusal.kind.code, reason=refusal.message)
        body = error_body(refusal, "")
        head = (
            f"HTTP/1.1 {refusal.kind.status} Refused\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nX-Rudder-Outcome: {refusal.outcome}\r\n"
        )
        if refusal.retry_after_s is not None:
            head += f"Retry-After: {max(1, round(refusal.retry_after_s))}\r\n"
        head += "Connection: close\r\n\r\n"
        self.sockets.write(sock, head.encode() + body)
        self.sockets.close_lingering(sock)


def error_body(refusal: Failure, request_id: str) -> bytes:
    """Return the JSON body of an error response."""
    error = {
        "code": refusal.kind.code,
        "outcome": refusal.outcome,
        "message": refusal.message,
        "remedy": refusal.kind.remedy,
        "request_id": request_id,
    }
    return json.dumps({"error": error}).encode()
