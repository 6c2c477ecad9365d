"""Processes of the relay measurement: a server of fixed responses and two relays.

``python -m parsleyrudder_standins.relay_processes ROLE PORT... [--to=ADDRESS] [--profile=FILE]``

Roles: ``source`` serves the responses, ``plain`` relays bytes between sockets, and ``edges`` relays
requests through the HTTP server and client of the router, without its routing.
"""

import asyncio
import cProfile
import json
import select
import signal
import socket
import sys

from circuits.core import BaseComponent, handler
from parsleyrudder_adapters.http_client import HttpClient, HttpRequest
from parsleyrudder_adapters.http_server import CallerExchange, HttpServer
from parsleyrudder_adapters.poller import LoopPoller
from parsleyrudder_adapters.request_reader import RequestLimits
from parsleyrudder_adapters.timers import Timers

__all__ = ["EVENT", "SHORT_BODY", "run_http_relay", "run_socket_relay", "run_source"]

EVENT_BYTES = 200
EVENT_INTERVAL_S = 0.01
_READ_BYTES = 65536


def _encode_event(length: int) -> bytes:
    choice = {"index": 0, "delta": {"content": "@"}, "finish_reason": None}
    text = b"data: " + json.dumps({"object": "chunk", "choices": [choice]}).encode() + b"\n\n"
    return text.replace(b"@", b"w" * (length - len(text) + 1))


EVENT = _encode_event(EVENT_BYTES)
SHORT_BODY = b'{"level": 17, "unit": "bottles", "place": "recife"}'
_STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
_SHORT_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
    % (
        len(SHORT_BODY),
        SHORT_BODY,
    )
)


def _encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class _Source(asyncio.Protocol):
    """Sends streams of ``max_tokens`` events, one each 10 ms, and short complete responses."""

    def __init__(self) -> None:
        self._buffer = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            head, _, rest = self._buffer.partition(b"\r\n\r\n")
            lines = head.lower().split(b"\r\n")
            lengths = [line[15:] for line in lines if line.startswith(b"content-length:")]
            length = int(lengths[0]) if lengths else 0
            if len(rest) < length:
                return
            body, self._buffer = rest[:length], rest[length:]
            if b"/v1/chat/completions" in lines[0]:
                asyncio.ensure_future(self._stream(json.loads(body)["max_tokens"]))
            else:
                self._transport.write(_SHORT_RESPONSE)

    async def _stream(self, count: int) -> None:
        transport, loop = self._transport, asyncio.get_running_loop()
        assert transport is not None
        transport.write(_STREAM_HEAD)
        started_at = loop.time()
        for index in range(count):
            await asyncio.sleep(started_at + index * EVENT_INTERVAL_S - loop.time())
            transport.write(_encode_chunk(EVENT))
        transport.write(_encode_chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")


async def run_source(ports: list[int]) -> None:
    """Serve responses until SIGTERM."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    for port in ports:
        await loop.create_server(_Source, "127.0.0.1", port)
    await stop.wait()


def run_socket_relay(port: int, target: str) -> None:
    """Relay bytes between each accepted connection and a new connection to the target."""
    host, _, number = target.partition(":")
    poller = select.epoll()
    listener = socket.create_server(("127.0.0.1", port))
    poller.register(listener, select.EPOLLIN)
    peer_by_fd: dict[int, tuple[socket.socket, socket.socket]] = {}
    while True:
        for fd, _ in poller.poll():
            if fd == listener.fileno():
                caller, _ = listener.accept()
                server = socket.create_connection((host, int(number)))
                for sock, other in ((caller, server), (server, caller)):
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    poller.register(sock, select.EPOLLIN)
                    peer_by_fd[sock.fileno()] = (sock, other)
            elif fd in peer_by_fd:
                sock, other = peer_by_fd[fd]
                data = sock.recv(_READ_BYTES)
                if data:
                    other.sendall(data)
                    continue
                for closed in (sock, other):
                    del peer_by_fd[closed.fileno()]
                    poller.unregister(closed)
                    closed.close()


class _RelayHandler:
    """Relays each request to the target without any routing or admission."""

    def __init__(self, client: HttpClient, target: str) -> None:
        self._client = client
        self._target = target

    def on_request(self, exchange: CallerExchange) -> None:
        """See :class:`RequestHandler`."""
        request = exchange.request
        message = HttpRequest(request.method, request.target, [], request.body, reuse=True)
        listener = _ResponseRelay(exchange)
        handle = self._client.send(self._target, message, listener)
        exchange.on_gone = handle.cancel


class _ResponseRelay:
    def __init__(self, exchange: CallerExchange) -> None:
        self._exchange = exchange
        self._stream = False
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._body = b""

    def on_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        self._status = status
        self._headers = [pair for pair in headers if pair[0] == "content-type"]
        self._stream = ("content-type", "text/event-stream") in headers
        if self._stream:
            self._exchange.start_stream(status, self._headers)

    def on_data(self, data: bytes) -> None:
        if self._stream:
            self._exchange.write(data)
        else:
            self._body += data

    def on_end(self) -> None:
        if self._stream:
            self._exchange.finish_stream()
        else:
            self._exchange.respond(self._status, self._body, self._headers)

    def on_failed(self, sent: bool, reason: str) -> None:
        self._exchange.abort()


class _RelayComponent(BaseComponent):
    channel = "relay"

    @handler("started", channel="*")
    def _on_started(self, component: object) -> None:
        # Set after the start, since circuits installs its own signal handlers when the loop starts.
        signal.signal(signal.SIGTERM, lambda number, frame: self.stop())


def run_http_relay(port: int, target: str) -> None:
    """Relay requests through the HTTP server and client until SIGTERM."""
    root = _RelayComponent()
    LoopPoller().register(root)
    timers = Timers().register(root)
    # A signal does not interrupt the wait for socket events, so a timer does it regularly.
    timers.every(0.2, lambda: None)
    client = HttpClient(timers).register(root)
    limits = RequestLimits(connections=1000)
    HttpServer(timers, ("127.0.0.1", port), limits, _RelayHandler(client, target)).register(root)
    root.run()


def _main(arguments: list[str]) -> None:
    options = dict(a[2:].split("=", 1) for a in arguments if a.startswith("--"))
    role, *ports = [a for a in arguments if not a.startswith("--")]
    profiler = cProfile.Profile()
    if "profile" in options:
        profiler.enable()
    if role == "source":
        asyncio.run(run_source([int(port) for port in ports]))
    elif role == "plain":
        run_socket_relay(int(ports[0]), options["to"])
    else:
        run_http_relay(int(ports[0]), options["to"])
    if "profile" in options:
        profiler.disable()
        profiler.dump_stats(options["profile"])


if __name__ == "__main__":
    _main(sys.argv[1:])
