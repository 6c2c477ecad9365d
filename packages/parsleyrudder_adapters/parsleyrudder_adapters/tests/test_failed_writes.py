"""Responses of servers that reset the connection while a request is being sent."""

import threading

import pytest

from .test_http_client import CHUNKED, HEAD, ScriptedServer, respond, send


@pytest.mark.parametrize("is_read_first", [True, False], ids=["read-first", "write-first"])
@pytest.mark.parametrize(
    ("data", "body", "is_complete"),
    [
        pytest.param(b"HTTP/1.1 200 OK\r\n\r\nhalf", b"half", False, id="no-length"),
        pytest.param(CHUNKED + b"4\r\nhalf\r\n", b"half", False, id="chunked"),
        pytest.param(HEAD + b"whole", b"whole", True, id="length"),
    ],
)
def test_a_response_does_not_end_with_a_reset_that_a_write_reports(
    loop, client, data, body, is_complete, is_read_first
):
    """Half of a response without a length reached its caller as a whole one."""
    may_respond = threading.Event()

    def script(server, connection):
        assert may_respond.wait(20)
        respond(data, reset=True)(server, connection)

    server = ScriptedServer(script)
    exchange, listener = send(
        loop, client, server.address, method="POST", body=b"x" * 8_000_000, reuse=True
    )
    loop.wait_until(lambda: exchange.sent)

    def receive_the_reset():
        may_respond.set()
        server.join()
        [sock] = client._connection_by_sock
        if is_read_first:
            client.on_readable(sock)
        client.on_writable(sock)

    loop.call(receive_the_reset)
    loop.wait_until(lambda: listener.done)
    assert (bool(listener.ended), listener.status, listener.body) == (is_complete, 200, body)
    assert not client._connection_by_sock
    server.close()
