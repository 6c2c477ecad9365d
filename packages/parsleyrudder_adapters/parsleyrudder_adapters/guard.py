"""Request guard: framing, limits, time limits and pipelining of what callers send.

The parser of circuits.web answers only the first of pipelined requests, accepts both length
headers, shows tracebacks, takes headers without bound, redirects paths with escapes and waits for
ever for a short body. So the guard checks the bytes of each head itself, lets h11 parse the
request, and passes whole requests on, one at a time per connection.
"""

import json
import logging
import math
import re
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import h11
from parsleyrudder import Failure, failure

from .caller_request import CallerRequest, GuardLimits
from .caller_sockets import CallerSockets
from .chunk_sizes import ChunkSizes
from .logs import log_event
from .timers import Timer, Timers

__all__ = ["CallerRequest", "Guard", "GuardLimits", "error_body"]

_LOGGER = logging.getLogger(__name__)
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_HEAD_END = b"\r\n\r\n"
# h11 accepts bare LF and folded lines, which other parsers read differently (request smuggling).
_HEAD_FAULT = re.compile(rb"\x00|\r[^\n]|(?<!\r)\n|\n[ \t]")
_METHOD_START = re.compile(rb"[A-Za-z]")
_LENGTH = re.compile(rb"\r\ncontent-length[ \t]*:[ \t]*([^\r]*)", re.IGNORECASE)
_LENGTH_VALUE = re.compile(rb"[0-9]{1,18}[ \t]*")
_ABSOLUTE = re.compile(r"https?://[^/?#]*", re.IGNORECASE)
# A second value of these would make it ambiguous who calls, or what may be repeated.
_SINGLE = frozenset(
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
# Beyond the limit, so many connections still get an error answer; further ones are closed at once.
_REFUSED_CONNECTIONS = 64


@dataclass(slots=True)
class _Connection:
    """What a caller has sent.

    :ivar input: bytes received and not parsed yet.
    :ivar scanned: number of bytes of ``input`` that were searched for the end of the head.
    :ivar head_bytes: length of the head at the start of ``input``, until it is parsed.
    :ivar chunks: sizes of the body's chunks, if it comes in chunks.
    :ivar parser: parser of the request whose head has been received.
    :ivar deadline: time at which the caller has taken too long; infinite during an answer.
    :ivar timer_due: when the timer fires; it is set anew then if the deadline has moved on.
    """

    input: bytearray = field(default_factory=bytearray)
    scanned: int = 0
    head_bytes: int = 0
    chunks: ChunkSizes | None = None
    parser: h11.Connection | None = None
    request: h11.Request | None = None
    body: bytearray = field(default_factory=bytearray)
    keep_alive: bool = False
    busy: bool = False
    refused: bool = False
    deadline: float = math.inf
    timer: Timer | None = None
    timer_due: float = math.inf


class Guard:
    """Checks the input of all connections.

    :param on_request: called with each whole request; the connection's next one is passed on
        after :meth:`done`.
    :param on_gone: called when a connection closes on which a request is being answered.
    :param on_refused: called with each refused request's failure, for logs and metrics.
    """

    def __init__(
        self,
        timers: Timers,
        limits: GuardLimits,
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
        self._connection_by_sock: dict[socket.socket, _Connection] = {}

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connection_by_sock)

    def set_limits(self, limits: GuardLimits) -> None:
        """Enforce other limits from the next bytes on."""
        self._limits = limits

    def close_after_answer(self, sock: socket.socket) -> None:
        """Close a connection once the answer to its present request is written."""
        connection = self._connection_by_sock.get(sock)
        if connection is not None:
            connection.keep_alive = False

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for sock, connection in list(self._connection_by_sock.items()):
            if not connection.busy and not connection.input and connection.parser is None:
                self.sockets.close(sock)

    def open(self, sock: socket.socket) -> None:
        """Take over an accepted connection."""
        excess = len(self._connection_by_sock) - self._limits.connections
        if excess >= _REFUSED_CONNECTIONS:
            sock.close()
            return
        connection = self._connection_by_sock[sock] = _Connection()
        self.sockets.adopt(sock)
        if excess >= 0:
            text = f"{self._limits.connections} connections are open"
            self._refuse(sock, connection, failure("too_many_connections", text, 1.0))
            return
        self._expect(sock, connection, self._limits.idle_s)

    def done(self, sock: socket.socket) -> None:
        """Go on with the next request of a connection after an answer was written."""
        connection = self._connection_by_sock.get(sock)
        if connection is None or not connection.busy:
            return
        connection.busy = False
        if not connection.keep_alive:
            self.sockets.close(sock)
            return
        assert connection.parser is not None
        connection.input[:0] = connection.parser.trailing_data[0]
        connection.parser = None
        connection.chunks = None
        connection.request = None
        connection.body.clear()
        self.sockets.set_reading(sock, True)
        self._expect(sock, connection, self._limits.idle_s)
        if connection.input:
            self._parse(sock, connection, fresh=True)

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """See :class:`SocketOwner`."""
        connection = self._connection_by_sock[sock]
        if connection.refused:
            return
        fresh = not connection.input and connection.parser is None
        connection.input += data
        if not connection.busy:
            self._parse(sock, connection, fresh)
        elif len(connection.input) > self._limits.header_bytes:
            # Requests sent ahead stay in the kernel's buffer until the answer is written.
            self.sockets.set_reading(sock, False)

    def on_eof(self, sock: socket.socket) -> None:
        """Close; a caller that sends nothing more is taken as gone, as its answer may be costly."""
        if self._connection_by_sock[sock].busy:
            self.sockets.drop(sock)
        else:
            self.sockets.close(sock)

    def on_closed(self, sock: socket.socket) -> None:
        """See :class:`SocketOwner`."""
        connection = self._connection_by_sock.pop(sock, None)
        if connection is None:
            return
        if connection.timer is not None:
            connection.timer.cancel()
        if connection.busy:
            self._on_gone(sock)

    def _parse(self, sock: socket.socket, connection: _Connection, fresh: bool) -> None:
        """Parse the input as far as it goes.

        :param fresh: whether these are the first bytes of a request.
        """
        try:
            refusal = None if connection.parser else self._take_head(connection)
            if refusal is None and connection.parser is not None:
                data = bytes(connection.input)
                connection.input.clear()
                connection.parser.receive_data(data)
                refusal = self._advance(sock, connection) or self._check_chunks(connection, data)
        except h11.RemoteProtocolError as error:
            refusal = failure("bad_request", f"not a valid HTTP/1.1 request: {error}")
        if refusal is not None:
            self._refuse(sock, connection, refusal)
        elif fresh and not connection.busy:
            self._expect(sock, connection, self._limits.request_s)

    def _take_head(self, connection: _Connection) -> Failure | None:
        """Check the bytes of the head; make a parser once it is whole."""
        head = connection.input
        if head.startswith(b"\r\n"):
            del head[:2]  # RFC 9112 section 2.2: an empty line before a request is ignored.
        if head in (b"", b"\r"):
            return None
        if not _METHOD_START.match(head):
            return failure("bad_request", "the input does not begin with an HTTP method")
        end = head.find(_HEAD_END, max(0, connection.scanned - 3))
        length = len(head) if end < 0 else end + len(_HEAD_END)
        fault = _HEAD_FAULT.search(head, max(0, connection.scanned - 2), length)
        if fault is not None:
            folded = fault[0].startswith(b"\n") and len(fault[0]) > 1
            what = "a folded line" if folded else "a bare CR, a bare LF or a NUL"
            return failure("bad_request", f"{what} in the request line or headers")
        if length > self._limits.header_bytes:
            if b"\r\n" not in head[: self._limits.header_bytes]:
                return failure("uri_too_long", f"target over {self._limits.target_bytes} bytes")
            text = f"request line and headers over {self._limits.header_bytes} bytes"
            return failure("headers_too_large", text)
        if end < 0:
            connection.scanned = length
            return None
        lengths = _LENGTH.findall(head, 0, end)
        if len(lengths) > 1 or any(not _LENGTH_VALUE.fullmatch(value) for value in lengths):
            return failure("bad_request", "bad or repeated Content-Length")
        connection.scanned = 0
        connection.head_bytes = length
        limit = self._limits.header_bytes
        connection.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        return None

    def _advance(self, sock: socket.socket, connection: _Connection) -> Failure | None:
        """Take parsed events; return why the request is refused, or None."""
        parser = connection.parser
        assert parser is not None
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Request):
                connection.request = event
                refusal = self._check_head(event)
                if refusal is not None:
                    return refusal
                if b"transfer-encoding" in dict(event.headers):
                    connection.chunks = ChunkSizes()
                if parser.they_are_waiting_for_100_continue:
                    self.sockets.write(sock, _CONTINUE)
            elif isinstance(event, h11.Data):
                connection.body += event.data
                if len(connection.body) > self._limits.body_bytes:
                    return failure("body_too_large", f"body over {self._limits.body_bytes} bytes")
            elif isinstance(event, h11.EndOfMessage):
                self._pass_on(sock, connection)
                return None
            else:
                return None

    def _check_chunks(self, connection: _Connection, data: bytes) -> Failure | None:
        """Refuse a body whose chunks declare more than may be sent, before it has come."""
        body = data[connection.head_bytes :]
        connection.head_bytes = 0
        if connection.chunks is None or connection.busy:
            return None
        if connection.chunks.feed(body) <= self._limits.body_bytes:
            return None
        return failure("body_too_large", f"body over {self._limits.body_bytes} bytes")

    def _check_head(self, request: h11.Request) -> Failure | None:
        names = [name for name, _ in request.headers]
        chunked = b"transfer-encoding" in names
        if chunked and b"content-length" in names:
            return failure("bad_request", "both Content-Length and Transfer-Encoding are given")
        if request.http_version not in (b"1.0", b"1.1"):
            return failure("bad_request", "the protocol is not HTTP/1.0 or HTTP/1.1")
        if chunked and request.http_version == b"1.0":
            return failure("bad_request", "Transfer-Encoding is given in HTTP/1.0")
        if len(names) != len(set(names)):
            for name in _SINGLE:
                if names.count(name) > 1:
                    return failure("bad_request", f"{name.decode()} is given more than once")
        if len(request.target) > self._limits.target_bytes:
            return failure("uri_too_long", f"target over {self._limits.target_bytes} bytes")
        if not _origin_form(request.target.decode("ascii")).startswith("/"):
            return failure("bad_request", "the target is neither a path nor an http URL")
        length = dict(request.headers).get(b"content-length", b"0")
        if int(length) > self._limits.body_bytes:
            return failure("body_too_large", f"body over {self._limits.body_bytes} bytes")
        return None

    def _pass_on(self, sock: socket.socket, connection: _Connection) -> None:
        request = connection.request
        assert request is not None
        connection.deadline = math.inf
        headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in request.headers}
        http_1_0 = request.http_version == b"1.0"
        options = [option.strip() for option in headers.get("connection", "").lower().split(",")]
        connection.keep_alive = not http_1_0 and "close" not in options
        connection.busy = True
        passed = CallerRequest(
            request.method.decode("ascii"),
            _origin_form(request.target.decode("ascii")),
            headers,
            bytes(connection.body),
            connection.keep_alive,
            http_1_0,
            tuple(
                (k.decode("latin-1"), v.decode("latin-1")) for k, v in request.headers.raw_items()
            ),
        )
        self._on_request(sock, passed)

    def _expect(self, sock: socket.socket, connection: _Connection, delay_s: float) -> None:
        """Give the caller some time; most often the timer of an earlier request serves again."""
        connection.deadline = time.monotonic() + delay_s
        if connection.timer_due > connection.deadline:
            if connection.timer is not None:
                connection.timer.cancel()
            self._set_timer(sock, connection)

    def _set_timer(self, sock: socket.socket, connection: _Connection) -> None:
        connection.timer_due = connection.deadline
        delay_s = connection.deadline - time.monotonic()
        connection.timer = self._timers.after(delay_s, lambda: self._on_timer(sock, connection))

    def _on_timer(self, sock: socket.socket, connection: _Connection) -> None:
        connection.timer, connection.timer_due = None, math.inf
        if connection.busy or connection.refused:
            return
        if connection.deadline > time.monotonic():
            self._set_timer(sock, connection)
            return
        if connection.parser is None and not connection.input:
            self.sockets.close(sock)
            return
        text = f"the request was not whole after {self._limits.request_s:g} s"
        self._refuse(sock, connection, failure("request_timeout", text))

    def _refuse(self, sock: socket.socket, connection: _Connection, refusal: Failure) -> None:
        """Answer with an error and close; what follows on the connection can't be framed."""
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
            "Connection: close\r\n\r\n"
        )
        self.sockets.write(sock, head.encode() + body)
        self.sockets.linger(sock)


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


def _origin_form(target: str) -> str:
    """Return path and query of a target; servers must accept absolute targets (RFC 9112, 3.2.2)."""
    match = _ABSOLUTE.match(target)
    if match is None:
        return target
    rest = target[match.end() :]
    return rest if rest.startswith("/") else "/" + rest
