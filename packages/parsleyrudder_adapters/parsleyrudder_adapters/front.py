"""Caller front: listens for callers and writes the answers that go back.

circuits.web accepts the connections; its parser and its writer of answers are left out. The guard
(see :mod:`.guard`) makes the requests, and each becomes a :class:`CallerExchange`, which a handler
answers whole or as a stream.
"""

import functools
import http
import logging
import re
import socket
import time
from collections.abc import Callable, Iterable
from email.utils import formatdate
from typing import Any, Protocol

from circuits.core import BaseComponent, Event, handler
from circuits.web.servers import BaseServer
from parsleyrudder import Failure, Outcome, failure

from .guard import CallerRequest, Guard, GuardLimits, error_body
from .logs import log_event
from .timers import Timers

__all__ = ["CallerExchange", "CallerFront", "CallerHandler"]

_LOGGER = logging.getLogger(__name__)
_NAME = re.compile(r"[-!#$%&'*+.^_`|~0-9a-zA-Z]+")
_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
# The front frames the answers, so a server's framing must not be passed on.
_OWN_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}
_BODILESS = (204, 205, 304)
_BACKLOG = 128


class CallerHandler(Protocol):
    """What answers requests."""

    def on_request(self, exchange: "CallerExchange") -> None:
        """Begin to answer a request."""
        ...


class CallerExchange:
    """One request of a caller and the answer to it.

    :ivar on_gone: called if the caller disconnects before the answer is complete.
    """

    __slots__ = (
        "_chunked",
        "_front",
        "_sock",
        "ended",
        "head_sent",
        "on_gone",
        "request",
        "request_id",
    )

    def __init__(self, front: "CallerFront", sock: socket.socket, request: CallerRequest) -> None:
        self._front = front
        self._sock = sock
        self._chunked = False
        self.request = request
        self.request_id = ""
        self.head_sent = False
        self.ended = False
        self.on_gone: Callable[[], None] | None = None

    def has_left(self) -> bool:
        """Whether the caller has closed the connection, also if the loop has yet to notice it.

        A loop that lags reads a request and only much later that its caller has gone.
        """
        if self.ended:
            return True
        try:
            return self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def answer(self, status: int, body: bytes, headers: Iterable[tuple[str, str]] = ()) -> None:
        """Send a whole answer."""
        if self.ended:
            return
        lines = self._head(status, headers)
        if status in _BODILESS:
            body = b""
        if status not in (204, 304):
            lines.append(f"Content-Length: {len(body)}")
        if self.request.method == "HEAD":
            body = b""
        self.head_sent = True
        self._front.write(self._sock, _join(lines) + body)
        self._end()

    def answer_json(
        self, status: int, body: bytes, headers: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Send a whole JSON answer."""
        self.answer(status, body, [("Content-Type", "application/json"), *headers])

    def fail(self, refusal: Failure, headers: Iterable[tuple[str, str]] = ()) -> None:
        """Send an error answer; a stream that has begun gets an error event and is cut."""
        if self.ended:
            return
        body = error_body(refusal, self.request_id)
        if self.head_sent:
            self.write(b"event: error\ndata: " + body + b"\n\n")
            self.abort()
            return
        extra = [("X-Rudder-Outcome", refusal.outcome.value), *headers]
        if refusal.retry_after_s is not None:
            extra.append(("Retry-After", str(max(1, round(refusal.retry_after_s)))))
        self.answer_json(refusal.kind.status, body, extra)

    def start_stream(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Send the head of a streamed answer."""
        if self.ended:
            return
        lines = self._head(status, headers)
        if not any(line.lower().startswith("cache-control:") for line in lines):
            lines.append("Cache-Control: no-cache")
        # Without chunks (HTTP/1.0) the end of the connection ends the answer.
        self._chunked = not self.request.http_1_0
        if self._chunked:
            lines.append("Transfer-Encoding: chunked")
        self.head_sent = True
        self._front.write(self._sock, _join(lines))

    def write(self, data: bytes) -> None:
        """Send a chunk of a streamed answer."""
        if self.ended or not data or self.request.method == "HEAD":
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._front.write(self._sock, data)

    def finish_stream(self) -> None:
        """End a streamed answer that is complete."""
        if self.ended:
            return
        if self._chunked and self.request.method != "HEAD":
            self._front.write(self._sock, b"0\r\n\r\n")
        self._end()

    def abort(self, discard: bool = False) -> None:
        """Close the connection so that the caller sees that the answer is not complete.

        :param discard: drop what the caller has not read yet, as it may never do so.
        """
        if not self.ended:
            self.ended = True
            # A chunked answer lacks its last chunk; one that ends with the connection needs a
            # reset to look different from a complete one.
            self._front.abort(self._sock, reset=discard or not self._chunked)

    def buffered_bytes(self) -> int:
        """Return the bytes that the caller has not read yet."""
        return self._front.buffered_bytes(self._sock)

    def close_after_answer(self) -> None:
        """Announce in the answer that the connection closes after it, and close it then."""
        self.request.keep_alive = False
        self._front.guard.close_after_answer(self._sock)

    def gone(self) -> None:
        """Note that the caller has disconnected."""
        if not self.ended:
            self.ended = True
            if self.on_gone is not None:
                self.on_gone()

    def _head(self, status: int, headers: Iterable[tuple[str, str]]) -> list[str]:
        lines = [
            f"HTTP/1.1 {status} {_REASONS.get(status, '')}",
            f"Date: {_date(int(time.time()))}",
        ]
        value_by_name = {"X-Rudder-Outcome": Outcome.ANSWERED.value}
        cookies = []
        for name, value in headers:
            if name.lower() in _OWN_HEADERS:
                continue
            if not _NAME.fullmatch(name) or not _VALUE.fullmatch(value):
                log_event(_LOGGER, "answer_header_dropped", logging.WARNING, name=name)
            elif name.lower() == "set-cookie":
                cookies.append(f"{name}: {value}")
            else:
                value_by_name[name.title()] = value
        if self.request_id:
            value_by_name["X-Request-Id"] = self.request_id
        lines += [f"{name}: {value}" for name, value in value_by_name.items()]
        lines += cookies
        if not self.request.keep_alive:
            lines.append("Connection: close")
        return lines

    def _end(self) -> None:
        self.ended = True
        self._front.end(self._sock)


class _Server(BaseServer):
    """circuits.web's server without its own signal handling, which would cut calls in flight."""

    @handler("signal", override=True)
    def _on_signal(self, *args: Any) -> None:
        """Leave signals to the application object."""

    @handler("ready", override=True)
    def _on_ready(self, server: Any, bind: Any) -> None:
        """Leave the log to the application object."""

    def release(self, sock: socket.socket) -> bool:
        """Give up a connection that was accepted; return whether it was still there."""
        if sock not in self.server._clients:
            return False
        self.server._clients.remove(sock)
        self.server._poller.discard(sock)
        return True


class _Ended(Event):
    """An answer is complete."""

    name = "answer_ended"


class CallerFront(BaseComponent):
    """The listening side towards callers.

    :param bind: host and port; port 0 takes a free one.
    """

    channel = "web"

    def __init__(
        self, timers: Timers, bind: tuple[str, int], limits: GuardLimits, handler: CallerHandler
    ) -> None:
        super().__init__()
        self.guard = Guard(timers, limits, self._on_request, self._on_gone)
        self._sockets = self.guard.sockets.register(self)
        self._web = _Server(bind, display_banner=False).register(self)
        self._handler = handler
        self._exchange_by_sock: dict[socket.socket, CallerExchange] = {}

    @property
    def port(self) -> int:
        """Port that the front listens on."""
        return int(self._web.port)

    @property
    def open_exchanges(self) -> int:
        """Number of requests that are being answered."""
        return len(self._exchange_by_sock)

    def stop_listening(self) -> None:
        """Take the connections that wait to be accepted, and no more after that."""
        server = self._web.server
        for _ in range(_BACKLOG):
            for _ in server._accept():
                pass
        server._close(server._sock)

    def write(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes of an answer."""
        self._sockets.write(sock, data)

    def buffered_bytes(self, sock: socket.socket) -> int:
        """Return the bytes that a caller has not read yet."""
        return self._sockets.buffered_bytes(sock)

    def end(self, sock: socket.socket) -> None:
        """Let the connection's next request in, once the code that answered has returned."""
        self._exchange_by_sock.pop(sock, None)
        self.fire(_Ended(sock), "web")

    def abort(self, sock: socket.socket, reset: bool) -> None:
        """Close a connection whose answer is not complete.

        :param reset: whether to drop what is buffered and reset the connection.
        """
        self._exchange_by_sock.pop(sock, None)
        if reset:
            self._sockets.drop(sock, reset=True)
        else:
            self._sockets.close(sock)

    @handler("connect")
    def _on_connect(self, sock: socket.socket, *address: object) -> None:
        if self._web.release(sock):
            self.guard.open(sock)

    @handler("answer_ended")
    def _on_answer_ended(self, sock: socket.socket) -> None:
        self.guard.done(sock)

    def _on_request(self, sock: socket.socket, request: CallerRequest) -> None:
        exchange = self._exchange_by_sock[sock] = CallerExchange(self, sock, request)
        try:
            self._handler.on_request(exchange)
        except Exception:
            _LOGGER.exception("event=request_handler_failed")
            exchange.fail(failure("internal_error", "the router failed to handle the request"))

    def _on_gone(self, sock: socket.socket) -> None:
        exchange = self._exchange_by_sock.pop(sock, None)
        if exchange is not None:
            exchange.gone()


def _join(lines: list[str]) -> bytes:
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


@functools.lru_cache(maxsize=1)
def _date(second: int) -> str:
    return formatdate(second, usegmt=True)
