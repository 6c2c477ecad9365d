"""Connections that wait to be accepted while the event loop is busy, over real sockets."""

import errno
import socket
import threading

import pytest
from circuits.core import BaseComponent, handler
from parsleyrudder_adapters.http_server import HttpServer
from parsleyrudder_adapters.listener import Listener
from parsleyrudder_adapters.request_reader import RequestLimits

WAITING = 300
# Callers give up after 1 s; a turn of the loop under load takes up to 50 ms.
MAX_TURNS = 20
GET = b"GET /%b HTTP/1.1\r\nHost: h\r\n\r\n"


class Handler:
    """Answers each request and records the turn of the loop in which it was read."""

    def __init__(self, turns):
        self.turns = turns
        self.turn_by_target = {}

    def on_request(self, exchange):
        self.turn_by_target[exchange.request.target] = self.turns.count
        exchange.respond(200, b"ok")


class Turns(BaseComponent):
    """Counts the turns of the event loop."""

    def __init__(self):
        super().__init__()
        self.count = 0

    @handler("generate_events", channel="*")
    def _on_generate_events(self, event):
        self.count += 1


@pytest.fixture
def requests(loop):
    turns = loop.call(lambda: Turns().register(loop))
    return Handler(turns)


@pytest.fixture
def server(loop, requests):
    def start():
        limits = RequestLimits()
        return HttpServer(loop.timers, ("127.0.0.1", 0), limits, requests).register(loop)

    return loop.call(start)


def connect_while_loop_is_busy(loop, server, requests, leave):
    """Open connections, each with a request, before the loop can accept the first.

    :param leave: whether the callers of all but the last connection leave at once.
    :returns: the open connections, and the turn in which the loop goes on.
    """
    is_busy, go_on = threading.Event(), threading.Event()

    def block():
        is_busy.set()
        go_on.wait()
        return requests.turns.count

    results = []
    blocker = threading.Thread(target=lambda: results.append(loop.call(block)))
    blocker.start()
    is_busy.wait()
    socks: list[socket.socket] = []
    for number in range(WAITING):
        sock = socket.create_connection(("127.0.0.1", server.port))
        sock.sendall(GET % str(number).encode())
        if leave and number < WAITING - 1:
            sock.close()
        else:
            socks.append(sock)
    go_on.set()
    blocker.join()
    return socks, results[0]


@pytest.mark.parametrize("leave", [False, True], ids=["all wait", "all but the last have left"])
def test_waiting_connections_are_accepted_before_their_callers_give_up(
    loop, server, requests, leave
):
    """Guards against a standing accept queue in which every caller has left when it is accepted."""
    socks, first_turn = connect_while_loop_is_busy(loop, server, requests, leave)
    last = f"/{WAITING - 1}"
    loop.wait_until(lambda: last in requests.turn_by_target)
    assert requests.turn_by_target[last] - first_turn <= MAX_TURNS
    for sock in socks:
        sock.close()


class ListeningSocket:
    """Fails as scripted, then has a number of connections, then would block."""

    def __init__(self, errors, connections):
        self.errors = list(errors)
        self.connections = [socket.socket() for _ in range(connections)]
        self.calls = 0

    def accept(self):
        self.calls += 1
        if self.errors:
            raise self.errors.pop(0)
        if not self.connections:
            raise BlockingIOError
        return self.connections.pop(), ("127.0.0.1", 1)


@pytest.mark.parametrize(
    ("code", "accepted"),
    [(errno.ECONNABORTED, 3), (errno.EPERM, 3), (errno.EMFILE, 0), (errno.ENOBUFS, 0)],
)
def test_failed_accept_neither_ends_the_listener_nor_makes_the_loop_spin(loop, code, accepted):
    """Guards against a listener that stops at a lost connection or spins without descriptors."""
    socks: list[socket.socket] = []

    def start():
        return Listener(loop.timers, ("127.0.0.1", 0), socks.append).register(loop)

    listener = loop.call(start)
    loop.wait_until(lambda: loop.call(lambda: loop.poller.isReading(listener._sock)))
    listening_sock = ListeningSocket([OSError(code, "scripted")], 3)

    def accept():
        listener.on_readable(listening_sock)
        return len(socks), listening_sock.calls

    assert loop.call(accept) == (accepted, 5 if accepted else 1)
    for sock in socks:
        sock.close()


def test_listener_accepts_again_once_descriptors_are_free(loop, server, requests):
    """Guards against a router that takes no connection after it ran out of descriptors."""
    listening_sock = server._listener._sock
    error = OSError(errno.EMFILE, "scripted")
    loop.call(lambda: server._listener._pause(listening_sock, error))
    with socket.create_connection(("127.0.0.1", server.port)) as sock:
        sock.sendall(GET % b"later")
        loop.wait_until(lambda: "/later" in requests.turn_by_target)
