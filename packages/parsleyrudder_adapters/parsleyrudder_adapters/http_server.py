"""HTTP server for callers: accepts connections and writes the responses.

The listener accepts the connections (see :mod:`.listener`). The request parser and the response
writer of circuits.web are not used: the request reader (see :mod:`.request_reader`) delivers
complete requests. Each becomes a :class:`CallerExchange`, to which a handler responds at once or as
a stream.
"""

import functools
import http
import logging
import re
import socket
import time
from collections.abc import Callable, Iterable
from email.utils import formatdate
from typing import Protocol

from circuits.core import BaseComponent, Event, handler
from parsleyrudder import Failure, Outcome, failure

from .listener import Listener
from .logs import log_event
from .request_reader import CallerRequest, RequestLimits, RequestReader, error_body
from .timers import Timers

__all__ = ["CallerExchange", "HttpServer", "RequestHandler"]

_LOGGER = logging.getLogger(__name__)
_HEADER_NAME = re.compile(r"[-!#$%&'*+.^_`|~0-9a-zA-Z]+")
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
# Headers of a response from a backend server that are not forwarded, as this HTTP server frames the
# response itself.
_RESERVED_HEADERS = frozenset(
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
_REASON_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}
_BODILESS_STATUSES = (204, 205, 304)


class RequestHandler(Protocol):
    """Handler that responds to requests."""

    def on_request(self, exchange: "CallerExchange") -> None:
        """Start to respond to a request."""
        ...


class CallerExchange:
    """One request of a caller and the response to it.

    :ivar ended: whether the response is complete or aborted, or the caller has disconnected.
    :ivar on_gone: called if the caller disconnects before the response is complete.
    """

    __slots__ = (
        "_chunked",
        "_server",
        "_sock",
        "ended",
        "head_sent",
        "on_gone",
        "request",
        "request_id",
    )

    def __init__(self, server: "HttpServer", sock: socket.socket, request: CallerRequest) -> None:
        self._server = server
        self._sock = sock
        self._chunked = False
        self.request = request
        self.request_id = ""
        self.head_sent = False
        self.ended = False
        self.on_gone: Callable[[], None] | None = None

    def is_gone(self) -> bool:
        """Whether the caller has closed the connection, even if the loop has not handled it yet.

        An event loop that lags may process a request long before the close of its connection.
        """
        if self.ended:
            return True
        try:
            return self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def respond(self, status: int, body: bytes, headers: Iterable[tuple[str, str]] = ()) -> None:
        """Send a complete response."""
        if self.ended:
            return
        lines = self._head_lines(status, headers)
        if status in _BODILESS_STATUSES:
            body = b""
        if status not in (204, 304):
            lines.append(f"Content-Length: {len(body)}")
        if self.request.method == "HEAD":
            body = b""
        self.head_sent = True
        self._server.write(self._sock, _encode_head(lines) + body)
        self._finish()

    def respond_json(
        self, status: int, body: bytes, headers: Iterable[tuple[str, str]] = ()
    ) -> None:
        """Send a complete JSON response."""
        self.respond(status, body, [("Content-Type", "application/json"), *headers])

    def fail(self, refusal: Failure, headers: Iterable[tuple[str, str]] = ()) -> None:
        """Send an error response; a started stream gets an error event and is aborted."""
        if self.ended:
            return
        body = error_body(refusal, self.request_id)
        if self.head_sent:
            self.write(b"event: error\ndata: " + body + b"\n\n")
            self.abort()
            return
        extra_headers = [("X-Rudder-Outcome", refusal.outcome.value), *headers]
        if refusal.retry_after_s is not None:
            extra_headers.append(("Retry-After", str(max(1, round(refusal.retry_after_s)))))
        self.respond_json(refusal.kind.status, body, extra_headers)

    def start_stream(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Send the head of a streamed response."""
        if self.ended:
            return
        lines = self._head_lines(status, headers)
        if not any(line.lower().startswith("cache-control:") for line in lines):
            lines.append("Cache-Control: no-cache")
        # Without chunks (HTTP/1.0), the close of the connection ends the response.
        self._chunked = not self.request.http_1_0
        if self._chunked:
            lines.append("Transfer-Encoding: chunked")
        self.head_sent = True
        self._server.write(self._sock, _encode_head(lines))

    def write(self, data: bytes) -> None:
        """Send a chunk of a streamed response."""
        if self.ended or not data or self.request.method == "HEAD":
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._server.write(self._sock, data)

    def finish_stream(self) -> None:
        """End a streamed response that is complete."""
        if self.ended:
            return
        if self._chunked and self.request.method != "HEAD":
            self._server.write(self._sock, b"0\r\n\r\n")
        self._finish()

    def abort(self, discard: bool = False) -> None:
        """Close the connection so that the caller can tell that the response is incomplete.

        :param discard: discard buffered bytes, as the caller may never read them.
        """
        if not self.ended:
            self.ended = True
            # A chunked response lacks its last chunk; one that ends with the connection needs a
            # reset to be distinguishable from a complete one.
            self._server.abort(self._sock, reset=discard or not self._chunked)

    def buffered_bytes(self) -> int:
        """Return the number of bytes that are buffered for the caller."""
        return self._server.buffered_bytes(self._sock)

    def close_after_response(self) -> None:
        """Announce the close of the connection in the response, and close it after the response.

        Nothing is done once the head is sent: the caller may send its next request then.
        """
        if not self.head_sent:
            self.request.keep_alive = False
            self._server.request_reader.close_after_response(self._sock)

    def notify_gone(self) -> None:
        """Handle the disconnect of the caller."""
        if not self.ended:
            self.ended = True
            if self.on_gone is not None:
                self.on_gone()

    def _head_lines(self, status: int, headers: Iterable[tuple[str, str]]) -> list[str]:
        lines = [
            f"HTTP/1.1 {status} {_REASON_PHRASES.get(status, '')}",
            f"Date: {_http_date(int(time.time()))}",
        ]
        value_by_name = {"X-Rudder-Outcome": Outcome.ANSWERED.value}
        cookies = []
        for name, value in headers:
            if name.lower() in _RESERVED_HEADERS:
                continue
            if not _HEADER_NAME.fullmatch(name) or not _HEADER_VALUE.fullmatch(value):
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

    def _finish(self) -> None:
        self.ended = True
        self._server.finish_exchange(self._sock)


class _Ended(Event):
    """A response is complete."""

    name = "answer_ended"


class HttpServer(BaseComponent):
    """Listens for callers and hands their requests to a handler.

    :param bind: host and port; port 0 selects a free port.
    :ivar accepted_count: number of connections accepted so far.
    """

    channel = "web"

    def __init__(
        self, timers: Timers, bind: tuple[str, int], limits: RequestLimits, handler: RequestHandler
    ) -> None:
        super().__init__()
        self.request_reader = RequestReader(timers, limits, self._on_request, self._on_gone)
        self._sockets = self.request_reader.sockets.register(self)
        self._listener = Listener(timers, bind, self._on_accepted).register(self)
        self._handler = handler
        self._exchange_by_sock: dict[socket.socket, CallerExchange] = {}
        self._announces_close = False
        self.accepted_count = 0

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return int(self._listener.port)

    @property
    def open_exchanges(self) -> int:
        """Number of requests whose responses are not complete."""
        return len(self._exchange_by_sock)

    @property
    def connection_count(self) -> int:
        """Number of open connections, idle ones included."""
        return self.request_reader.connection_count

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether a part of a response is buffered for any caller."""
        return self._sockets.has_unsent_bytes

    @property
    def is_drained(self) -> bool:
        """Whether no request is open and all responses have been sent, after :meth:`begin_stop`."""
        return not (
            self._exchange_by_sock
            or self.request_reader.has_open_requests
            or self._sockets.has_unsent_bytes
        )

    def announce_close(self) -> None:
        """Announce in each response from now on that its connection is closed after it.

        A caller that is not told so may send its next request as the connection is closed.
        """
        self._announces_close = True
        for exchange in self._exchange_by_sock.values():
            exchange.close_after_response()

    def begin_stop(self) -> None:
        """Accept the pending connections, close the listening socket and the idle connections."""
        self.announce_close()
        self._listener.stop_listening()
        self.request_reader.begin_stop()

    def write(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes of a response."""
        self._sockets.write(sock, data)

    def buffered_bytes(self, sock: socket.socket) -> int:
        """Return the number of bytes that are buffered for a caller."""
        return self._sockets.buffered_bytes(sock)

    def finish_exchange(self, sock: socket.socket) -> None:
        """Allow the next request on the connection, once the code that responded has returned."""
        self._exchange_by_sock.pop(sock, None)
        self.fire(_Ended(sock), "web")

    def abort(self, sock: socket.socket, reset: bool) -> None:
        """Close a connection whose response is not complete.

        :param reset: whether to discard buffered bytes and reset the connection.
        """
        self._exchange_by_sock.pop(sock, None)
        if reset:
            self._sockets.drop(sock, reset=True)
        else:
            self._sockets.close(sock)

    def _on_accepted(self, sock: socket.socket) -> None:
        self.accepted_count += 1
        self.request_reader.add_connection(sock)

    @handler("answer_ended")
    def _on_answer_ended(self, sock: socket.socket) -> None:
        self.request_reader.finish_response(sock)

    def _on_request(self, sock: socket.socket, request: CallerRequest) -> None:
        exchange = self._exchange_by_sock[sock] = CallerExchange(self, sock, request)
        if self._announces_close:
            exchange.close_after_response()
        try:
            self._handler.on_request(exchange)
        except Exception:
            _LOGGER.exception("event=request_handler_failed")
            exchange.fail(failure("internal_error", "the router failed to handle the request"))

    def _on_gone(self, sock: socket.socket) -> None:
        exchange = self._exchange_by_sock.pop(sock, None)
        if exchange is not None:
            exchange.notify_gone()


def _encode_head(lines: list[str]) -> bytes:
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


@functools.lru_cache(maxsize=1)
def _http_date(second: int) -> str:
    return formatdate(second, usegmt=True)
