"""Servers that send bytes without end that are no response, over real sockets."""

import contextlib
import threading

import pytest
from parsleyrudder_adapters.http_client import HttpRequest, ResponseMatch

from .test_http_client import CHUNKED, Listener, ScriptedServer

FOREIGN = b"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"
# Each row: bytes sent once, and bytes repeated until the client closes the connection.
ENDLESS = {
    "no status line": (b"", b"\x00garbage" * 100),
    "no line at all": (b"", b"x" * 1000),
    "status line": (b"HTTP/1.1 200 ", b"OK" * 500),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-A: 1\r\n" * 100),
    "header value": (b"HTTP/1.1 200 OK\r\nX-A: ", b"1" * 1000),
    "informational responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
    "body of another response": (FOREIGN, b"3e8\r\n%b\r\n" % (b"x" * 1000)),
    "responses to others": (b"", FOREIGN + b"3\r\nabc\r\n0\r\n\r\n"),
    "chunk sizes": (CHUNKED, b"1" * 1000),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: 1\r\n" * 100),
}


@pytest.mark.parametrize("name", ENDLESS)
def test_endless_bytes_that_are_no_response_end_the_exchange(loop, client, name):
    """Guards against a server in trouble that occupies the event loop until the deadline."""
    once, repeated = ENDLESS[name]
    is_closed = threading.Event()

    def send_until_closed(server, connection):
        server.receive(connection)
        with contextlib.suppress(OSError):
            connection.sendall(once)
            while True:
                connection.sendall(repeated)
        is_closed.set()

    server = ScriptedServer(send_until_closed)
    listener = Listener()
    request = HttpRequest(
        "GET",
        "/",
        [],
        b"",
        match_response=lambda headers: (
            ResponseMatch.OTHER if ("x-id", "other") in headers else ResponseMatch.OWN
        ),
    )
    loop.call(lambda: client.send(server.address, request, listener))
    assert is_closed.wait(5.0)
    loop.wait_until(lambda: listener.failures)
    assert listener.failures[0][0]
    assert not listener.body
    server.close()
