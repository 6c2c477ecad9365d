"""Connections that wait to be accepted while the event loop is busy, over real sockets."""

import socket
import threading

import pytest
from circuits.core import BaseComponent, handler
from parsleyrudder_adapters.http_server import HttpServer
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
    socks = []
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
