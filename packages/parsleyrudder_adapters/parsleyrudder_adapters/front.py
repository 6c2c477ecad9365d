"""Caller front: circuits.web behind the request guard, and the answers that go back.

Each request becomes a :class:`CallerExchange`, which a handler answers whole or as a stream.
"""

import socket
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from circuits.core import BaseComponent, Event, handler
from circuits.web.events import response
from circuits.web.servers import BaseServer
from circuits.web.wrappers import Request, Response
from parsleyrudder import Failure, Outcome

from .guard import CallerRequest, Guard, GuardLimits, error_body
from .timers import Timers

__all__ = ["CallerExchange", "CallerFront", "CallerHandler"]

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
        "_front",
        "_res",
        "_sock",
        "ended",
        "head_sent",
        "on_gone",
        "request",
        "request_id",
    )

    def __init__(
        self, front: "CallerFront", sock: socket.socket, res: Response, request: CallerRequest
    ) -> None:
        self._front = front
        self._sock = sock
        self._res = res
        self.request = request
        self.request_id = ""
        self.head_sent = False
        self.ended = False
        self.on_gone: Callable[[], None] | None = None

    def answer(self, status: int, body: bytes, headers: Iterable[tuple[str, str]] = ()) -> None:
        """Send a whole answer."""
        if self.ended:
            return
        self._set_head(status, headers)
        self._res.body = b"" if self.request.method == "HEAD" else body
        self.head_sent = True
        self._front.fire(response(self._res), "web")
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
        self._set_head(status, headers)
        res = self._res
        res.stream = True
        res.body = ()
        res.headers.setdefault("Cache-Control", "no-cache")
        self.head_sent = True
        # Written at once and not by an event, so that it precedes the chunks.
        res.prepare()
        self._front.write(self._sock, bytes(res) + bytes(res.headers))

    def write(self, data: bytes) -> None:
        """Send a chunk of a streamed answer."""
        if self.ended or not data:
            return
        if self._res.chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._front.write(self._sock, data)

    def finish_stream(self) -> None:
        """End a streamed answer that is complete."""
        if self.ended:
            return
        if self._res.chunked:
            self._front.write(self._sock, b"0\r\n\r\n")
        self._front.forget(self._sock)
        self._end()

    def abort(self, discard: bool = False) -> None:
        """Close the connection without the end mark of the stream.

        :param discard: drop what the caller has not read yet, as it may never do so.
        """
        if not self.ended:
            self.ended = True
            self._front.abort(self._sock, discard)

    def buffered_bytes(self) -> int:
        """Return the bytes that the caller has not read yet."""
        return self._front.buffered_bytes(self._sock)

    def gone(self) -> None:
        """Note that the caller has disconnected."""
        if not self.ended:
            self.ended = True
            if self.on_gone is not None:
                self.on_gone()

    def _set_head(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        self._res.status = status
        for name, value in headers:
            self._res.headers[name] = value
        if self.request_id:
            self._res.headers["X-Request-Id"] = self.request_id
        self._res.headers.setdefault("X-Rudder-Outcome", Outcome.ANSWERED.value)
        if not self.request.keep_alive:
            self._res.close = True

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


class _Ended(Event):
    """An answer has been handed to circuits.web."""

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
        self.guard = Guard(timers, limits).register(self)
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
        """Put bytes into a connection's buffer, without an event of its own."""
        if sock in self._exchange_by_sock:
            self._web.server.write(sock, data)

    def buffered_bytes(self, sock: socket.socket) -> int:
        """Return the bytes in a connection's write buffer."""
        buffers = self._web.server._buffers
        return sum(map(len, buffers[sock])) if sock in buffers else 0

    def forget(self, sock: socket.socket) -> None:
        """Make circuits.web forget a streamed answer that was written past it."""
        self._web.http._clients.pop(sock, None)

    def end(self, sock: socket.socket) -> None:
        """Let the connection's next request in, after the events of the answer."""
        self._exchange_by_sock.pop(sock, None)
        self.fire(_Ended(sock), "web")

    def abort(self, sock: socket.socket, discard: bool = False) -> None:
        """Close a connection, once its buffer is written or has been discarded."""
        self._exchange_by_sock.pop(sock, None)
        self.forget(sock)
        if discard and sock in self._web.server._buffers:
            self._web.server._buffers[sock].clear()
        self._web.server.close(sock)

    @handler("answer_ended")
    def _on_answer_ended(self, sock: socket.socket) -> None:
        self.guard.done(sock)

    @handler("request", priority=1)
    def _on_request(self, event: Any, req: Request, res: Response) -> bool:
        event.stop()
        request = self.guard.take(req.sock)
        if request is None:
            return True
        if request.http_1_0:
            res.protocol = "HTTP/1.0"
        exchange = CallerExchange(self, req.sock, res, request)
        self._exchange_by_sock[req.sock] = exchange
        self._handler.on_request(exchange)
        return True

    @handler("disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        exchange = self._exchange_by_sock.pop(sock, None)
        if exchange is not None:
            exchange.gone()
