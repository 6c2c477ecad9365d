"""Input that arrives while the event loop is busy, over real sockets."""

import socket
import threading
import time

import pytest
from parsleyrudder_adapters.http_client import HttpRequest
from parsleyrudder_adapters.http_server import HttpServer
from parsleyrudder_adapters.request_reader import RequestLimits

REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
LIMITS = RequestLimits(request_s=0.3, idle_s=0.3)
# Longer than each of the time limits.
BUSY_S = 0.5


class Handler:
    """Answers each request."""

    def on_request(self, exchange):
        exchange.respond(200, b"done")


def start(loop, limits):
    server = HttpServer(loop.timers, ("127.0.0.1", 0), limits, Handler())
    return loop.call(lambda: server.register(loop))


def connect(server):
    return socket.create_connection(("127.0.0.1", server.port), timeout=5.0)


def exchange(sock, data=REQUEST):
    sock.sendall(data)
    return receive(sock)


def receive(sock):
    """Return what arrives until the response is complete, the connection is closed or reset."""
    data = b""
    try:
        while not data.endswith(b"done") and (part := sock.recv(65536)):
            data += part
    except ConnectionError:
        pass
    return data


@pytest.mark.parametrize("connection", ["new", "kept", "half"])
def test_a_request_that_arrived_in_time_is_answered_by_a_loop_that_was_busy(loop, connection):
    """The connection was closed for being idle, with the request on it unread."""
    server = start(loop, LIMITS)
    sock = connect(server)
    rest = REQUEST
    if connection == "kept":
        assert exchange(sock).endswith(b"done")
    loop.wait_until(lambda: server.connection_count == 1)
    if connection == "half":
        sock.sendall(REQUEST[:20])
        rest = REQUEST[20:]
        time.sleep(0.05)

    def send_and_stay_busy():
        sock.sendall(rest)
        time.sleep(BUSY_S)

    loop.call(send_and_stay_busy)
    assert receive(sock).startswith(b"HTTP/1.1 200 ")


def test_a_connection_with_an_unread_request_is_not_closed_for_a_new_one(loop):
    """At the limit of connections, a new one replaced the longest idle one, and its request."""
    server = start(loop, RequestLimits(connections=2))
    idle, other = connect(server), connect(server)
    for sock in (idle, other):
        assert exchange(sock).endswith(b"done")
    loop.wait_until(lambda: len(server.request_reader._idle_since_by_sock) == 2)
    new = []

    def connect_and_send():
        new.append(connect(server))
        # The listening socket is polled before the others, as after a long turn of the loop.
        idle.sendall(REQUEST)
        server._listener.on_readable(server._listener._sock)

    loop.call(connect_and_send)
    assert receive(idle).startswith(b"HTTP/1.1 200 ")
    assert receive(other) == b""
    assert exchange(new[0]).startswith(b"HTTP/1.1 200 ")


def test_a_request_that_arrives_as_its_idle_connection_is_closed_is_answered(loop):
    """The time limit passed in the same turn of the loop, before the request was read."""
    server = start(loop, LIMITS)
    sock = connect(server)
    loop.wait_until(lambda: server.connection_count == 1)

    def send_and_let_the_limit_pass():
        sock.sendall(REQUEST)
        [(accepted, connection)] = server.request_reader._connection_by_sock.items()
        connection.deadline = time.monotonic()
        server.request_reader._on_timer(accepted, connection)

    loop.call(send_and_let_the_limit_pass)
    assert receive(sock).startswith(b"HTTP/1.1 200 ")


class Listener:
    """Records how a request ended."""

    def __init__(self):
        self.ends = []

    def on_head(self, status, headers):
        pass

    def on_data(self, data):
        pass

    def on_end(self):
        self.ends.append("complete")

    def on_failed(self, sent, reason):
        self.ends.append(reason)


def answer_on_one_connection(listening_sock):
    """Answer each request on the first connection, until it is closed."""
    sock, _ = listening_sock.accept()
    with sock:
        while sock.recv(65536):
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")


def test_a_response_that_arrived_in_time_is_read_by_a_loop_that_was_busy(loop, client):
    """The time limit was enforced before the response was read."""
    with socket.create_server(("127.0.0.1", 0)) as listening_sock:
        target = threading.Thread(target=answer_on_one_connection, args=(listening_sock,))
        target.start()
        address = f"127.0.0.1:{listening_sock.getsockname()[1]}"
        for busy_s in (0.0, BUSY_S):
            listener = Listener()

            def send_and_stay_busy(listener=listener, busy_s=busy_s):
                client.send(address, HttpRequest("GET", "/", reuse=True), listener, timeout_s=0.3)
                time.sleep(busy_s)

            loop.call(send_and_stay_busy)
            loop.wait_until(lambda listener=listener: listener.ends)
            assert listener.ends == ["complete"]
        loop.call(client.close_idle)
        target.join()
