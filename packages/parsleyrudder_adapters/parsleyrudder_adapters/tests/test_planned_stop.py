"""Requests that reach an HTTP server as it stops in a planned way, over real sockets."""

import socket

import pytest
from parsleyrudder_adapters.http_server import HttpServer
from parsleyrudder_adapters.request_reader import RequestLimits

REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
# Enough to stay in the server's buffers if the caller does not read.
LARGE = b"x" * (16 << 20)


class Handler:
    """Answers each request."""

    def __init__(self):
        self.body = b"done"

    def on_request(self, exchange):
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
        server.begin_stop()

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
    loop.call(server.begin_stop)
    assert not loop.call(lambda: server.is_drained)
    received = b""
    while not received.endswith(LARGE):
        received += sock.recv(65536)
    sock.close()
    loop.wait_until(lambda: server.is_drained)


def test_connections_without_a_request_do_not_delay_the_stop_for_long(loop, server, requests):
    socks = [connect(server) for _ in range(3)]
    loop.wait_until(lambda: server.connection_count == 3)
    loop.call(server.begin_stop)
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


@pytest.fixture
def exchanges(server):
    """The requests that the server has received; a test answers them."""
    received: list = []
    server._handler.on_request = received.append
    return received


@pytest.mark.parametrize("is_stream", [False, True], ids=["whole", "stream"])
def test_a_response_to_an_earlier_request_announces_the_close(loop, server, exchanges, is_stream):
    """Its caller sent the next request, which may run once, just as the connection was closed."""
    sock = connect(server)
    sock.sendall(REQUEST)
    loop.wait_until(lambda: exchanges)
    loop.call(server.announce_close)

    def respond():
        if is_stream:
            exchanges[0].start_stream(200, [])
            exchanges[0].write(b"done")
            exchanges[0].finish_stream()
        else:
            exchanges[0].respond(200, b"done")

    loop.call(respond)
    received = receive(sock)
    assert b"\r\nConnection: close\r\n" in received
    assert b"done" in received


@pytest.mark.parametrize("is_stopping", [False, True], ids=["accepting", "stopping"])
def test_a_request_after_a_stream_whose_close_was_not_announced_is_answered(
    loop, server, exchanges, is_stopping
):
    """The connection was closed at the end of the stream, while the next request was on its way."""
    sock = connect(server)
    sock.sendall(REQUEST)
    loop.wait_until(lambda: exchanges)
    loop.call(lambda: exchanges[0].start_stream(200, []))
    loop.call(server.begin_stop if is_stopping else server.announce_close)
    loop.call(lambda: exchanges[0].finish_stream())
    assert b"Connection: close" not in sock.recv(65536)
    sock.sendall(REQUEST)
    loop.wait_until(lambda: len(exchanges) == 2)
    loop.call(lambda: exchanges[1].respond(503, b"not run"))
    received = receive(sock)
    assert received.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nConnection: close\r\n" in received


def test_a_connection_that_was_just_answered_stays_open_for_its_next_request(
    loop, server, exchanges
):
    """The listening socket is closed seconds after the close is first announced."""
    sock = connect(server)
    sock.sendall(REQUEST)
    loop.wait_until(lambda: exchanges)
    loop.call(lambda: exchanges[0].start_stream(200, []))
    loop.call(server.announce_close)
    loop.call(lambda: exchanges[0].finish_stream())
    loop.wait_until(lambda: not server.open_exchanges)
    loop.call(server.begin_stop)
    sock.sendall(REQUEST)
    loop.wait_until(lambda: len(exchanges) == 2)
    loop.call(lambda: exchanges[1].respond(503, b"not run"))
    assert b"not run" in receive(sock)
    loop.wait_until(lambda: server.is_drained)
