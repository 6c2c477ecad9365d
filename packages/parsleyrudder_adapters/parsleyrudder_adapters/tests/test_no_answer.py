"""Random use of an HTTP server: each whole request that reaches an open connection is answered.

All steps run in the thread of the event loop, so that the server can't close a connection between
the look at it and the send.
"""

import random
import re
import socket
import time

import pytest
from parsleyrudder_adapters.http_server import HttpServer
from parsleyrudder_adapters.request_reader import RequestLimits

STEPS = 150
MAX_OPEN = 10
# Few enough that each connection beyond the limit still gets a refusal.
MAX_CALLERS = 60
REQUESTS = (
    b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 300\r\n\r\n" + b"x" * 300,
    b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    b"GET /d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
)
HEAD = re.compile(rb"HTTP/1\.1 \d{3} .*?\r\n\r\n", re.DOTALL)


class Handler:
    """Answers each request, at once or later; once it stops, it closes the connections."""

    def __init__(self, rng, timers):
        self.rng = rng
        self.timers = timers
        self.is_stopping = False

    def on_request(self, exchange):
        if self.is_stopping:
            exchange.close_after_response()
        delay_s = self.rng.choice((0.0, 0.0, 0.01, 0.05))
        if delay_s:
            self.timers.after(delay_s, lambda: exchange.respond(200, b"done"))
        else:
            exchange.respond(200, b"done")


class Caller:
    """One connection of a caller.

    :ivar unanswered: number of whole requests that were sent while the connection was open.
    :ivar rest: bytes that are missing of the request that was begun.
    """

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.unanswered = 0
        self.rest = b""
        self.is_open = True
        self.announced_close = False

    def receive(self):
        """Read the responses that have arrived."""
        while self.is_open:
            try:
                data = self.sock.recv(65536)
            except BlockingIOError:
                return
            except ConnectionError:
                data = b""
            for head in HEAD.findall(data):
                self.unanswered -= 1
                self.announced_close |= b"Connection: close" in head
            self.is_open = bool(data)

    def send(self, data, is_whole):
        """Send bytes if the connection is open and is to be kept."""
        self.receive()
        if self.is_open and not self.announced_close:
            self.sock.sendall(data)
            self.unanswered += is_whole

    def send_half(self, request, position):
        self.send(request[:position], False)
        self.rest = request[position:]

    def send_rest(self):
        self.send(self.rest, True)
        self.rest = b""

    @property
    def is_settled(self):
        self.receive()
        return not self.is_open or self.unanswered <= 0

    @property
    def lost_count(self):
        """Number of requests whose connection was closed without any response or announcement."""
        return 0 if self.is_open or self.announced_close else max(0, self.unanswered)


class Scene:
    """A server, its callers, and the random steps."""

    def __init__(self, loop, seed):
        self.loop = loop
        self.rng = random.Random(seed)
        self.handler = Handler(self.rng, loop.timers)
        self.connections = self.rng.choice((3, 8, 64))
        self.callers = []
        self.server = loop.call(self._start)

    def _start(self):
        limits = self._limits()
        server = HttpServer(self.loop.timers, ("127.0.0.1", 0), limits, self.handler)
        return server.register(self.loop)

    def _limits(self):
        return RequestLimits(
            connections=self.connections,
            request_s=self.rng.choice((0.05, 0.5)),
            idle_s=self.rng.choice((0.02, 0.05, 0.5)),
            body_bytes=self.rng.choice((256, 1024)),
        )

    def step(self):
        """Do one thing at random; called in the loop."""
        rng = self.rng
        usable = [caller for caller in self.callers if caller.is_open]
        if len(self.callers) < MAX_CALLERS and len(usable) < MAX_OPEN and rng.random() < 0.3:
            self.callers.append(Caller(self.server.port))
            usable.append(self.callers[-1])
        if not usable:
            return
        caller, request = rng.choice(usable), rng.choice(REQUESTS)
        action = rng.random()
        if caller.rest:
            caller.send_rest()
        elif action < 0.2:
            caller.send_half(request, rng.randrange(1, len(request)))
        elif action < 0.3 and request is not REQUESTS[-1]:
            caller.send(request, True)
            caller.send(request, True)
        else:
            caller.send(request, True)
        if rng.random() < 0.05:
            self.server.request_reader.set_limits(self._limits())
        if rng.random() < 0.08:
            time.sleep(rng.choice((0.03, 0.08)))

    def stop(self):
        self.handler.is_stopping = True
        self.server.begin_stop()


@pytest.mark.parametrize("seed", range(6))
def test_no_whole_request_is_left_without_an_answer(loop, seed):
    """Guards against connections that are closed with a request on them unread or unanswered."""
    scene = Scene(loop, seed)
    for _ in range(STEPS):
        loop.call(scene.step)
        time.sleep(scene.rng.choice((0.0, 0.0, 0.0, 0.02)))
    loop.call(scene.stop)
    loop.wait_until(lambda: loop.call(lambda: all(c.is_settled for c in scene.callers)))
    assert sum(caller.lost_count for caller in scene.callers) == 0
    for caller in scene.callers:
        caller.sock.close()
