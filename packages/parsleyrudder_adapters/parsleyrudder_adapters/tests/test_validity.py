"""Guards the sending of requests whose slot may belong to another router by now."""

import socket
import time

import pytest
from circuits.core.pollers import EPoll
from parsleyrudder_adapters.http_client import HttpClient, HttpRequest
from parsleyrudder_adapters.timers import Timers


class Listener:
    """Notes whether the request failed, and whether a byte may have been sent."""

    failed: bool | None = None

    def on_head(self, status, headers) -> None: ...

    def on_data(self, data) -> None: ...

    def on_end(self) -> None: ...

    def on_failed(self, sent, reason) -> None:
        self.failed = sent


@pytest.mark.parametrize(("valid_s", "expected"), [(-0.001, b""), (3600, b"POST / HTTP/1.1")])
def test_nothing_is_sent_after_the_end_of_validity(valid_s, expected):
    """Guards against a process that was stopped between the choice of a server and the sending."""
    client = HttpClient(Timers())
    EPoll().register(client)
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
        listener = Listener()
        request = HttpRequest("POST", "/", valid_until=time.monotonic() + valid_s)
        exchange = client.send(f"127.0.0.1:{port}", request, listener)
        peer, _ = server.accept()
        connection = exchange.connection
        assert connection is not None
        client._on_write(connection.sock)
        client.drop(exchange)
        received = peer.makefile("rb").read()
        peer.close()
    assert received.startswith(expected)
    assert bool(received) == bool(expected)
    assert listener.failed is (None if expected else False)
