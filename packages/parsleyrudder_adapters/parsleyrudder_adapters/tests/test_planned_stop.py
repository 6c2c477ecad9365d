"""Requests that reach an HTTP server as it stops in a planned way, over real sockets."""

import socket

import pytest
from parsleyrudder_adapters.http_server import HttpServer
from parsleyrudder_adapters.request_reader import RequestLimits

REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
# Enough to stay in the server's buffers if the caller does not read.
LARGE = b"x" * (16 << 20)


class Handler:
    """Answers each request; once it stops, it closes the connections afterwards."""

    def __init__(self):
        self.body = b"done"
        self.is_stopping = False

    def on_request(self, exchange):
        if self.is_stopping:
            exchange.close_after_response()
        exchange.respond(200, self.body)


@pytest.fixture
def requests():
    return Handler()


@pytest.fixture
def server(loop, requests):
    def start():
        limits = RequestLimits()
        return HttpServer(loop.timers, ("127.0.0.1", 0), limits, requests).register(loop)

    return loop.call(start)


def connect(server):
    return socket.create_connection(("127.0.0.1", server.port), timeout=5.0)


def stop(server, requests):
    """Begin a planned stop; called in the loop."""
    requests.is_stopping = True
    server.begin_stop()


def receive(sock):
    data = b""
    try:
        while part := sock.recv(65536):
            data += part
    except ConnectionError:
        pass
    return data


@pytest.mark.parametrize("moment", ["before", "after"])
@pytest.mark.parametrize("connection", ["new", "kept", "half"])
def test_a_request_that_arrives_as_the_server_stops_is_answered(
    loop, server, requests, connection, moment
):
    """Connections that had just been accepted were closed with their requests unread."""
    sock = connect(server)
    rest = REQUEST
    if connection == "kept":
        sock.sendall(REQUEST)
        assert sock.recv(65536).endswith(b"done")
    if connection == "half":
        sock.sendall(REQUEST[:20])
        rest = REQUEST[20:]
        loop.wait_until(lambda: server.connection_count == 1)

    def send_and_stop():
        if moment == "before":
            sock.sendall(rest)
        stop(server, requests)

    port = server.port
    loop.call(send_and_stop)
    if moment == "after" and connection == "kept":
        # Its caller sees the close before it sends another request.
        assert receive(sock) == b""
    else:
        if moment == "after":
            assert not loop.call(lambda: server.is_drained)
            sock.sendall(rest)
        assert receive(sock).endswith(b"done")
    loop.wait_until(lambda: server.is_drained)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", port), timeout=5.0)


def test_a_server_is_not_drained_while_a_response_is_buffered(loop, server, requests):
    """A slow caller lost the rest of its response at the end of the process."""
    requests.body = LARGE
    sock = connect(server)
    sock.sendall(REQUEST)
    loop.wait_until(lambda: server.has_unsent_bytes)
    loop.call(lambda: stop(server, requests))
    assert not loop.call(lambda: server.is_drained)
    received = b""
    while not received.endswith(LARGE):
        received += sock.recv(65536)
    sock.close()
    loop.wait_until(lambda: server.is_drained)


def test_connections_without_a_request_do_not_delay_the_stop_for_long(loop, server, requests):
    socks = [connect(server) for _ in range(3)]
    loop.wait_until(lambda: server.connection_count == 3)
    loop.call(lambda: stop(server, requests))
    loop.wait_until(lambda: server.is_drained)
    assert [receive(sock) for sock in socks] == [b""] * 3


def test_a_kept_connection_is_closed_after_the_response_that_was_open(loop, server):
    """Otherwise the stop waits for its caller until the time limit."""
    exchanges: list = []
    server._handler.on_request = exchanges.append
    sock = connect(server)
    sock.sendall(REQUEST)
    loop.wait_until(lambda: exchanges)
    loop.call(server.begin_stop)
    assert not loop.call(lambda: server.is_drained)
    loop.call(lambda: exchanges[0].respond(200, b"done"))
    assert receive(sock).endswith(b"done")
    loop.wait_until(lambda: server.is_drained)
