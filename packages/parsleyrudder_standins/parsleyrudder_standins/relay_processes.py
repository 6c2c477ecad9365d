"""Processes of the relay measurement: a source of answers, a plain loop and the edges alone.

``python -m parsleyrudder_standins.relay_processes ROLE PORT... [--to=ADDRESS] [--profile=FILE]``
with one of the roles ``source``, ``plain`` and ``edges``.
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

__all__ = ["EVENT", "SHORT_BODY", "run_edges", "run_plain", "run_source"]

EVENT_BYTES = 200
STEP_S = 0.01
_READ_BYTES = 65536


def _event(length: int) -> bytes:
    choice = {"index": 0, "delta": {"content": "@"}, "finish_reason": None}
    text = b"data: " + json.dumps({"object": "chunk", "choices": [choice]}).encode() + b"\n\n"
    return text.replace(b"@", b"w" * (length - len(text) + 1))


EVENT = _event(EVENT_BYTES)
SHORT_BODY = b'{"level": 17, "unit": "bottles", "place": "recife"}'
_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
_SHORT = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b" % (
    len(SHORT_BODY),
    SHORT_BODY,
)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class _Source(asyncio.Protocol):
    """Answers streams of ``max_tokens`` events, one each 10 ms, and short whole answers."""

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
                self._transport.write(_SHORT)

    async def _stream(self, count: int) -> None:
        transport, loop = self._transport, asyncio.get_running_loop()
        assert transport is not None
        transport.write(_HEAD)
        begun = loop.time()
        for index in range(count):
            await asyncio.sleep(begun + index * STEP_S - loop.time())
            transport.write(_chunk(EVENT))
        transport.write(_chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")


async def run_source(ports: list[int]) -> None:
    """Serve answers until SIGTERM."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    for port in ports:
        await loop.create_server(_Source, "127.0.0.1", port)
    await stop.wait()


def run_plain(port: int, target: str) -> None:
    """Read and write the bytes of each connection and of its own one to the target."""
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
                for each in (sock, other):
                    del peer_by_fd[each.fileno()]
                    poller.unregister(each)
                    each.close()


class _Edges:
    """Relays each request to the target through the HTTP server and client, and nothing else."""

    def __init__(self, client: HttpClient, target: str) -> None:
        self._client = client
        self._target = target

    def on_request(self, exchange: CallerExchange) -> None:
        """See :class:`RequestHandler`."""
        request = exchange.request
        message = HttpRequest(request.method, request.target, [], request.body, reuse=True)
        listener = _Relay(exchange)
        handle = self._client.send(self._target, message, listener)
        exchange.on_gone = handle.cancel


class _Relay:
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


class _Root(BaseComponent):
    channel = "relay"

    @handler("started", channel="*")
    def _on_started(self, component: object) -> None:
        # circuits installs its own handlers when the loop starts.
        signal.signal(signal.SIGTERM, lambda number, frame: self.stop())


def run_edges(port: int, target: str) -> None:
    """Relay until SIGTERM."""
    root = _Root()
    LoopPoller().register(root)
    timers = Timers().register(root)
    # A signal does not end the wait for sockets; a timer does.
    timers.every(0.2, lambda: None)
    client = HttpClient(timers).register(root)
    limits = RequestLimits(connections=1000)
    HttpServer(timers, ("127.0.0.1", port), limits, _Edges(client, target)).register(root)
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
        run_plain(int(ports[0]), options["to"])
    else:
        run_edges(int(ports[0]), options["to"])
    if "profile" in options:
        profiler.disable()
        profiler.dump_stats(options["profile"])


if __name__ == "__main__":
    _main(sys.argv[1:])
